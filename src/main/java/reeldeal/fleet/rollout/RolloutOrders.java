package reeldeal.fleet.rollout;

import java.util.List;
import java.util.Locale;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetCodec;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.FleetView.Progress;
import reeldeal.fleet.FleetView.Release;
import reeldeal.fleet.FleetView.Stage;
import reeldeal.fleet.FleetView.Step;

/**
 * Creates the writes that plan a release and that change its state as a whole: on an operator's
 * order, when it completes, and when it halts. Each write expects the version of the release that
 * was read. Stateless, callable from any thread.
 */
public final class RolloutOrders {
    private static final int FIRST_WAVE = 1;

    private RolloutOrders() {}

    /** Returns the write that moves the current release to another state. */
    public static ConditionalWrite changeProgress(
            FleetView fleet, Progress progress, String reason) {
        Release release = fleet.release();
        return ConditionalWrite.withReason(
                        "release "
                                + release.id()
                                + " "
                                + progress.stored().toLowerCase(Locale.ROOT)
                                + ": "
                                + reason)
                .expect(FleetView.RELEASE, release.version())
                .put(
                        FleetView.RELEASE,
                        FleetCodec.encode(release.with(release.rollingBack(), progress, reason)));
    }

    /** Returns the write that rolls back the current release on the members changed so far. */
    public static ConditionalWrite rollBack(FleetView fleet, String reason) {
        Release release = fleet.release();
        ConditionalWrite write =
                ConditionalWrite.withReason("release " + release.id() + " rolls back: " + reason)
                        .expect(FleetView.RELEASE, release.version())
                        .put(
                                FleetView.RELEASE,
                                FleetCodec.encode(release.with(true, Progress.RUNNING, reason)));
        for (Step step : fleet.steps().values()) {
            String key = FleetView.STEP + step.name();
            write.expect(key, step.version())
                    .put(key, FleetCodec.encode(rollBackStep(fleet, step, write)));
        }
        return write;
    }

    /**
     * Returns the first stage of a member in a rollback, and adds the changes that belong to that
     * stage to the write.
     */
    private static Step rollBackStep(FleetView fleet, Step step, ConditionalWrite write) {
        Release release = fleet.release();
        return switch (step.stage()) {
            case WAITING -> step.withStage(Stage.UNTOUCHED, true);
            case DRAIN -> {
                String drainKey = FleetView.drainKey(release.kind(), step.name());
                write.expect(drainKey, fleet.version(drainKey)).put(drainKey, null);
                yield step.withStage(Stage.UNDRAIN, true);
            }
            case RESTART -> {
                if (release.isBrokerConfig()) {
                    write.put(FleetView.TARGET_CONFIG + step.name(), step.previousVersion());
                }
                yield step.withStage(Stage.RESTART, true);
            }
            case BACK, SETTLED -> step.withStage(Stage.WAITING, true);
            case UNDRAIN, UNTOUCHED -> step;
        };
    }

    /**
     * Returns the write that plans a release; it replaces a release that is planned or done.
     *
     * @param members the members in the order in which they are changed
     * @param waveSizes the number of members of each wave; the last size is repeated
     */
    public static ConditionalWrite plan(
            FleetView fleet, Release release, List<String> members, List<Integer> waveSizes) {
        Release planned = release.with(false, Progress.PLANNED, "");
        ConditionalWrite write =
                ConditionalWrite.withReason(
                                "release "
                                        + release.id()
                                        + " planned: "
                                        + release.artifact()
                                        + " "
                                        + release.targetVersion()
                                        + " on "
                                        + members.size()
                                        + " members")
                        .expect(FleetView.RELEASE, fleet.version(FleetView.RELEASE))
                        .put(FleetView.RELEASE, FleetCodec.encode(planned));
        for (Step previous : fleet.steps().values()) {
            String key = FleetView.STEP + previous.name();
            write.expect(key, previous.version()).put(key, null);
        }
        int wave = FIRST_WAVE;
        int remaining = waveSizes.get(0);
        for (String name : members) {
            if (remaining == 0) {
                remaining = waveSizes.get(Math.min(wave, waveSizes.size() - 1));
                wave++;
            }
            remaining--;
            Member member = fleet.members().get(name);
            String previousVersion =
                    release.kind() == Kind.BROKER ? versionOf(release, member) : "";
            Step step = new Step(name, wave, false, Stage.WAITING, "", previousVersion, 0);
            write.put(FleetView.STEP + name, FleetCodec.encode(step));
        }
        return write;
    }

    /**
     * Returns the version of the released artifact that a broker runs, "" if it has not registered.
     */
    static String versionOf(Release release, Member member) {
        if (member == null) {
            return "";
        }
        return release.artifact().equals("config") ? member.config() : member.program();
    }
}
