package reeldeal.fleet;

import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.KnownSearcher;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.FleetView.Permit;
import reeldeal.fleet.FleetView.Progress;
import reeldeal.fleet.FleetView.Release;
import reeldeal.fleet.FleetView.Stage;
import reeldeal.fleet.FleetView.State;
import reeldeal.fleet.FleetView.Step;
import reeldeal.fleet.FleetView.Value;

/**
 * Encodes and decodes the stored values of the fleet. The attribute names are part of the stored
 * data and must never change; no other class contains them. Stateless, callable from any thread.
 */
public final class FleetCodec {
    private static final long DEFAULT_SETTLE_MS = 5_000;
    private static final long DEFAULT_STEP_MS = 60_000;

    /**
     * The data that a broker process registers in the store.
     *
     * @param bootId the unique identifier of the process
     * @param session the process's session in the store
     * @param zone the availability zone
     * @param program the program's version
     * @param config the version of the configuration that the process runs
     * @param starts how many processes were started on this data directory, 0 if not counted
     * @param crashedIncarnation the incarnation of the preceding process if it ended without
     *     deregistering, otherwise 0
     */
    public record Registration(
            String bootId,
            String session,
            String zone,
            String program,
            String config,
            long starts,
            long crashedIncarnation) {}

    private FleetCodec() {}

    // ---- reading ----

    /**
     * Decodes a member from its registration and its last state, null if no state was written yet.
     */
    static Member decodeMember(String name, Value registration, Value state) {
        FormAttributes attributes = FormAttributes.of(registration.text());
        FormAttributes stateAttributes = FormAttributes.of(state == null ? "" : state.text());
        // A state written by an earlier incarnation does not apply to this one.
        boolean isCurrent = stateAttributes.number("incarnation", -1) == registration.version();
        return new Member(
                name,
                registration.version(),
                attributes.get("boot"),
                attributes.get("session"),
                attributes.get("zone"),
                attributes.get("program"),
                attributes.get("config"),
                isCurrent
                        ? StoredIdentifier.parse(State.class, stateAttributes.get("state"))
                        : State.STARTING,
                state == null ? 0 : state.version(),
                isCurrent ? stateAttributes.get("reason") : "",
                attributes.number("after", 0));
    }

    /**
     * Returns how many processes were started on the data directory of a registration, 0 if it has
     * no such count or is null.
     */
    public static long decodeStarts(String registration) {
        return registration == null ? 0 : FormAttributes.of(registration).number("starts", 0);
    }

    static Permit decodePermit(Kind kind, String name, Value value) {
        FormAttributes attributes = FormAttributes.of(value.text());
        return new Permit(
                kind,
                name,
                attributes.get("mark"),
                attributes.get("by"),
                attributes.get("planned").equals("true"),
                attributes.get("reason"),
                value.version());
    }

    /** Decodes the mark of the process that a drain applies to. */
    static String decodeDrainMark(String drain) {
        return FormAttributes.of(drain).get("mark");
    }

    static KnownSearcher decodeSearcher(String name, Value value) {
        FormAttributes attributes = FormAttributes.of(value.text());
        return new KnownSearcher(
                name,
                attributes.get("zone"),
                attributes.get("kind"),
                (int) attributes.number("cell", 0),
                attributes.number("since", 0),
                value.version());
    }

    static Step decodeStep(String name, Value value) {
        FormAttributes attributes = FormAttributes.of(value.text());
        return new Step(
                name,
                (int) attributes.number("wave", 1),
                attributes.get("back").equals("true"),
                StoredIdentifier.parse(Stage.class, attributes.get("stage")),
                attributes.get("mark"),
                attributes.get("from"),
                value.version());
    }

    static Release decodeRelease(Value value) {
        FormAttributes attributes = FormAttributes.of(value.text());
        return new Release(
                attributes.get("id"),
                StoredIdentifier.parse(Kind.class, attributes.get("kind")),
                attributes.get("what"),
                attributes.get("to"),
                attributes.get("back").equals("true"),
                StoredIdentifier.parse(Progress.class, attributes.get("progress")),
                attributes.get("reason"),
                attributes.number("settle_ms", DEFAULT_SETTLE_MS),
                attributes.number("step_ms", DEFAULT_STEP_MS),
                value.version());
    }

    // ---- writing ----

    /** Encodes a registration. */
    public static FormAttributes encode(Registration registration) {
        return new FormAttributes()
                .with("boot", registration.bootId())
                .with("session", registration.session())
                .with("zone", registration.zone())
                .with("program", registration.program())
                .with("config", registration.config())
                .with("starts", registration.starts())
                .with("after", registration.crashedIncarnation());
    }

    /** Encodes the state of a member, which is valid for one incarnation. */
    static FormAttributes encodeState(long incarnation, State state, String reason) {
        return new FormAttributes()
                .with("incarnation", incarnation)
                .with("state", state.stored())
                .with("reason", reason);
    }

    /**
     * Encodes a drain.
     *
     * @param mark the process to be drained: the boot of a broker, or the start of a searcher in
     *     Unix ms
     * @param requestedBy {@code operator}, or {@code release} and the ID of the release
     */
    public static FormAttributes encodeDrain(String mark, String requestedBy) {
        return new FormAttributes().with("mark", mark).with("by", requestedBy);
    }

    /** Encodes a permit; see {@link Permit} for the parameters. */
    public static FormAttributes encodePermit(
            String mark, String requestedBy, boolean planned, String reason) {
        return new FormAttributes()
                .with("mark", mark)
                .with("by", requestedBy)
                .with("planned", planned)
                .with("reason", reason);
    }

    /** Encodes a listed searcher, without its name and version. */
    public static FormAttributes encode(KnownSearcher searcher) {
        return new FormAttributes()
                .with("zone", searcher.zone())
                .with("kind", searcher.kind())
                .with("cell", searcher.cell())
                .with("since", searcher.startedAtMs());
    }

    /** Encodes a step, without its name and version. */
    public static FormAttributes encode(Step step) {
        return new FormAttributes()
                .with("wave", step.wave())
                .with("back", step.rollingBack())
                .with("stage", step.stage().stored())
                .with("mark", step.processMark())
                .with("from", step.previousVersion());
    }

    /** Encodes a release, without its version. */
    public static FormAttributes encode(Release release) {
        return new FormAttributes()
                .with("id", release.id())
                .with("kind", release.kind().stored())
                .with("what", release.artifact())
                .with("to", release.targetVersion())
                .with("back", release.rollingBack())
                .with("progress", release.progress().stored())
                .with("reason", release.reason())
                .with("settle_ms", release.settleMs())
                .with("step_ms", release.stepMs());
    }
}
