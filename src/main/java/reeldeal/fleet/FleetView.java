package reeldeal.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The stored state of the fleet at one version. Decisions are based on this view and on
 * observations that are not in the store; each resulting write expects the versions that were read
 * from this view.
 *
 * <p>Immutable and safe to share between threads, provided that the map it was built from is not
 * changed.
 */
public final class FleetView {
    /** The prefix of all fleet keys. */
    public static final String ROOT = "fleet/";

    /** The key of the {@link DisruptionPolicy}. */
    public static final String POLICY = ROOT + "policy";

    /** The prefix of broker registrations, followed by the name of the broker. */
    public static final String REGISTRATION = ROOT + "boot/";

    /** The prefix of broker states, followed by the name of the broker. */
    public static final String STATE = ROOT + "state/";

    /** The prefix of searchers that were listed, followed by the name of the searcher. */
    public static final String SEARCHER = ROOT + "searcher/";

    /**
     * The prefix of the configuration version each broker is to start with, followed by its name.
     */
    public static final String TARGET_CONFIG = ROOT + "target/";

    /** The prefix of configuration texts, followed by the {@link ConfigVersion}. */
    public static final String CONFIG = ROOT + "config/";

    /** The key of the current release: the one that is planned or running, or the last one. */
    public static final String RELEASE = ROOT + "release";

    /** The prefix of the steps of the current release, followed by the name of the member. */
    public static final String STEP = ROOT + "step/";

    /**
     * The key that is rewritten whenever a permit is granted or released, so that no two such
     * changes can be based on the same state.
     */
    public static final String PERMIT_SERIAL = ROOT + "serial";

    private static final String PERMIT = ROOT + "permit/";
    private static final String DRAIN = ROOT + "drain/";

    /** A stored value with the version of the write that set it. */
    public record Value(String text, long version) {}

    /** The kinds of processes that can be taken out of service. */
    public enum Kind implements StoredIdentifier {
        BROKER("BROKER"),
        SEARCHER("SEARCHER");

        private final String stored;

        Kind(String stored) {
            this.stored = stored;
        }

        @Override
        public String stored() {
            return stored;
        }

        /** Returns the name of this kind in keys and in operator commands. */
        public String lowerCase() {
            return stored.toLowerCase(Locale.ROOT);
        }
    }

    /**
     * The state of a broker: reported by the broker itself, except LAPSED, which the leader writes
     * when the lease expires.
     */
    public enum State implements StoredIdentifier {
        STARTING("STARTING"),
        SERVING("SERVING"),
        DRAINING("DRAINING"),
        GONE("GONE"),
        LAPSED("LAPSED");

        private final String stored;

        State(String stored) {
            this.stored = stored;
        }

        @Override
        public String stored() {
            return stored;
        }
    }

    /**
     * The registration of a broker, and its last state.
     *
     * @param name the name of the broker, the same for all its processes
     * @param incarnation the version of the registering write, which is the fencing token of every
     *     write of this process
     * @param bootId the unique identifier of the process, which distinguishes a process that
     *     registers again from a new one
     * @param session the process's session in the store
     * @param zone the availability zone
     * @param program the program's version
     * @param config the version of the configuration that the process runs
     * @param state the state of this incarnation, STARTING until it has written a state
     * @param stateVersion the version of the last state write, 0 if there was none
     * @param reason why the broker is in this state, may be empty
     * @param crashedIncarnation the incarnation of the preceding process if it ended without
     *     deregistering, otherwise 0
     */
    public record Member(
            String name,
            long incarnation,
            String bootId,
            String session,
            String zone,
            String program,
            String config,
            State state,
            long stateVersion,
            String reason,
            long crashedIncarnation) {
        /** Returns whether the member holds a lease according to the log. */
        public boolean hasLease() {
            return state != State.GONE && state != State.LAPSED;
        }

        /** Returns whether the member has reported that it accepts clients. */
        public boolean isServing() {
            return state == State.SERVING;
        }
    }

    /**
     * A slot of the disruption budget that {@link DisruptionPolicy} limits. Its holder may be out
     * of service, and counts as out until there is evidence of its return.
     *
     * @param processMark the process that had the name at the time of the grant: the boot of a
     *     broker, or the start of a searcher in Unix ms
     * @param requestedBy who requested the permit: {@code release}, {@code operator}, {@code exit},
     *     or {@code found} for an outage that nobody requested
     * @param planned whether the permit was granted before its holder went out of service
     */
    public record Permit(
            Kind kind,
            String name,
            String processMark,
            String requestedBy,
            boolean planned,
            String reason,
            long version) {}

    /**
     * A searcher that was listed at least once. The store keeps it, so that its absence is
     * detected.
     *
     * @param cell the cell whose shards the searcher holds
     * @param startedAtMs when its process started, Unix ms
     */
    public record KnownSearcher(
            String name, String zone, String kind, int cell, long startedAtMs, long version) {}

    /** The stages that a member passes through in a release. */
    public enum Stage implements StoredIdentifier {
        WAITING("WAITING"),
        DRAIN("DRAIN"),
        RESTART("RESTART"),
        UNDRAIN("UNDRAIN"),
        BACK("BACK"),
        SETTLED("SETTLED"),
        UNTOUCHED("UNTOUCHED");

        private final String stored;

        Stage(String stored) {
            this.stored = stored;
        }

        @Override
        public String stored() {
            return stored;
        }
    }

    /**
     * The progress of one member in the release.
     *
     * @param wave the number of the member's wave, from 1
     * @param rollingBack whether the member is being rolled back
     * @param processMark the process at the beginning of the stage: the boot of a broker, or the
     *     start of a searcher in Unix ms
     * @param previousVersion the version that the member had before the release
     */
    public record Step(
            String name,
            int wave,
            boolean rollingBack,
            Stage stage,
            String processMark,
            String previousVersion,
            long version) {
        /** Returns a copy of this step at another stage, for the process with this mark. */
        public Step withStage(Stage newStage, String newMark) {
            return new Step(name, wave, rollingBack, newStage, newMark, previousVersion, version);
        }

        /** Returns a copy of this step at another stage, in either direction of the release. */
        public Step withStage(Stage newStage, boolean rollingBack) {
            return new Step(
                    name, wave, rollingBack, newStage, processMark, previousVersion, version);
        }

        /** Returns whether the release has nothing more to do for this member. */
        public boolean isFinished() {
            return stage == Stage.SETTLED || stage == Stage.UNTOUCHED;
        }
    }

    /** The states of a release. */
    public enum Progress implements StoredIdentifier {
        PLANNED("PLANNED"),
        RUNNING("RUNNING"),
        PAUSED("PAUSED"),
        HALTED("HALTED"),
        DONE("DONE");

        private final String stored;

        Progress(String stored) {
            this.stored = stored;
        }

        @Override
        public String stored() {
            return stored;
        }
    }

    /**
     * A release of a configuration or a program to a list of members.
     *
     * @param artifact {@code config} or {@code program}
     * @param targetVersion the version to roll out
     * @param rollingBack whether the release is being rolled back
     * @param reason why the release is in this state
     * @param settleMs how long a member must have served before the next wave begins, ms
     * @param stepMs the timeout of one stage of a member, ms
     */
    public record Release(
            String id,
            Kind kind,
            String artifact,
            String targetVersion,
            boolean rollingBack,
            Progress progress,
            String reason,
            long settleMs,
            long stepMs,
            long version) {
        /** Returns whether the release is running, so that its members advance. */
        public boolean isRunning() {
            return progress == Progress.RUNNING;
        }

        /**
         * Returns whether this release rolls out a broker configuration, which the store
         * distributes.
         */
        public boolean isBrokerConfig() {
            return kind == Kind.BROKER && artifact.equals("config");
        }

        /** Returns a copy of this release in another state. */
        public Release with(boolean rollingBack, Progress newProgress, String newReason) {
            return new Release(
                    id,
                    kind,
                    artifact,
                    targetVersion,
                    rollingBack,
                    newProgress,
                    newReason,
                    settleMs,
                    stepMs,
                    version);
        }
    }

    private final Map<String, Value> values;
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, Permit> brokerPermits = new TreeMap<>();
    private final Map<String, Permit> searcherPermits = new TreeMap<>();
    private final Map<String, KnownSearcher> searchers = new TreeMap<>();
    private final Map<String, Step> steps = new TreeMap<>();
    private final DisruptionPolicy policy;
    private final Release release;

    /** Creates a view of all values under {@link #ROOT}; the map must not be changed afterwards. */
    public FleetView(Map<String, Value> values) {
        this.values = values;
        String policyText = get(POLICY);
        policy = DisruptionPolicy.parse(policyText == null ? "" : policyText);
        Value releaseValue = values.get(RELEASE);
        release = releaseValue == null ? null : FleetCodec.decodeRelease(releaseValue);
        values.forEach(this::index);
    }

    private void index(String key, Value value) {
        if (key.startsWith(REGISTRATION)) {
            String name = key.substring(REGISTRATION.length());
            members.put(name, FleetCodec.decodeMember(name, value, values.get(STATE + name)));
        } else if (key.startsWith(PERMIT)) {
            indexPermit(key, value);
        } else if (key.startsWith(SEARCHER)) {
            String name = key.substring(SEARCHER.length());
            searchers.put(name, FleetCodec.decodeSearcher(name, value));
        } else if (key.startsWith(STEP)) {
            String name = key.substring(STEP.length());
            steps.put(name, FleetCodec.decodeStep(name, value));
        }
    }

    private void indexPermit(String key, Value value) {
        boolean isBroker = key.startsWith(PERMIT + Kind.BROKER.lowerCase());
        Kind kind = isBroker ? Kind.BROKER : Kind.SEARCHER;
        String name = key.substring(permitKey(kind, "").length());
        Map<String, Permit> permits = isBroker ? brokerPermits : searcherPermits;
        permits.put(name, FleetCodec.decodePermit(kind, name, value));
    }

    /** Returns the version of the last write to a key, 0 if the key does not exist. */
    public long version(String key) {
        Value value = values.get(key);
        return value == null ? 0 : value.version();
    }

    /** Returns the value of a key, or null if the key does not exist. */
    public String get(String key) {
        Value value = values.get(key);
        return value == null ? null : value.text();
    }

    /**
     * Returns how many processes had been started on the data directory of a member when it last
     * registered, 0 if not counted.
     */
    public long starts(String name) {
        return FleetCodec.decodeStarts(get(REGISTRATION + name));
    }

    /** Returns the limits on how many members may be out at the same time. */
    public DisruptionPolicy policy() {
        return policy;
    }

    /**
     * Returns the release that is planned or running, else the last one, or null if there was none.
     */
    public Release release() {
        return release;
    }

    /** Returns the registered brokers by name. */
    public Map<String, Member> members() {
        return Collections.unmodifiableMap(members);
    }

    /** Returns all searchers that were ever listed, by name. */
    public Map<String, KnownSearcher> searchers() {
        return Collections.unmodifiableMap(searchers);
    }

    /** Returns the permits by the name of their holder, which may be out of service. */
    public Map<String, Permit> permits(Kind kind) {
        return Collections.unmodifiableMap(kind == Kind.BROKER ? brokerPermits : searcherPermits);
    }

    /** Returns the steps of the release by the name of the member. */
    public Map<String, Step> steps() {
        return Collections.unmodifiableMap(steps);
    }

    /**
     * Returns the mark of the process of this name that is to be drained, or null if there is none.
     */
    public String drainMark(Kind kind, String name) {
        String drain = get(drainKey(kind, name));
        return drain == null ? null : FleetCodec.decodeDrainMark(drain);
    }

    /**
     * Returns the mark of the process that currently has this name: the boot of a broker, or the
     * start of a searcher in Unix ms; "" if there is none.
     */
    public String processMark(Kind kind, String name) {
        if (kind == Kind.BROKER) {
            Member member = members.get(name);
            return member == null ? "" : member.bootId();
        }
        KnownSearcher searcher = searchers.get(name);
        return searcher == null ? "" : String.valueOf(searcher.startedAtMs());
    }

    /** Returns the names of the searchers with a drain, ordered by an operator or a release. */
    public List<String> drainedSearchers() {
        String prefix = drainKey(Kind.SEARCHER, "");
        List<String> drained = new ArrayList<>();
        values.keySet().stream()
                .filter(key -> key.startsWith(prefix))
                .forEach(key -> drained.add(key.substring(prefix.length())));
        return drained;
    }

    /** Returns the key of a drain, whose value contains the mark of the process to be drained. */
    public static String drainKey(Kind kind, String name) {
        return DRAIN + kind.lowerCase() + "/" + name;
    }

    /** Returns the key of a permit. */
    public static String permitKey(Kind kind, String name) {
        return PERMIT + kind.lowerCase() + "/" + name;
    }

    /**
     * Returns the write that changes the state of a member. It expects the registration, the last
     * state and the drain of the member as they are in this view, so that it fails for a superseded
     * process.
     */
    public ConditionalWrite stateWrite(Member member, State state, String reason) {
        String drainKey = drainKey(Kind.BROKER, member.name());
        String description =
                member.name()
                        + " "
                        + state.stored().toLowerCase(Locale.ROOT)
                        + (reason.isEmpty() ? "" : ": " + reason);
        return ConditionalWrite.withReason(description)
                .expect(REGISTRATION + member.name(), member.incarnation())
                .expect(STATE + member.name(), member.stateVersion())
                .expect(drainKey, version(drainKey))
                .put(
                        STATE + member.name(),
                        FleetCodec.encodeState(member.incarnation(), state, reason));
    }
}
