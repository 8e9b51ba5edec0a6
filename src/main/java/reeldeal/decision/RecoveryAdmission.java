package reeldeal.decision;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import reeldeal.decision.DecisionModule.QueryClass;

/**
 * Limits the queries that a broker admits while its fleet recovers from an outage. {@link
 * #setQuota} sets the admitted share of all arriving queries. This class divides it among the query
 * classes in order of priority: each class gets the part of the share that the classes of higher
 * priority leave, up to all of its queries. For this it needs the fraction of the arriving queries
 * that belongs to each class, which it estimates with a moving average. Admitted queries are still
 * subject to load shedding. All queries are admitted until {@link #setQuota} is called. Used by the
 * engine's thread only.
 */
public final class RecoveryAdmission {
    /** Weight of one query in the moving average of the class mix. */
    private static final double MIX_SMOOTHING = 0.02;

    /** Largest random deviation of the retry delay, in either direction, as a share of it. */
    private static final double JITTER = 0.5;

    /** Maximum number of tokens that a class can save. */
    private static final double MAX_TOKENS = 2;

    private static final double MIN_BROKER_SCALE = 0.001;
    private static final double MAX_BROKER_SCALE = 4;

    private final List<QueryClass> classes;
    private final double[] classMix;
    private final double[] tokens;
    private final SplittableRandom random;
    private final double maxRetryAfterMs;
    private double share = 1;
    private double retryAfterMs;
    private double brokerScale = 1;

    RecoveryAdmission(List<QueryClass> classes, long seed, double maxRetryAfterMs) {
        this.classes = classes;
        this.maxRetryAfterMs = maxRetryAfterMs;
        classMix = new double[classes.size()];
        tokens = new double[classes.size()];
        Arrays.fill(classMix, 1.0 / classes.size());
        Arrays.fill(tokens, 1); // the first query of each class is admitted
        random = new SplittableRandom(seed);
    }

    /**
     * Sets the share of queries that is admitted from now on.
     *
     * @param admittedShare share of the queries; 1 or more admits all, 0 or less none
     * @param meanRetryAfterMs mean delay after which clients of rejected queries may retry
     */
    public void setQuota(double admittedShare, double meanRetryAfterMs) {
        share = admittedShare;
        retryAfterMs = meanRetryAfterMs;
    }

    /** Sets the scale from the configured number of brokers and the number that serve now. */
    public void setBrokerCounts(int configuredBrokers, int servingBrokers) {
        double scale = (double) configuredBrokers / Math.max(1, servingBrokers);
        brokerScale = Math.max(MIN_BROKER_SCALE, Math.min(MAX_BROKER_SCALE, scale));
    }

    /** Returns this broker's share of the load relative to the share that the settings imply. */
    double brokerScale() {
        return brokerScale;
    }

    /** Records a query of this class and returns whether it is admitted. */
    boolean admits(int classIndex) {
        if (share >= 1 || share <= 0) {
            return share > 0;
        }
        for (int i = 0; i < classMix.length; i++) {
            classMix[i] += ((i == classIndex ? 1 : 0) - classMix[i]) * MIX_SMOOTHING;
        }
        tokens[classIndex] = Math.min(MAX_TOKENS, tokens[classIndex] + shareOf(classIndex));
        if (tokens[classIndex] < 1) {
            return false;
        }
        tokens[classIndex]--;
        return true;
    }

    /** Returns the admitted share of a class: the quota that higher-priority classes leave it. */
    private double shareOf(int classIndex) {
        double higherMix = 0;
        for (int i = 0; i < classMix.length; i++) {
            higherMix += hasPriorityOver(i, classIndex) ? classMix[i] : 0;
        }
        return Math.max(0, Math.min(1, (share - higherMix) / Math.max(1e-9, classMix[classIndex])));
    }

    private boolean hasPriorityOver(int classIndex, int other) {
        double priority = classes.get(classIndex).priorityWeight();
        double otherPriority = classes.get(other).priorityWeight();
        return priority > otherPriority || (priority == otherPriority && classIndex < other);
    }

    /**
     * Returns the retry delay for one rejected query, in milliseconds. It is randomized so that
     * clients do not retry at the same time.
     */
    double retryAfterMs() {
        double jitteredMs = retryAfterMs * (1 - JITTER + 2 * JITTER * random.nextDouble());
        return Math.min(maxRetryAfterMs, jitteredMs);
    }
}
