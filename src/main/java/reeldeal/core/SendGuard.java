package reeldeal.core;

/** The transports' view of the rules on sending. Used on the broker's event loop. */
@FunctionalInterface
public interface SendGuard {

    /** Whether an attempt may be written now; tested immediately before each write. */
    boolean maySend(Effect.Send send);

    /**
     * Reports that the system has taken an attempt completely.
     *
     * @param encodedAtMs when the remaining time that the attempt states was computed, ms of the
     *     broker's clock
     */
    default void sent(Effect.Send send, double encodedAtMs) {}
}
