package reeldeal.opensearch;

import java.util.List;
import reeldeal.config.OpenSearchConfig.Index;
import reeldeal.config.OpenSearchConfig.Segment;

/**
 * One validated search of a client's HTTP request, ready to be submitted.
 *
 * @param index the index that is searched
 * @param segments the segments that are searched, in the order of the configuration
 * @param body the query and its options
 * @param deadlineMs the time until which the client waits, on the broker's clock, ms
 * @param idempotencyKey the idempotency key if the class requires one, else null
 * @param clientKey the valid idempotency key that the client sent, for any class, or null
 */
record Search(
        Index index,
        List<Segment> segments,
        SearchBody body,
        double deadlineMs,
        String idempotencyKey,
        String clientKey) {

    /** Returns a text that is equal for a request and its retries under the same key. */
    String fingerprint() {
        return index.name() + " " + segments + " " + body.text();
    }
}
