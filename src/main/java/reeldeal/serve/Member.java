package reeldeal.serve;

import io.netty.channel.EventLoopGroup;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import reeldeal.config.Config;
import reeldeal.decide.Aggregator.Layout;
import reeldeal.decide.Aggregator.Listed;
import reeldeal.fleet.ConfigVersion;
import reeldeal.fleet.Fleet;
import reeldeal.fleet.permits.Permits;
import reeldeal.fleet.permits.Seen;
import reeldeal.fleet.release.Health;
import reeldeal.handover.Guard;
import reeldeal.handover.HandoverConfig;
import reeldeal.membership.Membership;
import reeldeal.muster.FleetConfig;
import reeldeal.muster.Muster;
import reeldeal.store.Store;

/** Wires a broker and its list of searchers to the fleet. */
final class Member {
    private final Muster muster;

    /** For a broker that does not serve yet; {@code zones} is null where there is no list of searchers in the store. */
    Member(EventLoopGroup state, Store store, FleetConfig fleet, Broker broker, Config config, String text, ZoneDaemon zones) {
        Layout layout = config.settings().layout();
        double coldMs = config.settings().rules().coldMs();
        muster = new Muster(state.next(), store, fleet, ConfigVersion.of(text), new Muster.Host() {
            @Override
            public void drain() {
                broker.out(true);
            }

            @Override
            public void serve() {
                broker.out(false);
            }

            @Override
            public void exit(String why) {
                new Thread(() -> System.exit(0), "exit").start(); // the hook for SIGTERM ends it in order
            }

            @Override
            public Health.Counts counts() {
                return broker.counts();
            }

            @Override
            public Set<String> ejected() {
                return broker.ejected();
            }

            @Override
            public Map<String, Seen> searchers() {
                return zones == null ? null : seen(zones, coldMs);
            }

            @Override
            public Permits.Shards shards() {
                return new Permits.Shards(config.shards(), layout.cells(), layout.inARow());
            }
        }, Broker::log);
    }

    Muster muster() {
        return muster;
    }

    private static Map<String, Seen> seen(ZoneDaemon zones, double coldMs) {
        Map<String, Seen> seen = new TreeMap<>();
        double now = System.currentTimeMillis();
        for (Membership.Entry e : zones.view()) {
            if (e.searcher().listed() != Listed.GONE) {
                // The fleet's own drain is no fact of the list: what the list says under it counts.
                boolean ready = e.searcher().listed() == Listed.READY || e.reason().startsWith(Membership.FLEETS_WORD);
                double started = e.searcher().startedMs();
                seen.put(e.searcher().name(), new Seen(e.searcher().name(), e.searcher().zone(), e.searcher().kind(), e.searcher().cell(),
                        (long) started, ready, started == 0 || now - started >= coldMs, false));
            }
        }
        return seen.isEmpty() ? null : seen;
    }

    /** Has work in hand recorded and taken over; before the broker serves and the muster starts. */
    static Guard guard(EventLoopGroup state, Store store, Broker broker, Muster muster, Config config, HandoverConfig handover) {
        Guard guard = new Guard(broker, broker.loop(), state.next(), store, config.settings(), config.classes(), handover, muster::holds,
                muster::wallOffMs, Broker::log);
        muster.onView(guard::view);
        broker.guard(guard, guard::maySend);
        return guard;
    }

    /** The configuration that a release has given this node, or null; the store is waited for as for a configuration. */
    static String released(EventLoopGroup state, Store store) throws InterruptedException {
        long until = System.nanoTime() + (Store.OLD_COPY_MS + 500) * 1_000_000L;
        while (!state.next().submit(store::tellsSomething).sync().getNow() && System.nanoTime() < until) {
            Thread.sleep(10);
        }
        return state.next().submit(() -> {
            String target = store.getEvenOld(Fleet.TARGET + store.node());
            return target == null ? null : store.getEvenOld(Fleet.CONFIG + target);
        }).sync().getNow();
    }
}
