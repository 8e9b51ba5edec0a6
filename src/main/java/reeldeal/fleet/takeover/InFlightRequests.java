package reeldeal.fleet.takeover;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.takeover.RequestAction.Purpose;

/**
 * Manages the keyed requests that one broker has in flight. A request is recorded before its first
 * shard request is sent. Its client gets only an outcome that is recorded, as does any client that
 * sends the same key again. Records of failed brokers are claimed a few at a time. The owner of a
 * record is determined by the log; after a write with an unknown outcome, the record is read from
 * there. If no record can be made in time, the request is rejected, or runs without one.
 *
 * <p>This is a state machine without I/O: its inputs are method calls with the time in Unix ms, its
 * outputs are taken with {@link #drainActions}. The cost of an event grows with the number of open
 * records, not with the number of ended records that are still kept. Used on the store's loop.
 */
public class InFlightRequests {
    /** The recorded outcome of a request that ended without having been served in time. */
    public static final String LATE = "late";

    /** The ways in which a run ends. */
    public enum RunOutcome {
        /** The request was served. */
        DONE,
        /** The request was not served, but searchers may have run it. */
        FAILED,
        /** The request was not served; no shard request of this run was sent. */
        UNSENT
    }

    /**
     * The limits of one broker.
     *
     * @param maxClaims the maximum number of takeovers in progress
     * @param maxInFlight the maximum number of requests in flight; requests beyond it are not
     *     recorded
     * @param recordTimeoutMs how long a client waits for its request to be recorded, ms
     * @param retryMs the delay before a retry of a failed write, or of a run that was not admitted,
     *     ms
     */
    public record Bounds(int maxClaims, int maxInFlight, long recordTimeoutMs, long retryMs) {}

    /** The end of a run that its record does not show yet. */
    private record EndedRun(RunOutcome outcome, String text) {}

    private final String broker;
    private final TakeoverPolicy policy;
    private final Function<String, TakeoverPolicy.Window> windows;
    private final Bounds bounds;
    private final Function<String, RequestRecord> recordReader;
    private final RecordWrites recordWrites;
    private final WaitingClients waiting = new WaitingClients();
    private final PendingWrites writes = new PendingWrites();
    private final List<RequestAction> actions = new ArrayList<>();

    /** The open records in this node's copy of the log, of all owners, by key. */
    private final Map<String, RequestRecord> openRecords = new TreeMap<>();

    /** The keys of the requests that run, each with whether it runs under a record. */
    private final Map<String, Boolean> running = new HashMap<>();

    /** The number of the last run of a key that this broker started and may have sent. */
    private final Map<String, Integer> lastStartedRuns = new HashMap<>();

    /** The keys of failed records that this broker runs again for a client that waits. */
    private final Set<String> restartedKeys = new HashSet<>();

    /** Runs that have ended, kept until their records show the end. */
    private final Map<String, EndedRun> endedRuns = new HashMap<>();

    /** When to retry a run that was not admitted, Unix ms, by key. */
    private final Map<String, Long> retryAtMs = new HashMap<>();

    private FleetView fleet = new FleetView(Map.of());
    private Member self;
    private boolean isStoreFull;
    private boolean isClockInDoubt;
    private Predicate<RequestRecord> isDeduplicated = record -> true;

    /**
     * Creates the state of a broker without requests.
     *
     * @param windows returns the deduplication window of a query class
     * @param recordReader returns the record of a key in this node's copy, null if there is none
     */
    public InFlightRequests(
            String broker,
            TakeoverPolicy policy,
            Function<String, TakeoverPolicy.Window> windows,
            Bounds bounds,
            Function<String, RequestRecord> recordReader) {
        this(broker, policy, windows, bounds, recordReader, new RecordWrites());
    }

    /** Creates the state with replaced {@link RecordWrites}. */
    public InFlightRequests(
            String broker,
            TakeoverPolicy policy,
            Function<String, TakeoverPolicy.Window> windows,
            Bounds bounds,
            Function<String, RequestRecord> recordReader,
            RecordWrites recordWrites) {
        this.broker = broker;
        this.policy = policy;
        this.windows = windows;
        this.bounds = bounds;
        this.recordReader = recordReader;
        this.recordWrites = recordWrites;
    }

    // ---- inputs ----

    /** Applies this node's new copy of the fleet; {@code newSelf} is null if not registered. */
    public void onFleetChanged(long now, FleetView newFleet, Member newSelf) {
        fleet = newFleet;
        self = newSelf;
        tick(now);
    }

    /** Applies changes to the records of these keys in this node's copy. */
    public void recordsChanged(long now, Collection<String> keys) {
        for (String key : keys) {
            RequestRecord record = recordReader.apply(key);
            if (record != null && record.isOpen()) {
                openRecords.put(key, record);
            } else {
                openRecords.remove(key);
                lastStartedRuns.remove(key);
                if (record == null || record.state() != RequestRecord.State.FAILED) {
                    restartedKeys.remove(key);
                }
            }
            reconcile(now, key);
        }
    }

    /** Accepts a request from a client. */
    public void submit(long now, KeyedRequest request) {
        long joinDeadlineMs = Math.min(request.deadlineMs(), now + bounds.recordTimeoutMs());
        WaitingClients.Client client = new WaitingClients.Client(request, joinDeadlineMs);
        String key = request.key();
        if (!canRecord() && recordReader.apply(key) == null && !running.containsKey(key)) {
            proceedUnrecorded(client);
            return;
        }
        waiting.add(client);
        reconcile(now, key);
    }

    private boolean canRecord() {
        return hasLease() && !isStoreFull && !isClockInDoubt && inFlight() < bounds.maxInFlight();
    }

    /**
     * Sets the check that returns whether the searchers that may have run a request can be shown to
     * drop repeats of its key.
     */
    public void setDeduplicationCheck(Predicate<RequestRecord> check) {
        isDeduplicated = check;
    }

    /** Removes a client that has disconnected; its request is not stopped. */
    public void clientDisconnected(String key, long client) {
        waiting.removeIf(key, waitingClient -> waitingClient.request().client() == client);
    }

    /** Handles the end of a run. */
    public void runEnded(long now, String key, RunOutcome outcome, String text) {
        running.remove(key);
        if (owns(key) || writes.contains(key)) {
            endedRuns.put(key, new EndedRun(outcome, text));
        } else if (recordReader.apply(key) == null) {
            // The run had no record: its outcome goes to the clients that joined it.
            replyToAll(key, stateAfter(outcome), text);
        }
        reconcile(now, key);
    }

    private static RequestRecord.State stateAfter(RunOutcome outcome) {
        return outcome == RunOutcome.DONE ? RequestRecord.State.DONE : RequestRecord.State.FAILED;
    }

    /**
     * Handles the end of a write. If it is committed, this node's copy shows its changes already;
     * otherwise the key may be written again after a delay.
     */
    public void writeEnded(long now, String key, boolean committed) {
        if (committed) {
            writes.committed(key);
        } else {
            writes.failed(key, now + bounds.retryMs());
        }
        reconcile(now, key);
    }

    /** Sets whether this machine's clock may be wrong: if so, no records are made or claimed. */
    public void setClockInDoubt(boolean inDoubt) {
        isClockInDoubt = inDoubt;
    }

    /** Sets whether the store accepts no further records; existing ones can still be ended. */
    public void setStoreFull(boolean full) {
        isStoreFull = full;
    }

    /** Returns and removes the actions that have accumulated since the last call, in order. */
    public List<RequestAction> drainActions() {
        List<RequestAction> drained = List.copyOf(actions);
        actions.clear();
        return drained;
    }

    /**
     * Whether this broker owns the open record of a key, according to its copy of the log. To send
     * a shard request, the broker must hold its lease as well.
     */
    public boolean owns(String key) {
        return isOwn(openRecords.get(key));
    }

    /** Returns the number of running requests plus the number of keys that clients wait for. */
    public int inFlight() {
        return running.size() + waiting.size();
    }

    /** Whether a run or a write goes on, or an own record does not show the end of its request. */
    public boolean hasUnfinished() {
        return !running.isEmpty()
                || !endedRuns.isEmpty()
                || !writes.isEmpty()
                || openRecords.values().stream().anyMatch(this::isOwn);
    }

    /** Returns how many open records, of any broker, this node's copy of the store contains. */
    public int openRecordCount() {
        return openRecords.size();
    }

    private boolean isOwn(RequestRecord record) {
        return self != null
                && record != null
                && record.isOpen()
                && record.owner().equals(broker)
                && record.incarnation() == self.incarnation();
    }

    private boolean hasLease() {
        return self != null && self.hasLease();
    }

    // ---- decisions ----

    /** Applies all timeouts and retries that are due, and claims orphaned records. */
    public void tick(long now) {
        Set<String> keys = new TreeSet<>(waiting.keys());
        keys.addAll(running.keySet());
        keys.addAll(endedRuns.keySet());
        writes.expire(now);
        openRecords.values().stream().filter(this::isOwn).forEach(record -> keys.add(record.key()));
        keys.forEach(key -> reconcile(now, key));
        claimOrphans(now);
    }

    private void claimOrphans(long now) {
        if (self == null || !self.isServing() || isClockInDoubt) {
            return;
        }
        long claimsInProgress = openRecords.values().stream().filter(this::isClaimed).count();
        long remainingClaims = bounds.maxClaims() - claimsInProgress;
        for (RequestRecord orphan : policy.assignedOrphans(fleet, openRecords.values(), broker)) {
            TakeoverPolicy.Verdict verdict = verdict(now, orphan);
            if (verdict != TakeoverPolicy.Verdict.RUN) {
                ConditionalWrite close = policy.close(fleet, orphan, self, verdict, now);
                propose(now, orphan.key(), close, Purpose.CLOSE_ORPHAN);
            } else if (remainingClaims > 0 && !writes.contains(orphan.key())) {
                remainingClaims--;
                ConditionalWrite claim = policy.claim(fleet, orphan, self);
                propose(now, orphan.key(), claim, Purpose.TAKE_OVER);
            }
        }
    }

    /** Whether an open record counts as a takeover in progress. */
    private boolean isClaimed(RequestRecord record) {
        return isOwn(record) ? record.runs() > 1 : writes.contains(record.key());
    }

    private TakeoverPolicy.Window window(RequestRecord record) {
        return windows.apply(record.queryClass());
    }

    private TakeoverPolicy.Verdict verdict(long now, RequestRecord record) {
        return policy.verdict(record, now, window(record), isDeduplicated.test(record));
    }

    /** Brings the run, the waiting clients and the pending write of a key in line. */
    private void reconcile(long now, String key) {
        RequestRecord record = recordReader.apply(key);
        boolean isOwn = isOwn(record);
        if (!isOwn) {
            abandonRun(key, record);
        }
        settleWaitingClients(now, key, record);
        if (isOwn) {
            advanceOwnRecord(now, record);
        }
    }

    private void abandonRun(String key, RequestRecord record) {
        if (running.getOrDefault(key, false)) {
            running.remove(key);
            actions.add(new RequestAction.Stop(key));
        }
        EndedRun ended = endedRuns.get(key);
        if (ended != null && record == null && ended.outcome() == RunOutcome.UNSENT) {
            // The record has been withdrawn, as no shard request was sent.
            replyToAll(key, RequestRecord.State.FAILED, ended.text());
            endedRuns.remove(key);
        } else if (ended != null && (record != null || !writes.contains(key))) {
            endedRuns.remove(key);
        }
        retryAtMs.remove(key);
    }

    private void settleWaitingClients(long now, String key, RequestRecord record) {
        if (!waiting.isWaitingFor(key)) {
            return;
        }
        waiting.removeIf(key, client -> settle(now, client, record));
        if (waiting.isWaitingFor(key)) {
            requestRecord(now, key, record);
        } else if (record == null && writes.contains(key)) {
            // Spares a slow store a record that no client waits for any more.
            actions.add(new RequestAction.Drop(key));
        }
    }

    /**
     * Returns whether a client need not wait any longer, and adds the action that answers it, if
     * any.
     */
    private boolean settle(long now, WaitingClients.Client client, RequestRecord record) {
        KeyedRequest request = client.request();
        if (record != null && !request.content().digest().equals(record.digest())) {
            actions.add(new RequestAction.Conflict(request.client()));
            return true;
        }
        if (record != null && client.isOutcome(record)) {
            actions.add(
                    new RequestAction.Reply(request.client(), record.state(), record.outcome()));
            return true;
        }
        if (now >= request.deadlineMs()) {
            return true; // the client no longer waits for a reply
        }
        if (record != null && record.isOpen()) {
            client.join(record);
            return false;
        }
        if (client.isJoinOverdue(now) && !hasRun(request.key())) {
            proceedUnrecorded(client);
            return true;
        }
        return false;
    }

    /** Whether a run is in progress, or its record does not show its end yet. */
    private boolean hasRun(String key) {
        return endedRuns.containsKey(key) || running.containsKey(key);
    }

    /** Proposes a record for the clients that still wait, or a restart if the record has failed. */
    private void requestRecord(long now, String key, RequestRecord record) {
        if (!hasLease()) {
            return;
        }
        if (record == null && !hasRun(key)) {
            RequestRecord newRecord =
                    RequestRecord.begun(waiting.first(key), broker, self.incarnation(), now);
            propose(now, key, recordWrites.create(newRecord), Purpose.RECORD);
        } else if (record != null && record.state() == RequestRecord.State.FAILED) {
            restartedKeys.add(key);
            propose(now, key, restartOrEnd(now, record), Purpose.RECORD);
        }
    }

    private ConditionalWrite restartOrEnd(long now, RequestRecord failed) {
        boolean isRepeatable =
                policy.isRepeatable(failed, now, window(failed))
                        && (window(failed).windowMs() == 0 || isDeduplicated.test(failed));
        if (!isRepeatable) {
            return recordWrites.end(failed, RequestRecord.State.UNKNOWN, "", now);
        }
        KeyedRequest request = waiting.first(failed.key());
        return recordWrites.replace(
                failed, failed.restartedFor(request, broker, self.incarnation()));
    }

    private void proceedUnrecorded(WaitingClients.Client client) {
        KeyedRequest request = client.request();
        if (request.recordRequired()) {
            actions.add(new RequestAction.Reject(request.client()));
        } else {
            running.putIfAbsent(request.key(), false);
            actions.add(new RequestAction.ProceedUnrecorded(request.client(), request.key()));
        }
    }

    private void replyToAll(String key, RequestRecord.State state, String outcome) {
        for (WaitingClients.Client client : waiting.removeAll(key)) {
            actions.add(new RequestAction.Reply(client.request().client(), state, outcome));
        }
    }

    /** Runs the request of a record that this broker owns, or ends the record. */
    private void advanceOwnRecord(long now, RequestRecord record) {
        String key = record.key();
        EndedRun ended = endedRuns.get(key);
        if (ended != null && ended.outcome() == RunOutcome.UNSENT && record.runs() > 1) {
            // Not admitted, but an earlier run may have been sent: retry while time is left.
            endedRuns.remove(key);
            retryAtMs.put(key, now + bounds.retryMs());
        } else if (ended != null) {
            propose(now, key, endWrite(record, ended, now), Purpose.RECORD);
            return;
        }
        if (running.containsKey(key)) {
            running.put(key, true); // a run that began without a record now has one
            return;
        }
        boolean wasStopped =
                lastStartedRuns.getOrDefault(key, 0) == record.runs()
                        && !retryAtMs.containsKey(key);
        if (wasStopped) {
            // Shard requests of the stopped run may have been sent.
            endWithoutRun(now, record, RunOutcome.FAILED);
        } else if (isForClient(record) && !waiting.isWaitingFor(key)) {
            // The client disconnected or was rejected before the record was made.
            endWithoutRun(now, record, outcomeOfUnsentRun(record));
        } else {
            runOrClose(now, record);
        }
    }

    private static RunOutcome outcomeOfUnsentRun(RequestRecord record) {
        return record.runs() == 1 ? RunOutcome.UNSENT : RunOutcome.FAILED;
    }

    private boolean isForClient(RequestRecord record) {
        return record.runs() == 1 || restartedKeys.contains(record.key());
    }

    private ConditionalWrite endWrite(RequestRecord record, EndedRun ended, long now) {
        return ended.outcome() == RunOutcome.UNSENT
                ? recordWrites.withdraw(record)
                : recordWrites.end(record, stateAfter(ended.outcome()), ended.text(), now);
    }

    private void endWithoutRun(long now, RequestRecord record, RunOutcome outcome) {
        EndedRun ended = new EndedRun(outcome, LATE);
        endedRuns.put(record.key(), ended);
        propose(now, record.key(), endWrite(record, ended, now), Purpose.RECORD);
    }

    private void runOrClose(long now, RequestRecord record) {
        String key = record.key();
        boolean isFirst = record.runs() == 1;
        TakeoverPolicy.Verdict verdict =
                isFirst ? TakeoverPolicy.Verdict.RUN : verdict(now, record);
        if (verdict != TakeoverPolicy.Verdict.RUN) {
            ConditionalWrite end =
                    recordWrites.end(record, verdict.finalState(), verdict.finalOutcome(), now);
            propose(now, key, end, Purpose.RECORD);
        } else if (now >= retryAtMs.getOrDefault(key, Long.MIN_VALUE) && !writes.contains(key)) {
            running.put(key, true);
            lastStartedRuns.put(key, record.runs());
            actions.add(new RequestAction.Run(record, isFirst, isForClient(record)));
        }
    }

    private void propose(long now, String key, ConditionalWrite write, Purpose purpose) {
        if (writes.tryBegin(key, now)) {
            actions.add(new RequestAction.Propose(key, write, purpose));
        }
    }
}
