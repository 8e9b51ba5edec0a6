package reeldeal.fleet.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import reeldeal.fleet.Fleet;
import reeldeal.fleet.Fleet.Member;
import reeldeal.fleet.Write;

/**
 * One broker's work in hand. A request with a key is recorded before its first part is sent; its client is told only what is
 * recorded; whoever asks with the key again is told the same. What others left is claimed a few at a time. Who owns what comes from
 * the log: a write whose end is not known is looked up there.
 */
public class Hand {
    /** What is to be done. */
    public sealed interface Act { }

    /** A write; its end is told by {@link Hand#ended}. */
    public record Put(String key, Write write) implements Act { }

    /** Run this request: it is this broker's. {@code first} says that no part of it was ever sent. */
    public record Run(Work work, boolean first) implements Act { }

    /** Tell a client how its request ended; {@code known} is false where nobody can say. */
    public record Tell(long client, boolean known, String outcome) implements Act { }

    /** Turn a client down: its body is another than that which the key stands for. */
    public record Conflict(long client) implements Act { }

    /** A request as a front took it; times are Unix ms. */
    public record Asked(long client, String key, String digest, String klass, double worth, long until, String body) { }

    private final String name;
    private final Takeover takeover;
    private final Function<String, Takeover.Window> windows;
    private final int mostClaims;
    private final Map<String, List<Asked>> waiting = new HashMap<>();
    private final Set<String> writing = new HashSet<>();
    private final Set<String> running = new HashSet<>();
    private final Map<String, String> ends = new HashMap<>();
    private final List<Act> acts = new ArrayList<>();
    private Map<String, Work> works = Map.of();
    private Fleet fleet = new Fleet(Map.of());
    private Member me;

    /** {@code mostClaims} bounds what is being taken over at once; {@code windows} tells each class's. */
    public Hand(String name, Takeover takeover, Function<String, Takeover.Window> windows, int mostClaims) {
        this.name = name;
        this.takeover = takeover;
        this.windows = windows;
        this.mostClaims = mostClaims;
    }

    // ---- inputs; times are Unix ms ----

    /** What this node's copy of the store says; {@code self} is this process as a member, or null where it is none. */
    public void view(long now, Fleet told, Map<String, Work> records, Member self) {
        fleet = told;
        works = records;
        me = self;
        tick(now);
    }

    /** A client asks. */
    public void asked(long now, Asked request) {
        waiting.computeIfAbsent(request.key(), k -> new ArrayList<>()).add(request);
        tick(now);
    }

    /** A client has left. */
    public void gone(String key, long client) {
        waiting.getOrDefault(key, new ArrayList<>()).removeIf(a -> a.client() == client);
    }

    /** A request that this broker ran has ended so; null for one that may have run with nothing known of it. */
    public void ran(long now, String key, String outcome) {
        ends.put(key, outcome == null ? "" : "+" + outcome);
        tick(now);
    }

    /** A write has ended, however. */
    public void ended(long now, String key) {
        writing.remove(key);
        tick(now);
    }

    /** What is to be done since the last call. */
    public List<Act> take() {
        List<Act> taken = List.copyOf(acts);
        acts.clear();
        return taken;
    }

    /** Whether a record is this broker's by its copy of the log; beside that its lease must stand, before each sending. */
    public boolean owns(String key) {
        Work w = works.get(key);
        return me != null && w != null && w.state() == Work.State.OPEN && w.owner().equals(name) && w.incarnation() == me.incarnation();
    }

    // ---- what follows ----

    /** Time has gone on. */
    public void tick(long now) {
        running.removeIf(k -> !owns(k));
        ends.keySet().removeIf(k -> works.containsKey(k) && !owns(k));
        answer(now);
        if (me == null || !me.live()) {
            return;
        }
        for (String key : List.copyOf(waiting.keySet())) {
            List<Asked> of = waiting.get(key);
            if (!of.isEmpty() && !works.containsKey(key) && me.state() == Fleet.State.SERVING) {
                Asked a = of.get(0);
                put(key, begin(new Work(key, a.digest(), a.klass(), a.worth(), name, me.incarnation(), now, a.until(), 1, Work.State.OPEN, "",
                        a.body(), 0)));
            }
        }
        works.values().stream().filter(w -> owns(w.key())).forEach(w -> own(now, w));
        if (me.state() == Fleet.State.SERVING) {
            List<Work> mine = takeover.shares(fleet, List.copyOf(works.values()), name);
            mine.stream().limit(Math.max(0, mostClaims - adopting())).forEach(w -> put(w.key(), takeover.claim(fleet, w, me)));
        }
    }

    private long adopting() {
        return works.values().stream().filter(w -> owns(w.key()) && w.turns() > 1).count();
    }

    private void own(long now, Work w) {
        if (ends.containsKey(w.key())) {
            String end = ends.get(w.key());
            put(w.key(), end(w, end.isEmpty() ? Work.State.UNKNOWN : Work.State.DONE, end.isEmpty() ? "" : end.substring(1)));
        } else if (!running.contains(w.key())) {
            boolean first = w.turns() == 1;
            Takeover.Ruling ruling = first ? Takeover.Ruling.RUN : takeover.ruling(w, now, windows.apply(w.klass()));
            if (ruling == Takeover.Ruling.RUN) {
                running.add(w.key());
                acts.add(new Run(w, first));
            } else {
                put(w.key(), end(w, ruling == Takeover.Ruling.UNKNOWN ? Work.State.UNKNOWN : Work.State.DONE, "failed"));
            }
        }
    }

    /** A record of a request that nobody has, by an owner that is registered so. */
    protected Write begin(Work w) {
        return Write.because("work " + w.key()).need(Work.at(w.key()), 0).need(Fleet.BOOT + name, w.incarnation()).put(Work.at(w.key()), w.words());
    }

    /** The end of a request, where it is still as this broker saw it. */
    protected Write end(Work w, Work.State as, String outcome) {
        return Write.because("work " + w.key() + " " + as).need(Work.at(w.key()), w.version()).put(Work.at(w.key()), w.ended(as, outcome).words());
    }

    private void put(String key, Write write) {
        if (writing.add(key)) {
            acts.add(new Put(key, write));
        }
    }

    /** Clients are told what is recorded, and nothing else. */
    private void answer(long now) {
        waiting.forEach((key, of) -> {
            Work w = works.get(key);
            if (w != null) {
                of.removeIf(a -> {
                    if (!a.digest().equals(w.digest())) {
                        acts.add(new Conflict(a.client()));
                        return true;
                    } else if (w.state() != Work.State.OPEN) {
                        acts.add(new Tell(a.client(), w.state() == Work.State.DONE, w.outcome()));
                        return true;
                    }
                    return false;
                });
            }
            of.removeIf(a -> now >= a.until()); // its client has given up
        });
        waiting.values().removeIf(List::isEmpty);
    }
}
