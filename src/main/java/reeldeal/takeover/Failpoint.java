package reeldeal.takeover;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Points at which fault injection ends this process as if it were killed. The system property
 * {@code reeldeal.drill.die} lists their labels with probabilities in thousandths, such as {@code
 * after_record:20,after_claim:50}; without the property they do nothing. Thread-safe.
 */
enum Failpoint {
    BEFORE_RECORD("before_record"),
    AFTER_RECORD("after_record"),
    AFTER_CLAIM("after_claim"),
    BETWEEN_SHARD_REQUESTS("between_parts"),
    BEFORE_FETCH_PHASE("second_step"),
    AFTER_ANSWERS("after_answers"),
    AFTER_OUTCOME("after_outcome");

    private static final int EXIT_STATUS_KILLED = 137;
    private static final int PROBABILITY_UNIT = 1_000;
    private static final Map<String, Integer> PROBABILITIES =
            parse(System.getProperty("reeldeal.drill.die", ""));
    private static final SplittableRandom RANDOM =
            PROBABILITIES.isEmpty() ? null : new SplittableRandom(ProcessHandle.current().pid());

    /** The name of this point in the system property and in the log. */
    private final String label;

    Failpoint(String label) {
        this.label = label;
    }

    private static Map<String, Integer> parse(String property) {
        Map<String, Integer> probabilities = new HashMap<>();
        for (String entry : property.split(",")) {
            String[] nameAndProbability = entry.split(":");
            if (nameAndProbability.length == 2) {
                probabilities.put(nameAndProbability[0], Integer.parseInt(nameAndProbability[1]));
            }
        }
        return probabilities;
    }

    /** Ends the process with the configured probability. */
    void reach() {
        if (PROBABILITIES.isEmpty()) {
            return;
        }
        synchronized (RANDOM) {
            int probability = PROBABILITIES.getOrDefault(label, 0);
            if (RANDOM.nextInt(PROBABILITY_UNIT) < probability) {
                System.err.println("work: ends at " + label);
                Runtime.getRuntime().halt(EXIT_STATUS_KILLED);
            }
        }
    }
}
