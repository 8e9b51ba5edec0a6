package reeldeal.fleet.takeover;

/**
 * A client's request with an idempotency key, as accepted by a front.
 *
 * @param client the id of the waiting client
 * @param key the query class and the client's idempotency key
 * @param content the digest and the body of the request
 * @param queryClass the query class
 * @param priorityWeight the weight of the query class
 * @param deadlineMs Unix ms at which the client stops waiting
 * @param recordRequired whether the request is rejected if no record can be made in time; otherwise
 *     it runs without one
 */
public record KeyedRequest(
        long client,
        String key,
        Content content,
        String queryClass,
        double priorityWeight,
        long deadlineMs,
        boolean recordRequired) {

    /**
     * The content of a client's request.
     *
     * @param digest the digest of the body; the same key with another body is another request
     * @param body the encoded request, from which another broker can run it
     */
    public record Content(String digest, String body) {}
}
