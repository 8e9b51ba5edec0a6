package reeldeal.fleet.takeover;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Member;

/**
 * Decides which broker takes over which record, and whether its request may be run again. All
 * brokers derive the same assignment from the same state; if their copies differ, the conditions of
 * the writes let only one of them get the record.
 *
 * <p>Stateless. The simulation overrides methods with broken rules, to check that it detects them.
 */
public class TakeoverPolicy {

    /**
     * The time for which searchers drop repeats of a key, counted from when its request was first
     * sent.
     *
     * @param windowMs the configured length, ms; 0 if repeats do no harm
     * @param clockErrorMs the maximum difference between the wall clocks of two machines, ms
     * @param minimumTimeLeftMs the minimum time that a shard request needs, ms
     */
    public record Window(long windowMs, long clockErrorMs, long minimumTimeLeftMs) {
        /**
         * Returns the Unix ms at which the window of a request ends that was first sent at {@code
         * firstSentAtMs}; from then on none of its shard requests may be sent. The window never
         * ends if repeats do no harm.
         */
        public long endsAt(long firstSentAtMs) {
            return windowMs == 0 ? Long.MAX_VALUE : firstSentAtMs + windowMs - clockErrorMs;
        }
    }

    /** Whether a request may be run again whose shard requests may have been sent. */
    public enum Verdict {
        /** The request may be run again. */
        RUN,
        /** The request may have run, and cannot be run again safely. */
        UNKNOWN,
        /** Too little time is left before the deadline; a repeat would do no harm. */
        TOO_LATE;

        /** Returns the final state of a request that may not be run again. */
        RequestRecord.State finalState() {
            return this == UNKNOWN ? RequestRecord.State.UNKNOWN : RequestRecord.State.FAILED;
        }

        /** Returns the recorded outcome of a request that may not be run again. */
        String finalOutcome() {
            return this == UNKNOWN ? "" : InFlightRequests.LATE;
        }
    }

    /**
     * Whether a record is open and its owner can no longer run the request: the owner is not a
     * member, its lease has ended, or it has another incarnation now.
     */
    public boolean isOrphaned(FleetView fleet, RequestRecord record) {
        Member owner = fleet.members().get(record.owner());
        return record.isOpen()
                && (owner == null
                        || !owner.hasLease()
                        || owner.incarnation() != record.incarnation());
    }

    /**
     * Returns the orphaned records that a broker has to take over, by descending priority weight,
     * then by ascending deadline. Each is assigned to the serving broker with the fewest open
     * records; among equals, a broker outside the zone of the record's owner is preferred.
     */
    public List<RequestRecord> assignedOrphans(
            FleetView fleet, Collection<RequestRecord> open, String self) {
        List<RequestRecord> orphans = new ArrayList<>();
        Map<String, Integer> openByBroker = new TreeMap<>();
        for (RequestRecord record : open) {
            if (isOrphaned(fleet, record)) {
                orphans.add(record);
            } else if (record.isOpen()) {
                openByBroker.merge(record.owner(), 1, Integer::sum);
            }
        }
        List<RequestRecord> assigned = new ArrayList<>();
        List<String> candidates =
                fleet.members().values().stream()
                        .filter(Member::isServing)
                        .map(Member::name)
                        .toList();
        if (orphans.isEmpty() || !candidates.contains(self)) {
            return assigned;
        }
        orphans.sort(
                Comparator.comparingDouble((RequestRecord record) -> -record.priorityWeight())
                        .thenComparingLong(RequestRecord::deadlineMs)
                        .thenComparing(RequestRecord::key));
        for (RequestRecord orphan : orphans) {
            String successor =
                    candidates.stream().min(preference(fleet, orphan, openByBroker)).orElseThrow();
            openByBroker.merge(successor, 1, Integer::sum);
            if (successor.equals(self)) {
                assigned.add(orphan);
            }
        }
        return assigned;
    }

    private static Comparator<String> preference(
            FleetView fleet, RequestRecord orphan, Map<String, Integer> openByBroker) {
        Member owner = fleet.members().get(orphan.owner());
        String zone = owner == null ? "" : owner.zone();
        return Comparator.<String>comparingInt(name -> openByBroker.getOrDefault(name, 0))
                .thenComparing(name -> fleet.members().get(name).zone().equals(zone))
                .thenComparingInt(name -> (orphan.key() + name).hashCode());
    }

    /**
     * Returns the write with which a broker takes over a record. It expects that the record, and
     * the end of its owner's lease, are as this broker's copy shows them.
     */
    public ConditionalWrite claim(FleetView fleet, RequestRecord record, Member self) {
        RequestRecord claimed = record.takenOverBy(self.name(), self.incarnation());
        return write(fleet, record, self, "takes over", claimed);
    }

    /**
     * Returns the write with which a broker ends an orphaned record whose request may not be run
     * again, with the same conditions as {@link #claim}.
     */
    public ConditionalWrite close(
            FleetView fleet, RequestRecord record, Member self, Verdict verdict, long now) {
        RequestRecord ended = record.ended(verdict.finalState(), verdict.finalOutcome(), now);
        return write(fleet, record, self, "ends", ended);
    }

    private ConditionalWrite write(
            FleetView fleet,
            RequestRecord record,
            Member self,
            String verb,
            RequestRecord replacement) {
        String storeKey = RequestRecord.storeKey(record.key());
        String description =
                self.name() + " " + verb + " request " + record.key() + " of " + record.owner();
        ConditionalWrite write =
                ConditionalWrite.withReason(description)
                        .expect(storeKey, record.version())
                        .expect(FleetView.REGISTRATION + self.name(), self.incarnation())
                        .expect(FleetView.STATE + self.name(), self.stateVersion());
        expectOwnerEnded(fleet, record, write);
        return write.put(storeKey, replacement.toAttributes());
    }

    /**
     * Makes a write expect the owner's registration and state at the versions by which the owner's
     * lease has ended.
     */
    protected void expectOwnerEnded(FleetView fleet, RequestRecord record, ConditionalWrite write) {
        String registration = FleetView.REGISTRATION + record.owner();
        String state = FleetView.STATE + record.owner();
        write.expect(registration, fleet.version(registration)).expect(state, fleet.version(state));
    }

    /**
     * Returns whether a request may be run again at {@code now}, Unix ms.
     *
     * @param isDeduplicated whether the searchers that may have run the request can be shown to
     *     drop repeats, as each is still the same process as when the request was first sent
     */
    public Verdict verdict(RequestRecord record, long now, Window window, boolean isDeduplicated) {
        boolean mayRunTwice = window.windowMs() > 0 && !isDeduplicated;
        return mayRunTwice ? Verdict.UNKNOWN : verdict(record, now, window);
    }

    /**
     * Returns whether a request may be run again at {@code now} if searchers drop its repeats
     * within the window.
     */
    public Verdict verdict(RequestRecord record, long now, Window window) {
        if (now + window.minimumTimeLeftMs() > record.deadlineMs()) {
            return window.windowMs() == 0 ? Verdict.TOO_LATE : Verdict.UNKNOWN;
        }
        return isRepeatable(record, now, window) ? Verdict.RUN : Verdict.UNKNOWN;
    }

    /**
     * Whether a repeat does no harm, or searchers will drop it for at least as long as a shard
     * request needs.
     */
    public boolean isRepeatable(RequestRecord record, long now, Window window) {
        return window.windowMs() == 0
                || now + window.minimumTimeLeftMs() <= window.endsAt(record.firstSentAtMs());
    }
}
