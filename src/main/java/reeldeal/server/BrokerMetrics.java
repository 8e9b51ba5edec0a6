package reeldeal.server;

import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import reeldeal.core.AttemptEnd;
import reeldeal.core.Reply;
import reeldeal.fleet.rollout.RolloutHealth;

/**
 * Counts a broker's requests and attempts. A rollout compares these counts between brokers. Written
 * on the broker's event loop; {@link #counts} may be called on any thread.
 */
final class BrokerMetrics {
    private long requests;
    private long late;
    private long rejected;
    private long attempts;
    private long failedAttempts;
    private volatile RolloutHealth.Counts counts = new RolloutHealth.Counts(0, 0, 0, 0, 0);

    /**
     * Returns a consumer that counts a request's reply and passes it on to {@code consumer}.
     * Replies to invalid requests are not counted.
     *
     * @param objectiveAt the time of {@code clock} after which the request exceeds its latency
     *     objective
     */
    Consumer<Reply> countingReply(
            double objectiveAt, Consumer<Reply> consumer, DoubleSupplier clock) {
        return reply -> {
            if (!(reply instanceof Reply.Invalid)) {
                requests++;
                rejected += reply instanceof Reply.Rejected ? 1 : 0;
                late += isLate(reply, objectiveAt, clock) ? 1 : 0;
                publish();
            }
            consumer.accept(reply);
        };
    }

    private static boolean isLate(Reply reply, double objectiveAt, DoubleSupplier clock) {
        return reply instanceof Reply.Failed
                || (reply instanceof Reply.Served && clock.getAsDouble() > objectiveAt);
    }

    /**
     * Counts attempts that are sent. The new count is published with the next reply or attempt end.
     */
    void attemptsSent(int count) {
        attempts += count;
    }

    /**
     * Counts the end of an attempt. An attempt that the broker cancelled does not count as failed.
     */
    void attemptEnded(AttemptEnd end) {
        boolean cancelled = end instanceof AttemptEnd.Abandoned abandoned && !abandoned.timedOut();
        failedAttempts += end instanceof AttemptEnd.Served || cancelled ? 0 : 1;
        publish();
    }

    private void publish() {
        counts = new RolloutHealth.Counts(requests, late, rejected, attempts, failedAttempts);
    }

    /** Returns the counts published last. */
    RolloutHealth.Counts counts() {
        return counts;
    }
}
