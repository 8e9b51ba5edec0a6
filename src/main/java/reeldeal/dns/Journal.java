package reeldeal.dns;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds the latest changes of a zone for incremental transfers (RFC 1995). When the record limit is
 * exceeded, the oldest changes are dropped first.
 */
public final class Journal {

    /**
     * The records that one zone version removed and added; the two SOA records are kept separately.
     */
    public record Diff(Rr oldSoa, Rr newSoa, List<Rr> removed, List<Rr> added) {
        /** Returns the serial before the change. */
        public long fromSerial() {
            return Zone.serial(oldSoa.data());
        }

        /** Returns the serial after the change. */
        public long toSerial() {
            return Zone.serial(newSoa.data());
        }

        int recordCount() {
            return 2 + removed.size() + added.size();
        }

        /**
         * Returns the difference between two versions of a zone, comparing only the given record
         * sets. Each element of {@code keys} holds a name and a type number; the SOA at the origin
         * is skipped.
         */
        public static Diff between(Zone before, Zone after, Iterable<String[]> keys) {
            List<Rr> removed = new ArrayList<>();
            List<Rr> added = new ArrayList<>();
            for (String[] key : keys) {
                int type = Integer.parseInt(key[1]);
                if (type == Rr.SOA && key[0].equals(before.origin)) {
                    continue;
                }
                RrSet oldSet = before.get(key[0], type);
                RrSet newSet = after.get(key[0], type);
                boolean sameTtl = oldSet != null && newSet != null && oldSet.ttl() == newSet.ttl();
                if (oldSet != null) {
                    oldSet.data().stream()
                            .filter(d -> !sameTtl || !newSet.contains(d))
                            .forEach(
                                    d -> removed.add(new Rr(key[0], type, Rr.IN, oldSet.ttl(), d)));
                }
                if (newSet != null) {
                    newSet.data().stream()
                            .filter(d -> !sameTtl || !oldSet.contains(d))
                            .forEach(d -> added.add(new Rr(key[0], type, Rr.IN, newSet.ttl(), d)));
                }
            }
            return new Diff(before.soa(), after.soa(), List.copyOf(removed), List.copyOf(added));
        }
    }

    private final ArrayDeque<Diff> diffs = new ArrayDeque<>();
    private final int maxRecords;
    private int recordCount;

    /** Creates a journal that holds at most {@code maxRecords} records. */
    public Journal(int maxRecords) {
        this.maxRecords = maxRecords;
    }

    /**
     * Adds the change from the last version to the next. If it does not start at the last serial,
     * all earlier changes are dropped.
     */
    public void add(Diff diff) {
        if (!diffs.isEmpty() && diffs.getLast().toSerial() != diff.fromSerial()) {
            clear();
        }
        diffs.add(diff);
        recordCount += diff.recordCount();
        while (recordCount > maxRecords && !diffs.isEmpty()) {
            recordCount -= diffs.poll().recordCount();
        }
    }

    /** Drops all changes, as needed when the zone is replaced. */
    public void clear() {
        diffs.clear();
        recordCount = 0;
    }

    /**
     * Returns the changes from this serial to the latest, or null if some of them are no longer
     * held. Also returns null if two versions of the zone had this serial, because it went round
     * the circle: it is not known then which of them the client has.
     */
    List<Diff> since(long serial) {
        List<Diff> diffsSince = new ArrayList<>();
        int versions = 0;
        for (Diff diff : diffs) {
            versions += diff.fromSerial() == serial ? 1 : 0;
            if (versions > 0) {
                diffsSince.add(diff);
            }
        }
        return versions == 1 ? diffsSince : null;
    }

    int recordCount() {
        return recordCount;
    }
}
