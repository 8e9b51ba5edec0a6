package reeldeal.zones;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import reeldeal.dns.Zone;
import reeldeal.store.Change;
import reeldeal.store.StoreNode;

/**
 * Writes a whole zone to the store as a new generation, one chunk after the other, and makes it the
 * active generation with the last write. Used once, on the state loop.
 */
final class ZoneReplacement {
    private static final int CHUNK_CHARS = 60_000;
    private static final int KEYS_PER_DELETION = 500;

    /** The approximate number of characters that a change takes besides its key and value. */
    private static final int CHANGE_CHARS = 20;

    /**
     * The place of the new zone in the store.
     *
     * @param origin origin of the zone
     * @param generation the new generation, greater than all earlier ones
     * @param obsoleteGenerations generations that are no longer in use; those whose record sets
     *     have been deleted are removed from this set
     */
    record Target(String origin, long generation, Set<Long> obsoleteGenerations) {}

    private final StoreNode store;
    private final Executor loop;
    private final Consumer<String> log;
    private final Target target;
    private final Iterator<Zone.OwnedRrSet> sets;
    private final BooleanSupplier isNewer;
    private final Consumer<Boolean> onDone;

    /**
     * Creates a replacement that has written nothing yet.
     *
     * @param sets all record sets of the new zone
     * @param isNewer whether the new zone is newer than the current one; checked before each write,
     *     since the current zone may change between them
     * @param onDone receives true once the new zone is active, otherwise false
     */
    ZoneReplacement(
            StoreNode store,
            Executor loop,
            Consumer<String> log,
            Target target,
            Iterator<Zone.OwnedRrSet> sets,
            BooleanSupplier isNewer,
            Consumer<Boolean> onDone) {
        this.store = store;
        this.loop = loop;
        this.log = log;
        this.target = target;
        this.sets = sets;
        this.isNewer = isNewer;
        this.onDone = onDone;
    }

    /** Writes the next chunk, and all chunks after it. */
    void writeNextChunk() {
        if (!isNewer.getAsBoolean()) {
            fail("is not newer than the current zone");
            return;
        }
        List<Change> changes = nextRecordSets();
        boolean last = !sets.hasNext();
        if (last) {
            String generation = String.valueOf(target.generation());
            changes.add(new Change(ZoneKeys.headKey(target.origin()), generation));
        }
        store.write(changes, result -> onWritten(result, last));
    }

    private List<Change> nextRecordSets() {
        List<Change> changes = new ArrayList<>();
        int chars = 0;
        while (chars < CHUNK_CHARS && sets.hasNext()) {
            Zone.OwnedRrSet placed = sets.next();
            String key =
                    ZoneKeys.recordSetKey(
                            target.origin(), target.generation(), placed.name(), placed.type());
            Change change = new Change(key, ZoneKeys.encode(placed.set()));
            changes.add(change);
            chars += CHANGE_CHARS + change.key().length() + change.value().length();
        }
        return changes;
    }

    private void onWritten(StoreNode.Result result, boolean last) {
        if (!(result instanceof StoreNode.Committed)) {
            fail("was not confirmed as committed: " + result);
        } else if (last) {
            onDone.accept(true);
            deleteObsoleteGenerations();
        } else {
            loop.execute(this::writeNextChunk);
        }
    }

    private void fail(String reason) {
        log.accept("dns: " + target.origin() + ": replacement zone " + reason);
        onDone.accept(false);
    }

    /**
     * Deletes the record sets of obsolete generations from the store, including those of
     * interrupted replacements, a limited number of keys per write.
     */
    private void deleteObsoleteGenerations() {
        if (target.obsoleteGenerations().isEmpty()) {
            return;
        }
        long obsolete = target.obsoleteGenerations().iterator().next();
        List<Change> deletions =
                store.keysUnder(prefixOf(obsolete), KEYS_PER_DELETION).stream()
                        .map(key -> new Change(key, null))
                        .toList();
        if (deletions.isEmpty()) {
            target.obsoleteGenerations().remove(obsolete);
            deleteObsoleteGenerations();
            return;
        }
        store.write(
                deletions,
                result -> {
                    if (result instanceof StoreNode.Committed) {
                        loop.execute(this::deleteObsoleteGenerations);
                    }
                });
    }

    private String prefixOf(long generation) {
        return generation == 0
                ? ZoneKeys.LEGACY + target.origin() + "/"
                : ZoneKeys.generationPrefix(target.origin(), generation);
    }
}
