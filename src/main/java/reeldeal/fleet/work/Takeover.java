package reeldeal.fleet.work;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reeldeal.fleet.Fleet;
import reeldeal.fleet.Fleet.Member;
import reeldeal.fleet.Write;

/**
 * Who takes over whose work, and what may still be done with it. All brokers come to the same shares from the same state; where
 * their copies differ the write's conditions let one of them have it.
 *
 * <p>The methods that tests break on purpose are protected.
 */
public class Takeover {

    /**
     * For how long searchers drop repeats of a key, counted from its first sending.
     *
     * @param windowMs as the settings tell; 0 where a repeat does no harm
     * @param errorMs by which the wall clocks of two machines may differ
     * @param leastMs that a part needs; less left is none
     */
    public record Window(long windowMs, long errorMs, long leastMs) { }

    /** What may be done with a request that was taken over. */
    public enum Ruling { RUN, UNKNOWN, TOO_LATE }

    /** Whether a record's owner can do nothing more for it: its lease has ended, or it holds another one since. */
    public boolean orphaned(Fleet fleet, Work work) {
        Member owner = fleet.members().get(work.owner());
        return work.state() == Work.State.OPEN && (owner == null || !owner.live() || owner.incarnation() != work.incarnation());
    }

    /**
     * The orphans that fall to a broker, in the order in which it should claim them: the worthiest, then the most urgent. Each goes
     * to the serving broker that has the least in hand, out of another zone than its owner where there is a choice.
     */
    public List<Work> shares(Fleet fleet, List<Work> works, String self) {
        Map<String, Integer> held = new TreeMap<>();
        fleet.members().values().stream().filter(m -> m.state() == Fleet.State.SERVING).forEach(m -> held.put(m.name(), 0));
        works.stream().filter(w -> w.state() == Work.State.OPEN && !orphaned(fleet, w)).forEach(w -> held.computeIfPresent(w.owner(), (n, c) -> c + 1));
        List<Work> mine = new ArrayList<>();
        if (held.isEmpty()) {
            return mine;
        }
        works.stream().filter(w -> orphaned(fleet, w)).sorted(Comparator.comparingDouble((Work w) -> -w.worth()).thenComparingLong(Work::until)
                .thenComparing(Work::key)).forEach(w -> {
                    Member owner = fleet.members().get(w.owner());
                    String zone = owner == null ? "" : owner.zone();
                    String to = held.keySet().stream().min(Comparator.<String>comparingInt(held::get)
                            .thenComparing(n -> fleet.members().get(n).zone().equals(zone)).thenComparingInt(n -> (w.key() + n).hashCode())).orElseThrow();
                    held.merge(to, 1, Integer::sum);
                    if (to.equals(self)) {
                        mine.add(w);
                    }
                });
        return mine;
    }

    /** The write with which a broker takes a record over; it needs the record, and the end of its owner's lease, as they were seen. */
    public Write claim(Fleet fleet, Work work, Member self) {
        Write write = Write.because(self.name() + " takes over " + work.key() + " from " + work.owner()).need(Work.at(work.key()), work.version())
                .need(Fleet.BOOT + self.name(), self.incarnation()).need(Fleet.STATE + self.name(), self.stateVersion());
        fence(fleet, work, write);
        return write.put(Work.at(work.key()), work.takenBy(self.name(), self.incarnation()).words());
    }

    /** The owner's lease must have ended in the log, by the versions of its registration and its state. */
    protected void fence(Fleet fleet, Work work, Write write) {
        write.need(Fleet.BOOT + work.owner(), fleet.version(Fleet.BOOT + work.owner()))
                .need(Fleet.STATE + work.owner(), fleet.version(Fleet.STATE + work.owner()));
    }

    /** What may be done at a time, Unix ms, with a request of which parts may have been sent since it began. */
    public Ruling ruling(Work work, long now, Window window) {
        if (now + window.leastMs() > work.until()) {
            return window.windowMs() == 0 ? Ruling.TOO_LATE : Ruling.UNKNOWN;
        }
        return window.windowMs() == 0 || now + window.leastMs() + window.errorMs() <= work.began() + window.windowMs() ? Ruling.RUN : Ruling.UNKNOWN;
    }
}
