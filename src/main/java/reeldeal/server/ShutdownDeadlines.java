package reeldeal.server;

/**
 * The deadlines of the steps of a graceful shutdown, in milliseconds after the signal. After the
 * signal, the platform waits for the longest request deadline, of which it counts at most three
 * seconds, plus 0.7 s before it may kill a broker. Requests that arrived more than 0.7 s after the
 * signal must be answered by then. All times therefore follow from the longest deadline in the
 * settings.
 *
 * @param acceptMs when accepting new connections ends; clients notice a shutdown late
 * @param serveMs when serving open connections ends; another broker may be down meanwhile
 * @param lateFromMs the arrival time from which a request's own deadline may be after the kill
 * @param answerByMs the deadline of requests that arrive after {@code lateFromMs}
 * @param endMs the time after which no client still waits for an answer
 */
record ShutdownDeadlines(
        double acceptMs, double serveMs, double lateFromMs, double answerByMs, double endMs) {
    /**
     * The most that the platform counts of the longest deadline when it computes the time of the
     * kill.
     */
    private static final double MAX_COUNTED_DEADLINE_MS = 3_000;

    /** The platform's delay between the counted deadline and the kill. */
    private static final double KILL_DELAY_MS = 700;

    /**
     * Accepts connections for longer than the 400 ms in which the platform may still open new ones.
     */
    private static final double ACCEPT_MS = 500;

    /** A margin for the transmission of the signal and of an answer. */
    private static final double MARGIN_MS = 100;

    /** A larger margin for requests whose deadline was shortened. */
    private static final double LATE_MARGIN_MS = 300;

    /** The minimum time for the last accepted request. */
    private static final double MIN_ANSWER_MS = 500;

    /** Computes the steps from the longest deadline of all query classes, in milliseconds. */
    static ShutdownDeadlines of(double longestDeadlineMs) {
        double killMs = Math.min(longestDeadlineMs, MAX_COUNTED_DEADLINE_MS) + KILL_DELAY_MS;
        double answerByMs = killMs - LATE_MARGIN_MS;
        return new ShutdownDeadlines(
                ACCEPT_MS,
                Math.max(ACCEPT_MS, answerByMs - MIN_ANSWER_MS),
                KILL_DELAY_MS - MARGIN_MS,
                answerByMs,
                longestDeadlineMs + KILL_DELAY_MS - MARGIN_MS);
    }
}
