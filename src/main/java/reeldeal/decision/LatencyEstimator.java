package reeldeal.decision;

import reeldeal.decision.DecisionModule.Layout;

/** Estimates the fleet's typical latency by the position of a shard request in its call. */
final class LatencyEstimator {
    /** Weight of one answer in the moving average, once there are enough answers. */
    private static final double SMOOTHING = 0.03;

    /** Upper bound of one answer's latency, as a multiple of the typical latency. */
    private static final double MAX_SAMPLE_FACTOR = 4;

    /** Typical latency before the first answer, as a share of the latency objective. */
    private static final double INITIAL_SHARE = 0.2;

    private final double initialMs;
    private final double[] typicalMs;
    private final int[] samples;

    LatencyEstimator(double latencyObjectiveMs, Layout layout) {
        this.initialMs = latencyObjectiveMs * INITIAL_SHARE;
        this.typicalMs = new double[layout.maxShardsPerCall()];
        this.samples = new int[typicalMs.length];
    }

    /** Returns whether an answer at the first position was recorded. */
    boolean hasSamples() {
        return samples[0] > 0;
    }

    /** Returns the typical latency at a position, or at the nearest earlier one with samples. */
    double typicalMs(int position) {
        for (int i = position; i >= 0; i--) {
            if (samples[i] > 0) {
                return typicalMs[i];
            }
        }
        return initialMs;
    }

    /** Records the latency of one answer. */
    void record(int position, double elapsedMs) {
        double sample =
                samples[position] == 0
                        ? elapsedMs
                        : Math.min(elapsedMs, MAX_SAMPLE_FACTOR * typicalMs[position]);
        samples[position]++;
        typicalMs[position] +=
                (sample - typicalMs[position]) * Math.max(SMOOTHING, 1.0 / samples[position]);
    }
}
