package reeldeal.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import reeldeal.config.BrokerConfig.InvalidConfigException;
import reeldeal.fleet.membership.LocalMember;
import reeldeal.fleet.node.FleetConfig;
import reeldeal.fleet.recovery.RecoveryRamp;

/** Reads the {@code fleet} section of the store's file: this broker's membership of a fleet. */
final class FleetConfigReader {
    private static final String PREFIX = "fleet.";
    private static final String STEPS_KEY = "fleet.recovery.steps";
    private static final long MIN_TERM_MS = 600;
    private static final int HEARTBEATS_PER_TERM = 5;
    private static final String SHARE_PATTERN = "0[.][0-9]{1,3}|1([.]0{1,3})?";
    private static final Set<String> KNOWN_KEYS =
            Set.of(
                    "zone",
                    "program",
                    "term_ms",
                    "exit_wait_ms",
                    "recovery.steps",
                    "recovery.dwell_ms",
                    "recovery.good_pct",
                    "recovery.bad_pct",
                    "recovery.idle_ms",
                    "recovery.lost_pct",
                    "recovery.alone_pct");

    private FleetConfigReader() {}

    static FleetConfig read(ConfigValues values) throws InvalidConfigException {
        values.checkKnown(PREFIX, KNOWN_KEYS, "");
        LocalMember.Timing defaults = LocalMember.Timing.DEFAULT;
        long termMs = values.numberAtLeast("fleet.term_ms", defaults.termMs(), MIN_TERM_MS);
        LocalMember.Timing timing =
                new LocalMember.Timing(
                        termMs,
                        Math.min(defaults.heartbeatMs(), termMs / HEARTBEATS_PER_TERM),
                        values.numberAtLeast("fleet.exit_wait_ms", defaults.exitWaitMs(), 0),
                        defaults.retryMs());
        return new FleetConfig(
                values.required("fleet.zone"),
                values.get("fleet.program", programVersion()),
                timing,
                recoveryRamp(values));
    }

    /** Returns the version in the jar's manifest, or {@code unknown} outside a jar. */
    private static String programVersion() {
        String version = FleetConfigReader.class.getPackage().getImplementationVersion();
        return version == null ? "unknown" : version;
    }

    /**
     * Returns the steps by which a fleet restores service after an outage; null if they are off.
     */
    private static RecoveryRamp recoveryRamp(ConfigValues values) throws InvalidConfigException {
        if ("off".equals(values.get(STEPS_KEY))) {
            return null;
        }
        RecoveryRamp defaults = RecoveryRamp.DEFAULT;
        return new RecoveryRamp(
                recoveryShares(values, defaults),
                values.numberAtLeast("fleet.recovery.dwell_ms", defaults.dwellMs(), 100),
                values.percent("fleet.recovery.good_pct", defaults.goodShare()),
                values.percent("fleet.recovery.bad_pct", defaults.badShare()),
                defaults.minimumRequests(),
                values.numberAtLeast("fleet.recovery.idle_ms", defaults.idleMs(), 100),
                values.percent("fleet.recovery.lost_pct", defaults.outageShare()),
                values.percent("fleet.recovery.alone_pct", defaults.isolatedShare()));
    }

    private static List<Double> recoveryShares(ConfigValues values, RecoveryRamp defaults)
            throws InvalidConfigException {
        String steps = values.get(STEPS_KEY);
        if (steps == null) {
            return List.copyOf(defaults.shares());
        }
        List<Double> shares = new ArrayList<>();
        double lastShare = Double.NEGATIVE_INFINITY;
        for (String step : steps.split(",")) {
            if (!step.matches(SHARE_PATTERN) || Double.parseDouble(step) <= lastShare) {
                throw values.invalid(
                        STEPS_KEY,
                        "expected off, or shares in ascending order up to 1, found " + steps);
            }
            lastShare = Double.parseDouble(step);
            shares.add(lastShare);
        }
        if (lastShare != 1) {
            throw values.invalid(STEPS_KEY, "expected 1 as the last share, found " + steps);
        }
        return List.copyOf(shares);
    }
}
