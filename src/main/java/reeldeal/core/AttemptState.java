package reeldeal.core;

/** The state of one attempt of a shard request. The reducer numbers attempts from 0. */
final class AttemptState {
    final double startedAtMs;
    boolean ended;

    /** Whether the end of the attempt proves that the shard request did not run. */
    boolean neverRan;

    AttemptState(double startedAtMs) {
        this.startedAtMs = startedAtMs;
    }
}
