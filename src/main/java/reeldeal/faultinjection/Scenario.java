package reeldeal.faultinjection;

import java.util.List;
import java.util.Map;

/**
 * A fault-injection scenario: a fleet, its load, a rollout, and the faults with their times.
 *
 * @param name of the scenario, used for folders and reports
 * @param fleet numbers of nodes and searchers
 * @param load what clients send
 * @param policy settings of the fleet's disruption policy, by their names in operators' commands
 * @param rollout the rollout of a configuration or program, which may be disabled
 * @param faults faults that are injected while the scenario runs
 * @param power how searchers behave in a loss of power
 */
public record Scenario(
        String name,
        FleetSize fleet,
        Load load,
        Map<String, String> policy,
        Rollout rollout,
        Faults faults,
        PowerLoss power) {

    /**
     * The numbers of nodes and searchers.
     *
     * @param voters nodes that vote
     * @param learners further brokers, which replicate the store without a vote
     * @param searchers fake searchers, spread over four cells
     * @param spares nodes that do not run until {@link FaultKind#REBUILD} puts one in the place of
     *     a node
     */
    public record FleetSize(int voters, int learners, int searchers, int spares) {
        /** Returns the number of brokers that run from the beginning. */
        int initialBrokers() {
            return voters + learners;
        }
    }

    /**
     * The load that clients send.
     *
     * @param queriesPerSecond queries without idempotency keys a second, over all clients
     * @param keyed requests with idempotency keys, sent in addition
     */
    public record Load(int queriesPerSecond, KeyedRequests keyed) {}

    /**
     * Requests with idempotency keys. Their clients retry at other brokers until they are answered
     * with the outcome.
     *
     * @param perSecond new requests a second, 0 for none
     * @param windowMs how long searchers keep an idempotency key to drop repeats, ms
     * @param serviceMs how long a searcher takes for a shard request, ms; 0 for a random short time
     * @param termMs the term of the brokers' leases, ms
     * @param takeover the settings under {@code handover} in each node's file
     * @param failpoints points at which learners end by themselves, {@code POINT:PERMILLE,...}
     */
    public record KeyedRequests(
            int perSecond,
            long windowMs,
            int serviceMs,
            int termMs,
            Map<String, String> takeover,
            String failpoints) {}

    /**
     * A rollout of a configuration or program.
     *
     * @param enabled whether the scenario has a rollout
     * @param find text of the old configuration that the new one replaces
     * @param replace text that the new configuration has instead
     * @param waves sizes of the waves, joined by commas
     * @param settleMs how long a member must have served before the next wave begins, ms
     * @param stepMs how long one step may take, ms
     * @param onHalt order of the operator once the rollout has halted and all faults are over
     */
    public record Rollout(
            boolean enabled,
            String find,
            String replace,
            String waves,
            long settleMs,
            long stepMs,
            OnHalt onHalt) {}

    /** The orders that an operator may give for a rollout that has halted. */
    public enum OnHalt {
        RESUME,
        ROLL_BACK
    }

    /**
     * The faults that are injected.
     *
     * @param durationMs how long faults are injected, ms from the beginning of the rollout
     * @param frames faults of the frames between nodes during that time
     * @param nodes faults of nodes that last for the whole scenario
     * @param actions single faults and orders, with their times
     */
    public record Faults(
            long durationMs, FrameFaults frames, NodeFaults nodes, List<Action> actions) {}

    /** Percentages of the frames between nodes that are dropped, delayed and duplicated. */
    public record FrameFaults(int dropPct, int delayPct, int duplicatePct) {
        /** No frame is dropped, delayed or duplicated. */
        static final FrameFaults NONE = new FrameFaults(0, 0, 0);
    }

    /**
     * Faults of nodes that last for the whole scenario.
     *
     * @param clockSkewPct the most by which monotonic clocks run too fast or too slow, per cent
     * @param slowDiskMs extra time of each write to the first voter's data directory, ms
     * @param allDisksSlow whether {@code slowDiskMs} applies to all nodes
     */
    public record NodeFaults(int clockSkewPct, int slowDiskMs, boolean allDisksSlow) {}

    /**
     * The behaviour of searchers and clients in a loss of power.
     *
     * @param enabled whether the load is mixed and searchers fail when they are overloaded in slow
     *     start
     * @param slowStartMs how long the slow start of a searcher takes, ms
     * @param capacityPerSecond shard requests a second that a searcher serves after slow start
     * @param loadFactor multiple of the usual load that clients send for ten seconds after a loss
     * @param recoverySteps the shares of the fleet's recovery ramp, {@code off} for none
     */
    public record PowerLoss(
            boolean enabled,
            long slowStartMs,
            int capacityPerSecond,
            int loadFactor,
            String recoverySteps) {}

    /**
     * One fault or one operator's order.
     *
     * @param atMs when it is carried out, ms from the beginning of the rollout
     * @param kind the kind of fault, or {@link FaultKind#ORDER}
     * @param target what the action applies to: a node's name; {@code leader}, {@code voter},
     *     {@code broker}, {@code any}, {@code leaving} (one that drains or restarts), {@code
     *     third}, {@code seven} (in ten, one of them a voter), {@code minority} (so many random
     *     voters that a majority runs, each of which comes back after a random part of the
     *     duration); a zone for {@link FaultKind#POWER}; the text of the order for {@link
     *     FaultKind#ORDER}
     * @param durationMs how long the fault lasts, or the offset of the wall clock, ms
     * @param lateMs how much later a majority of the voters comes back after a loss of power, ms
     */
    public record Action(long atMs, FaultKind kind, String target, long durationMs, long lateMs) {
        /** Returns the same action at another time. */
        Action at(long otherMs) {
            return new Action(otherMs, kind, target, durationMs, lateMs);
        }
    }
}
