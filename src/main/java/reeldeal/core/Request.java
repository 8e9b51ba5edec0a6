package reeldeal.core;

import java.util.List;

/**
 * A query as a front took it. {@code name} is what its client calls it, {@code idempotencyKey} is null
 * outside keyed classes, {@code text} is what each part carries; times are the broker's clock.
 */
public record Request(long id, String name, int klass, String idempotencyKey, double giveUpAt, boolean retry,
        String text, List<Piece> pieces) {

    /** The same request, given up at this time at the latest. */
    public Request until(double latest) {
        return new Request(id, name, klass, idempotencyKey, Math.min(giveUpAt, latest), retry, text, pieces);
    }

    /** One part of the query as the client named it. */
    public record Piece(int shard, double weight, long key) { }
}
