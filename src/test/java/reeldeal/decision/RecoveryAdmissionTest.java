package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.QueryClass;
import reeldeal.decision.DecisionModule.RepeatSafety;

/**
 * Tests the recovery of a hundred brokers and two hundred searchers after an outage: all searchers
 * are in slow start, all or some of the brokers restart, and the admission quota rises in steps or
 * is not used.
 */
class RecoveryAdmissionTest {
    private static final int BROKERS = 100;
    private static final int MAX_IN_FLIGHT = 285;
    private static final int SERVERS_PER_CELL = 10;
    private static final double[] QUOTA_STEPS = {0.25, 0.5, 0.75, 1};

    /**
     * The recovery from an outage.
     *
     * @param inTime number of answers in time in each second after the outage
     * @param worstOverload the highest load of a searcher, as a multiple of its capacity
     * @param recoveredAtSecond the second in which nine tenths of the usual rate are reached; -1 if
     *     never
     */
    private record RecoveryCurve(long[] inTime, double worstOverload, long recoveredAtSecond) {}

    /**
     * Kills all brokers and searchers; {@code restarted} brokers start again within 4 s. With
     * {@code stepwise} the quota rises every 0.5 s once half of them have started.
     */
    private static RecoveryCurve simulateOutage(
            long seed, int restarted, boolean stepwise, double perSecond) {
        VirtualFleet fleet = new VirtualFleet(seed, BROKERS, MAX_IN_FLIGHT, SERVERS_PER_CELL);
        fleet.submitQueries(perSecond, 44_000);
        fleet.run(4_000);
        long inTimePerSecond = fleet.inTime / 4;
        double outageAtMs = fleet.now;
        for (int i = 0; i < BROKERS; i++) {
            fleet.kill(i);
        }
        for (int i = 0; i < fleet.searchers.size(); i++) {
            fleet.replace(i);
        }
        for (int i = 0; i < restarted; i++) {
            int broker = i;
            fleet.schedule(
                    4_000 * fleet.random.nextDouble(),
                    () -> {
                        fleet.restart(broker);
                        setQuota(fleet, broker, outageAtMs, stepwise, restarted);
                    });
        }
        for (int step = 1; step < QUOTA_STEPS.length; step++) {
            fleet.schedule(
                    2_000 + step * 500,
                    () -> {
                        for (int broker = 0; broker < restarted; broker++) {
                            setQuota(fleet, broker, outageAtMs, stepwise, restarted);
                        }
                    });
        }
        long[] inTime = new long[40];
        long recoveredAtSecond = -1;
        for (int second = 0; second < inTime.length; second++) {
            long inTimeBefore = fleet.inTime;
            fleet.run(1_000);
            inTime[second] = fleet.inTime - inTimeBefore;
            recoveredAtSecond =
                    recoveredAtSecond < 0
                                    && inTime[second] >= 0.9 * inTimePerSecond * restarted / BROKERS
                            ? second + 1
                            : recoveredAtSecond;
        }
        return new RecoveryCurve(
                inTime,
                fleet.searchers.stream().mapToDouble(fleet::worstOverload).max().orElse(0),
                recoveredAtSecond);
    }

    private static void setQuota(
            VirtualFleet fleet,
            int broker,
            double outageAtMs,
            boolean stepwise,
            int servingBrokers) {
        int step =
                (int)
                        Math.max(
                                0,
                                Math.min(
                                        QUOTA_STEPS.length - 1,
                                        (fleet.now - outageAtMs - 2_000) / 500));
        fleet.brokers
                .get(broker)
                .engine
                .recoveryAdmission()
                .setQuota(stepwise ? QUOTA_STEPS[step] : 1, 500);
        fleet.brokers
                .get(broker)
                .engine
                .recoveryAdmission()
                .setBrokerCounts(BROKERS, servingBrokers);
    }

    @Test
    void slowStartPreventsOverloadHoweverManyBrokersRestart() {
        for (int restarted : new int[] {BROKERS, 40}) {
            RecoveryCurve curve = simulateOutage(5, restarted, true, 600);
            assertTrue(
                    curve.worstOverload() < VirtualFleet.RULES.overloadFactor(),
                    restarted + " restarted: " + curve.worstOverload());
            assertTrue(
                    curve.recoveredAtSecond() > 0,
                    restarted + " restarted: " + Arrays.toString(curve.inTime()));
        }
    }

    @Test
    void aQuotaAdmitsByPriorityAndSpreadsRetries() {
        List<QueryClass> classes = new ArrayList<>();
        for (double priority : new double[] {3, 1, 2}) {
            classes.add(
                    new QueryClass(
                            400, 0, 1_400, priority, 0.1, RepeatSafety.IDEMPOTENT, 0, 1, 1, 1, 0));
        }
        RecoveryAdmission admission = new RecoveryAdmission(classes, 7, 1_000);
        assertTrue(admission.admits(1), "every query is admitted by default");
        admission.setQuota(0.25, 600);
        int[] admitted = new int[3];
        double lowest = 1e9;
        double highest = 0;
        for (int i = 0; i < 8_000; i++) {
            // An eighth of the queries is of class 0, five eighths of class 1, a quarter of class
            // 2.
            int classIndex = i % 8 == 0 ? 0 : i % 8 < 6 ? 1 : 2;
            if (i >= 4_000) {
                admitted[classIndex] += admission.admits(classIndex) ? 1 : 0;
            } else {
                admission.admits(classIndex);
            }
            lowest = Math.min(lowest, admission.retryAfterMs());
            highest = Math.max(highest, admission.retryAfterMs());
        }
        assertEquals(500, admitted[0], 25, "admitted of the highest priority: all");
        assertEquals(500, admitted[2], 60, "admitted of the next priority: half");
        assertTrue(admitted[1] < 20, "admitted of the lowest priority: " + admitted[1]);
        assertTrue(lowest < 330 && highest > 870 && highest <= 1_000, lowest + " to " + highest);
        admission.setQuota(0, 600);
        assertEquals(false, admission.admits(0));
    }

    /** Prints the figures of docs/measurements/recovery.md; run from the command line. */
    public static void main(String[] args) {
        for (double load : new double[] {600, 1_200, 1_800}) {
            for (int restarted : new int[] {100, 40}) {
                for (boolean stepwise : new boolean[] {true, false}) {
                    RecoveryCurve curve = simulateOutage(5, restarted, stepwise, load);
                    System.out.println(
                            String.format(
                                    Locale.ROOT,
                                    "| %.0f | %d | %s | %d | %d | %d | %.2f | %s |",
                                    load,
                                    restarted,
                                    stepwise ? "steps" : "at once",
                                    Arrays.stream(curve.inTime(), 0, 5).sum(),
                                    Arrays.stream(curve.inTime(), 0, 10).sum(),
                                    Arrays.stream(curve.inTime(), 0, 40).sum(),
                                    curve.worstOverload(),
                                    curve.recoveredAtSecond() < 0
                                            ? "not in 40 s"
                                            : curve.recoveredAtSecond() + " s"));
                }
            }
        }
    }
}
