package reeldeal.fleet;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.Test;
import reeldeal.fleet.FleetSimulation.Process;
import reeldeal.fleet.FleetSimulation.Violation;
import reeldeal.fleet.work.Hand;
import reeldeal.fleet.work.Takeover;
import reeldeal.fleet.work.Work;

/**
 * Keyed work in the fleet's simulated world: owners that are killed, paused and cut off with it in hand, clients that ask again
 * elsewhere, searchers that drop repeats of a key for a while. Checked against what searchers truly ran and clients were truly told.
 */
public class WorkSimulationTest {
    private static final int SEEDS = 60;
    private static final int MOST = 300;
    private static final Takeover.Window WINDOW = new Takeover.Window(5_500, 300, 400);
    private static final long PATIENCE = 8_000;

    /** The module's parts, whole or broken on purpose. */
    static class Parts {
        Takeover takeover() {
            return new Takeover();
        }

        Hand hand(String name) {
            return new Hand(name, takeover(), k -> WINDOW, 20);
        }

        boolean fences() {
            return true;
        }
    }

    private static final class World implements FleetSimulation.Extra {
        final FleetSimulation sim;
        final Parts parts;
        final Map<Process, Hand> hands = new HashMap<>();
        final Map<Process, Long> wallError = new HashMap<>();
        final Map<String, Integer> runs = new TreeMap<>();
        final Map<String, Long> memory = new HashMap<>();
        final Map<String, String> told = new TreeMap<>();
        Map<String, Work> works = new TreeMap<>();
        int known;
        int taken;
        int unknown;
        private long nextClient;

        World(long seed, Parts parts) {
            this.parts = parts;
            sim = new FleetSimulation(seed, new FleetSimulation.Parts());
            sim.extra = this;
            for (int i = 0; i < 60; i++) {
                String key = "k" + i;
                sim.after(4_000 + sim.rng.nextInt(34_000), () -> client(key, sim.now + PATIENCE));
            }
        }

        private long wall(Process p) {
            return 1_000_000 + sim.now + wallError.computeIfAbsent(p, x -> (long) sim.rng.nextInt(280) - 140);
        }

        /** Asks one broker, and another after a while, until it is told or gives up. */
        private void client(String key, long until) {
            List<Process> up = sim.processes.values().stream().filter(p -> p.alive && p.serving && hands.containsKey(p)).toList();
            if (told.containsKey(key) && sim.rng.nextInt(3) > 0 || sim.now >= until) {
                return;
            }
            if (!up.isEmpty()) {
                Process p = up.get(sim.rng.nextInt(up.size()));
                long client = nextClient++;
                clientKey.put(client, key);
                p.run(() -> hand(p).asked(wall(p), new Hand.Asked(client, key, "d", "bid-mark", 2, 1_000_000 + until, "body")));
            }
            sim.after(1_200 + sim.rng.nextInt(800), () -> client(key, until));
        }

        private final Map<Long, String> clientKey = new HashMap<>();

        private Hand hand(Process p) {
            return hands.get(p);
        }

        @Override
        public void started(Process p) {
            hands.put(p, parts.hand(p.name));
        }

        @Override
        public void tick(Process p) {
            Hand hand = hand(p);
            if (hand == null) {
                return;
            }
            if (!p.cut) {
                Fleet.Member m = p.own.members().get(p.name);
                hand.view(wall(p), p.own, works, m != null && m.boot().equals(p.boot) ? m : null);
            } else {
                hand.tick(wall(p));
            }
            perform(p, hand);
        }

        private void perform(Process p, Hand hand) {
            for (Hand.Act act : hand.take()) {
                if (act instanceof Hand.Put put) {
                    taken += put.write().why().contains(" takes over ") ? 1 : 0;
                    sim.submit(put.write(), p.cut, known -> p.run(() -> hand.ended(wall(p), put.key())));
                } else if (act instanceof Hand.Run run) {
                    send(p, hand, run.work(), 0);
                } else if (act instanceof Hand.Tell tell) {
                    tell(clientKey.get(tell.client()), tell);
                }
            }
        }

        private void tell(String key, Hand.Tell tell) {
            String told = tell.known() ? tell.outcome() : "unknown";
            known += tell.known() ? 1 : 0;
            unknown += tell.known() ? 0 : 1;
            sim.check(works.get(key) != null && works.get(key).state() != Work.State.OPEN, key + " was told " + told + " before it was recorded");
            String before = this.told.put(key, told);
            sim.check(before == null || before.equals(told), key + " was told " + before + " and " + told);
        }

        /** One sending; the broker looks at its lease and its copy of the log before it. */
        private void send(Process p, Hand hand, Work w, int tries) {
            if (!hand.owns(w.key())) {
                return;
            }
            if (parts.fences() && !p.self.holds(p.clock())) {
                sim.after(150, () -> p.run(() -> send(p, hand, w, tries)));
                return;
            }
            Takeover.Ruling ruling = tries == 0 && w.turns() == 1 ? Takeover.Ruling.RUN : parts.takeover().ruling(w, wall(p), WINDOW);
            if (ruling != Takeover.Ruling.RUN || tries > 4) {
                hand.ran(wall(p), w.key(), null);
                return;
            }
            Work truth = works.get(w.key());
            sim.check(truth.owner().equals(p.name) && truth.incarnation() == w.incarnation(), p.boot + " sends " + w.key() + ", which is "
                    + truth.owner() + "'s");
            if (sim.rng.nextInt(15) > 0) {
                sim.after(1 + sim.rng.nextInt(150), () -> searcher(p, hand, w));
            }
            sim.after(900, () -> p.run(() -> send(p, hand, w, tries + 1)));
        }

        private void searcher(Process p, Hand hand, Work w) {
            boolean repeat = memory.containsKey(w.key()) && sim.now - memory.get(w.key()) < WINDOW.windowMs();
            if (!repeat) {
                memory.put(w.key(), sim.now);
                runs.merge(w.key(), 1, Integer::sum);
                sim.check(runs.get(w.key()) == 1, w.key() + " ran " + runs.get(w.key()) + " times");
            }
            if (sim.rng.nextInt(8) > 0) {
                sim.after(50 + sim.rng.nextInt(500), () -> p.run(() -> hand.ran(wall(p), w.key(), "served " + w.key())));
            }
        }

        @Override
        public void committed() {
            Map<String, Work> fresh = new TreeMap<>();
            sim.state.under(Work.ROOT).forEach((k, v) -> {
                Work w = Work.of(k, v.text(), v.version());
                fresh.put(w.key(), w);
                Work was = works.get(w.key());
                sim.check(was == null || was.state() == Work.State.OPEN || was.words().toString().equals(w.words().toString()),
                        w.key() + " was " + was + " and is " + w);
            });
            sim.check(fresh.keySet().containsAll(works.keySet()), "a record was lost");
            works = fresh;
        }

        void play() {
            sim.play();
            works.values().forEach(w -> sim.check(w.state() != Work.State.OPEN, "left open: " + w));
        }
    }

    private static Parts takeover(Takeover takeover) {
        return new Parts() {
            @Override
            Takeover takeover() {
                return takeover;
            }
        };
    }

    private interface Hands {
        Hand make(String name);
    }

    private static Parts hand(Hands hands) {
        return new Parts() {
            @Override
            Hand hand(String name) {
                return hands.make(name);
            }
        };
    }

    private static Write without(Write write, String key) {
        write.needs().keySet().removeIf(k -> k.startsWith(key));
        return write;
    }

    private static Map<String, Parts> broken() {
        Map<String, Parts> broken = new LinkedHashMap<>();
        broken.put("work is taken over by the clock", takeover(new Takeover() {
            @Override
            public boolean orphaned(Fleet fleet, Work work) {
                return work.state() == Work.State.OPEN && (super.orphaned(fleet, work) || work.until() - work.began() > PATIENCE / 2);
            }
        }));
        broken.put("the window is not looked at", takeover(new Takeover() {
            @Override
            public Ruling ruling(Work work, long now, Window window) {
                return now + window.leastMs() > work.until() ? Ruling.UNKNOWN : Ruling.RUN;
            }
        }));
        broken.put("a claim does not need the record as it was", takeover(new Takeover() {
            @Override
            public Write claim(Fleet fleet, Work work, Fleet.Member self) {
                return without(super.claim(fleet, work, self), Work.ROOT);
            }
        }));
        broken.put("a claim does not need its owner's end", takeover(new Takeover() {
            @Override
            public boolean orphaned(Fleet fleet, Work work) {
                Fleet.Member m = fleet.members().get(work.owner());
                return super.orphaned(fleet, work) || work.state() == Work.State.OPEN && m.state() != Fleet.State.SERVING;
            }

            @Override
            protected void fence(Fleet fleet, Work work, Write write) { }
        }));
        broken.put("nobody looks at its lease before it sends", new Parts() {
            @Override
            boolean fences() {
                return false;
            }
        });
        broken.put("a second record is made under a key", hand(name -> new Hand(name, new Takeover(), k -> WINDOW, 20) {
            @Override
            protected Write begin(Work w) {
                return without(super.begin(w), Work.ROOT);
            }
        }));
        broken.put("an outcome is written whoever owns the work by then", hand(name -> new Hand(name, new Takeover(), k -> WINDOW, 20) {
            @Override
            protected Write end(Work w, Work.State as, String outcome) {
                return without(super.end(w, as, outcome), Work.ROOT);
            }
        }));
        broken.put("an owner's second life counts as the first", takeover(new Takeover() {
            @Override
            public boolean orphaned(Fleet fleet, Work work) {
                Fleet.Member m = fleet.members().get(work.owner());
                return work.state() == Work.State.OPEN && (m == null || !m.live());
            }
        }));
        broken.put("the window is taken for twice as long", takeover(new Takeover() {
            @Override
            public Ruling ruling(Work work, long now, Window window) {
                return super.ruling(work, now, new Window(window.windowMs() * 2, window.errorMs(), window.leastMs()));
            }
        }));
        broken.put("a client is told before the outcome is recorded", hand(name -> new Hand(name, new Takeover(), k -> WINDOW, 20) {
            private final Map<String, List<Long>> mine = new HashMap<>();
            private final java.util.ArrayList<Act> early = new java.util.ArrayList<>();

            @Override
            public void asked(long now, Asked request) {
                mine.computeIfAbsent(request.key(), k -> new java.util.ArrayList<>()).add(request.client());
                super.asked(now, request);
            }

            @Override
            public void ran(long now, String key, String outcome) {
                mine.getOrDefault(key, List.of()).forEach(c -> early.add(new Tell(c, outcome != null, outcome)));
                super.ran(now, key, outcome);
            }

            @Override
            public List<Act> take() {
                List<Act> all = new java.util.ArrayList<>(early);
                early.clear();
                all.addAll(super.take());
                return all;
            }
        }));
        return broken;
    }

    private static Object[] find(Parts parts, int most) {
        for (int seed = 1; seed <= most; seed++) {
            try {
                new World(seed, parts).play();
            } catch (Violation e) {
                return new Object[] {seed, e.getMessage()};
            }
        }
        return null;
    }

    @Test
    public void keyedWorkRunsOnceAndEndsOnceOverAFixedSetOfSeeds() {
        int known = 0;
        int taken = 0;
        int unknown = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            World world = new World(seed, new Parts());
            try {
                world.play();
            } catch (RuntimeException e) {
                throw new AssertionError("seed " + seed + ": " + e + "\n" + String.join("\n", world.sim.trace()), e);
            }
            known += world.known;
            taken += world.taken;
            unknown += world.unknown;
        }
        assertTrue("served, taken over and unknown are met: " + known + " " + taken + " " + unknown, known > 20 * SEEDS && taken > SEEDS && unknown > 10);
    }

    @Test
    public void eachWayOfBreakingTheModuleIsFound() {
        broken().forEach((how, parts) -> assertNotNull("not found: " + how, find(parts, MOST)));
        assertEquals(10, broken().size());
    }

    /** By command: {@code run FROM TO} plays seeds, {@code broken MOST} says after how many each break is found. */
    public static void main(String[] args) {
        if (args[0].equals("broken")) {
            broken().forEach((how, parts) -> {
                Object[] found = find(parts, Integer.parseInt(args[1]));
                System.out.println("| " + how + " | " + (found == null ? "not found |" : found[0] + " | " + found[1] + " |"));
            });
            return;
        }
        int[] sums = new int[3];
        long from = System.nanoTime();
        for (long seed = Long.parseLong(args[1]); seed <= Long.parseLong(args[2]); seed++) {
            World world = new World(seed, new Parts());
            try {
                world.play();
            } catch (RuntimeException e) {
                System.out.println("seed " + seed + ": " + e + "\n" + String.join("\n", world.sim.trace()));
                System.exit(1);
            }
            sums[0] += world.known;
            sums[1] += world.taken;
            sums[2] += world.unknown;
        }
        System.out.println("told an outcome " + sums[0] + ", claims " + sums[1] + ", told unknown " + sums[2] + ", in " + (System.nanoTime() - from) / 1_000_000 + " ms");
    }
}
