package reeldeal.endpoints;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What each source last said of one searcher. This is the only place that decides how a statement
 * changes; a statement of one source is never changed by what another source says.
 *
 * <table>
 *   <caption>The next statement of a source, by its last one and what it reports now</caption>
 *   <tr><th>last</th><th>ready</th><th>draining</th><th>not listed</th><th>nothing</th></tr>
 *   <tr><td>none</td><td>ready</td><td>draining</td><td>none</td><td>none</td></tr>
 *   <tr><td>ready</td><td>ready</td><td>draining</td><td>gone</td><td>ready</td></tr>
 *   <tr><td>draining</td><td>ready</td><td>draining</td><td>gone</td><td>draining</td></tr>
 *   <tr><td>gone</td><td>ready</td><td>draining</td><td>gone</td><td>gone</td></tr>
 * </table>
 *
 * <p>A source may also report explicitly that a searcher is gone, which counts even if the source
 * has not listed it since the start. A source reports nothing while it has expired, and after a
 * restart until its first observation. A searcher serves only if no source says that it is draining
 * or gone, and a source that reports lists its address.
 *
 * <p>Owned by the view and used on its thread; times are Unix milliseconds.
 */
final class SourceStatements {
    private static final long VALID = -1;

    /** The statement of a source about a searcher. */
    enum Statement {
        READY,
        DRAINING,
        /** The source does not list the searcher any more, or reports that it is gone. */
        GONE
    }

    private static final class Entry {
        Statement statement;
        long sinceMs;
        long invalidSinceMs = VALID;

        void set(Statement newStatement, long now) {
            if (statement != newStatement) {
                statement = newStatement;
                sinceMs = now;
            }
        }
    }

    private final Map<Integer, Entry> bySourceRank = new TreeMap<>();

    /** Returns whether no source has said anything. */
    boolean isEmpty() {
        return bySourceRank.isEmpty();
    }

    /** Records that a source lists the searcher with a valid report. */
    void onListed(int rank, boolean draining, long now) {
        Entry entry = bySourceRank.computeIfAbsent(rank, key -> new Entry());
        entry.set(draining ? Statement.DRAINING : Statement.READY, now);
        entry.invalidSinceMs = VALID;
    }

    /** Records that a source reports that the searcher drains, without a valid address or cell. */
    void onDraining(int rank, long now) {
        bySourceRank.computeIfAbsent(rank, key -> new Entry()).set(Statement.DRAINING, now);
    }

    /** Records that a source does not list the searcher, or has not listed it validly for long. */
    void onNotListed(int rank, long now) {
        Entry entry = bySourceRank.get(rank);
        if (entry != null) {
            entry.set(Statement.GONE, now);
            entry.invalidSinceMs = VALID;
        }
    }

    /** Records that a source reports that the searcher is gone, whether or not it was listed. */
    void onGone(int rank, long now) {
        bySourceRank.computeIfAbsent(rank, key -> new Entry()).set(Statement.GONE, now);
    }

    /**
     * Returns since when all reports of a source that lists the searcher have been invalid, and
     * begins this period if necessary. Must be called only if {@link #isListedBy} is true.
     */
    long invalidSince(int rank, long now) {
        Entry entry = bySourceRank.get(rank);
        if (entry.invalidSinceMs == VALID) {
            entry.invalidSinceMs = now;
        }
        return entry.invalidSinceMs;
    }

    /** Returns whether the last statement of a source is that the searcher is ready or draining. */
    boolean isListedBy(int rank) {
        Entry entry = bySourceRank.get(rank);
        return entry != null && entry.statement != Statement.GONE;
    }

    /** Returns the highest rank of a source with this statement, or -1 if no source makes it. */
    int firstRankWith(Statement statement) {
        for (Map.Entry<Integer, Entry> entry : bySourceRank.entrySet()) {
            if (entry.getValue().statement == statement) {
                return entry.getKey();
            }
        }
        return -1;
    }

    /**
     * Restores a statement from before a restart, unless the source has made another one since.
     *
     * @param departure the saved statement, with the rank that its source has now
     */
    void restore(Departure departure) {
        if (!bySourceRank.containsKey(departure.rank())) {
            Statement statement = departure.unlisted() ? Statement.GONE : Statement.DRAINING;
            Entry entry = new Entry();
            entry.set(statement, departure.departedAtMs());
            bySourceRank.put(departure.rank(), entry);
        }
    }

    /**
     * Returns the statements that must outlast a restart: draining and gone.
     *
     * @param returnsAsNewProcess whether the searcher needs to warm up when it comes back, even if
     *     its sources only say that it is draining
     */
    List<Departure> departures(String name, boolean returnsAsNewProcess) {
        List<Departure> departures = new ArrayList<>();
        bySourceRank.forEach(
                (rank, entry) -> {
                    if (entry.statement != Statement.READY) {
                        boolean unlisted = returnsAsNewProcess || entry.statement == Statement.GONE;
                        departures.add(new Departure(name, entry.sinceMs, rank, unlisted));
                    }
                });
        return departures;
    }
}
