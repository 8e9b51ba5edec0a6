package reeldeal.zones;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import reeldeal.dns.Journal;
import reeldeal.dns.Message;
import reeldeal.dns.Rcode;
import reeldeal.dns.Rr;
import reeldeal.dns.RrSet;
import reeldeal.dns.Update;
import reeldeal.dns.Zone;
import reeldeal.dns.ZoneSuccession;
import reeldeal.store.Change;
import reeldeal.store.StoreNode;

/**
 * A zone with its committed content and the updates that are not yet committed. While a write to
 * the store is in flight, further updates wait and are then written as one batch; each is evaluated
 * on its own against the zone as the updates before it leave it.
 */
final class HostedZone {
    private static final int MAX_PENDING_UPDATES = 4_000;
    private static final int BATCH_CHARS = 100_000;

    private record PendingUpdate(Message message, IntConsumer rcode) {}

    /**
     * A write in flight.
     *
     * @param changes the changes that were sent to the store
     * @param whenCommitted send the responses of the updates once the write is committed
     * @param rcodeCallbacks the response callbacks of all updates, for an error code if the write
     *     fails
     */
    private record Batch(
            List<Change> changes, List<Runnable> whenCommitted, List<IntConsumer> rcodeCallbacks) {}

    final ZonesConfig.Entry entry;
    final Journal journal;
    private final StoreNode store;
    private final Executor loop;
    private final Consumer<String> log;
    private final ArrayDeque<PendingUpdate> pendingUpdates = new ArrayDeque<>();

    /** Zones of generations that the head key does not name yet, by generation. */
    private final Map<Long, Zone> inactiveGenerations = new HashMap<>();

    /** Generations that are no longer in use but may still have record sets in the store. */
    private final Set<Long> obsoleteGenerations = new LinkedHashSet<>();

    private long activeGeneration = -1;
    private Zone zone;
    private Batch inFlight;
    private boolean flushScheduled;
    private boolean replacing;
    private boolean expired;
    private long confirmedAt;
    private final Set<String> changedNames = new LinkedHashSet<>();
    private boolean allNamesChanged;

    HostedZone(ZonesConfig.Entry entry, StoreNode store, Executor loop, Consumer<String> log) {
        this.entry = entry;
        this.store = store;
        this.loop = loop;
        this.log = log;
        this.journal = new Journal(entry.maxJournalRecords());
        this.zone = Zone.empty(entry.origin());
    }

    /** Returns the committed zone, which is empty if the store has none yet. */
    Zone zone() {
        return zone;
    }

    /** Returns whether queries can be answered: the zone has an SOA record and has not expired. */
    boolean serves() {
        return zone.soa() != null && !expired;
    }

    boolean expired() {
        return expired;
    }

    long confirmedAt() {
        return confirmedAt;
    }

    // ---- changes from the store ----

    /**
     * Applies a committed write, and adds its difference to the journal.
     *
     * @param changes all changes of the write
     * @param zoneChanges the changes of the write that concern this zone, with their parsed keys
     */
    void applyCommitted(List<Change> changes, Map<Change, ZoneKeys.Parsed> zoneChanges) {
        Zone before = zone;
        Set<String[]> changedSets = new LinkedHashSet<>();
        zoneChanges.forEach(
                (change, key) -> {
                    if (key.generation() < 0) {
                        applyHeadOrState(key.name(), change.value());
                        return;
                    }
                    if (activeGeneration < 0 && key.generation() == 0) {
                        // Stored by an earlier version of the program, which had no generations.
                        activeGeneration = 0;
                    }
                    if (key.generation() == activeGeneration) {
                        zone = ZoneKeys.apply(zone, key, change.value());
                        changedSets.add(new String[] {key.name(), String.valueOf(key.type())});
                        changedNames.add(key.name());
                    } else if (change.value() != null) {
                        inactiveGenerations.merge(
                                key.generation(),
                                ZoneKeys.apply(Zone.empty(entry.origin()), key, change.value()),
                                (existing, added) -> ZoneKeys.apply(existing, key, change.value()));
                    }
                });
        if (!changedSets.isEmpty()
                && before.soa() != null
                && zone.soa() != null
                && before.serial() != zone.serial()) {
            journal.add(Journal.Diff.between(before, zone, changedSets));
        }
    }

    /** Answers the updates of a committed write; called after the change has been published. */
    void answerCommittedUpdates(List<Change> changes) {
        if (inFlight != null && inFlight.changes() == changes) {
            Batch batch = inFlight;
            inFlight = null;
            batch.whenCommitted().forEach(Runnable::run);
            scheduleFlush();
        }
    }

    /** Applies a change of the zone's head or state key. */
    private void applyHeadOrState(String name, String value) {
        if (name.equals(ZoneKeys.HEAD) && value != null) {
            if (activeGeneration >= 0) {
                obsoleteGenerations.add(activeGeneration);
            }
            activeGeneration = Long.parseLong(value);
            Zone replacement = inactiveGenerations.remove(activeGeneration);
            inactiveGenerations.keySet().stream()
                    .filter(g -> g < activeGeneration)
                    .forEach(obsoleteGenerations::add);
            inactiveGenerations.keySet().removeAll(obsoleteGenerations);
            zone = replacement == null ? Zone.empty(entry.origin()) : replacement;
            journal.clear();
            allNamesChanged = true;
        } else if (name.equals(ZoneKeys.STATE) && value != null) {
            SecondaryState state = SecondaryState.parse(value);
            confirmedAt = state.confirmedAtMs();
            expired = state.expired();
            allNamesChanged = true;
        }
    }

    /**
     * Returns the names that changed since the last call, which may be an empty set; null if any
     * name may have changed.
     */
    Set<String> takeChangedNames() {
        Set<String> taken = allNamesChanged ? null : Set.copyOf(changedNames);
        changedNames.clear();
        allNamesChanged = false;
        return taken;
    }

    /**
     * Clears the state of earlier writes when this node begins to accept writes: each of those
     * writes has been committed or discarded by then.
     */
    void resetWriteState() {
        inFlight = null;
        replacing = false;
        scheduleFlush();
    }

    // ---- updates ----

    /**
     * Queues an update. Its response code is passed on once it is committed, refused or has failed.
     */
    void update(Message message, IntConsumer rcode) {
        if (pendingUpdates.size() >= MAX_PENDING_UPDATES) {
            rcode.accept(Rcode.SERVFAIL);
            return;
        }
        pendingUpdates.add(new PendingUpdate(message, rcode));
        scheduleFlush();
    }

    /**
     * Schedules a flush instead of flushing at once, so that all updates read in this turn of the
     * loop go into the same write.
     */
    private void scheduleFlush() {
        if (!flushScheduled && inFlight == null && !replacing && !pendingUpdates.isEmpty()) {
            flushScheduled = true;
            loop.execute(
                    () -> {
                        flushScheduled = false;
                        flush();
                    });
        }
    }

    private void flush() {
        if (inFlight != null || replacing || pendingUpdates.isEmpty()) {
            return;
        }
        Zone updated = zone;
        Set<String> setKeys = new LinkedHashSet<>();
        List<Runnable> responses = new ArrayList<>();
        List<IntConsumer> rcodeCallbacks = new ArrayList<>();
        int chars = 0;
        while (!pendingUpdates.isEmpty() && chars < BATCH_CHARS) {
            PendingUpdate pending = pendingUpdates.poll();
            Update.Outcome outcome = evaluate(pending.message(), updated);
            if (outcome.diff() != null) {
                updated = outcome.zone();
                chars += collectSetKeys(outcome.diff(), setKeys);
            }
            responses.add(() -> pending.rcode().accept(outcome.rcode()));
            rcodeCallbacks.add(pending.rcode());
        }
        if (updated == zone) {
            responses.forEach(Runnable::run);
            scheduleFlush();
            return;
        }
        write(changes(updated, setKeys), responses, rcodeCallbacks);
    }

    /** Evaluates an update against the zone as the updates before it leave it. */
    private Update.Outcome evaluate(Message message, Zone before) {
        if (!store.acceptsWrites()) {
            return new Update.Outcome(Rcode.REFUSED, before, null);
        }
        if (!serves()) {
            return new Update.Outcome(Rcode.SERVFAIL, before, null);
        }
        Update.Outcome outcome = Update.apply(message, before);
        int size = outcome.zone().size();
        if (size <= entry.maxRecords() || size <= before.size()) {
            return outcome;
        }
        log.accept(
                "dns: "
                        + entry.origin()
                        + ": update refused: the zone would exceed its limit of "
                        + entry.maxRecords()
                        + " records");
        return new Update.Outcome(Rcode.REFUSED, before, null);
    }

    /**
     * Adds the keys of the record sets that a difference changes to {@code setKeys}; returns the
     * approximate number of characters that its records take in the store.
     */
    private static int collectSetKeys(Journal.Diff diff, Set<String> setKeys) {
        int chars = 0;
        for (List<Rr> records : List.of(diff.removed(), diff.added())) {
            for (Rr record : records) {
                setKeys.add(record.name() + "/" + record.type());
                chars += 60 + record.name().length() + 2 * record.data().length;
            }
        }
        return chars;
    }

    /** Returns changes that store these record sets and the SOA record as the source has them. */
    private List<Change> changes(Zone source, Set<String> setKeys) {
        List<Change> changes = new ArrayList<>();
        for (String setKey : setKeys) {
            int slash = setKey.lastIndexOf('/');
            changes.add(
                    change(
                            source,
                            setKey.substring(0, slash),
                            Integer.parseInt(setKey.substring(slash + 1))));
        }
        changes.add(change(source, entry.origin(), Rr.SOA));
        return List.copyOf(changes);
    }

    private Change change(Zone source, String name, int type) {
        RrSet set = source.get(name, type);
        String key =
                activeGeneration == 0
                        ? ZoneKeys.LEGACY + entry.origin() + "/" + name + "/" + type
                        : ZoneKeys.recordSetKey(entry.origin(), activeGeneration, name, type);
        return new Change(key, set == null ? null : ZoneKeys.encode(set));
    }

    @SuppressWarnings("ReferenceEquality") // identity: the batch that was sent
    private void write(
            List<Change> changes, List<Runnable> responses, List<IntConsumer> rcodeCallbacks) {
        Batch batch = new Batch(changes, responses, rcodeCallbacks);
        inFlight = batch;
        store.write(
                changes,
                result -> {
                    if (result instanceof StoreNode.Committed) {
                        return; // published and answered when the store delivers the write
                    }
                    log.accept(
                            "dns: "
                                    + entry.origin()
                                    + ": updates were not confirmed as committed: "
                                    + result);
                    batch.rcodeCallbacks().forEach(rcode -> rcode.accept(Rcode.SERVFAIL));
                    if (result instanceof StoreNode.Rejected && inFlight == batch) {
                        inFlight = null;
                        scheduleFlush();
                        return;
                    }
                    // The result is unknown, and the write may still be committed. Until that is
                    // decided no update can be evaluated, so the waiting ones fail now instead of
                    // waiting on.
                    batch.whenCommitted().clear();
                    List<PendingUpdate> dropped = List.copyOf(pendingUpdates);
                    pendingUpdates.clear();
                    dropped.forEach(update -> update.rcode().accept(Rcode.SERVFAIL));
                });
    }

    /**
     * Stores the result of an incremental transfer as one write, or as a replacement if the changes
     * are too large for one write or the store has no zone yet. The changes are not used if the
     * current zone is not the one at which they begin.
     *
     * @param transferred the zone after all changes
     * @param diffs the changes, at least one
     * @param onDone receives whether the zone was committed
     */
    void applyTransferredChanges(
            Zone transferred, List<Journal.Diff> diffs, Consumer<Boolean> onDone) {
        long firstSerial = diffs.get(0).fromSerial();
        if (zone.serial() != firstSerial) {
            onDone.accept(false);
            return;
        }
        Set<String> setKeys = new LinkedHashSet<>();
        int chars = 0;
        for (Journal.Diff diff : diffs) {
            chars += collectSetKeys(diff, setKeys);
        }
        if (chars > BATCH_CHARS || activeGeneration < 0) {
            replaceWhile(() -> zone.serial() == firstSerial, transferred, onDone);
            return;
        }
        store.write(
                changes(transferred, setKeys),
                result -> onDone.accept(result instanceof StoreNode.Committed));
    }

    // ---- replacement of the whole zone ----

    /**
     * Replaces the whole zone if the replacement is newer than the current zone, both now and when
     * the replacement has been written.
     *
     * @param onDone receives true once the new zone is active, false if that failed, another
     *     replacement is running, or the replacement is not newer
     */
    void replace(ZoneSuccession.Arrival arrival, Zone replacement, Consumer<Boolean> onDone) {
        replaceWhile(
                () -> ZoneSuccession.isNewer(arrival, zone.serial(), replacement.serial()),
                replacement,
                onDone);
    }

    private void replaceWhile(BooleanSupplier isNewer, Zone replacement, Consumer<Boolean> onDone) {
        if (replacing) {
            onDone.accept(false);
            return;
        }
        replacing = true;
        new ZoneReplacement(
                        store,
                        loop,
                        log,
                        new ZoneReplacement.Target(
                                entry.origin(), nextGeneration(), obsoleteGenerations),
                        replacement.sets(),
                        isNewer,
                        committed -> {
                            replacing = false;
                            onDone.accept(committed);
                            scheduleFlush();
                        })
                .writeNextChunk();
    }

    private long nextGeneration() {
        long highestInactive =
                inactiveGenerations.keySet().stream().mapToLong(g -> g).max().orElse(0);
        return 1 + Math.max(Math.max(0, activeGeneration), highestInactive);
    }

    /**
     * Stores when a primary last confirmed this secondary zone, and whether the zone has expired.
     */
    void storeState(long confirmedAtMs, boolean isExpired) {
        store.write(
                List.of(
                        new Change(
                                ZoneKeys.stateKey(entry.origin()),
                                new SecondaryState(confirmedAtMs, isExpired).format())),
                result -> {
                    if (!(result instanceof StoreNode.Committed)) {
                        log.accept(
                                "dns: "
                                        + entry.origin()
                                        + ": secondary state was not confirmed as committed: "
                                        + result);
                    }
                });
    }
}
