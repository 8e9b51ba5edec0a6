package reeldeal.http;

/**
 * Slows down a client that repeats bad requests, so that it does not take processing time from
 * others. Used on the connection's event loop.
 */
final class BadRequestDelay {
    /** The delay grows by this much with each consecutive bad request after the first, ms. */
    private static final int STEP_MS = 100;

    private static final int MAX_STEPS = 4;

    private int consecutiveBadRequests;

    /** Returns the delay of the next request after a response with this status, ms. */
    long afterResponse(int status) {
        consecutiveBadRequests = isBadRequest(status) ? consecutiveBadRequests + 1 : 0;
        int steps = Math.min(Math.max(0, consecutiveBadRequests - 1), MAX_STEPS);
        return (long) STEP_MS * steps;
    }

    /** Whether the client caused the status: not so for a conflict (409) or load shedding (429). */
    private static boolean isBadRequest(int status) {
        return status >= 400 && status < 500 && status != 409 && status != 429;
    }
}
