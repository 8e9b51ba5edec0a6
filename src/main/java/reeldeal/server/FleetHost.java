package reeldeal.server;

import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import reeldeal.config.BrokerConfig;
import reeldeal.core.Event;
import reeldeal.decision.DecisionModule.Layout;
import reeldeal.fleet.disruption.DisruptionBudget;
import reeldeal.fleet.disruption.ObservedSearcher;
import reeldeal.fleet.node.FleetNode;
import reeldeal.fleet.rollout.RolloutHealth;

/**
 * Gives the fleet's node access to the broker: its state, and the operations that the fleet
 * controls. Methods are called on the state loop; the broker handles the events submitted to it on
 * its own loop.
 */
final class FleetHost implements FleetNode.Host {
    private final BrokerServer broker;
    private final BrokerConfig config;
    private final ZoneWiring zones;
    private LongSupplier fleetClock;
    private Event.AdmissionQuotaChanged quota = new Event.AdmissionQuotaChanged(0, 0, 1, 0, "");

    /**
     * Creates a host; the fleet's clock must be set before use. {@code zones} is null if the store
     * has no endpoint list.
     */
    FleetHost(BrokerServer broker, BrokerConfig config, ZoneWiring zones) {
        this.broker = broker;
        this.config = config;
        this.zones = zones;
    }

    /** Sets the fleet's clock, in Unix ms. Must be called before the node starts. */
    void setFleetClock(LongSupplier clock) {
        fleetClock = clock;
    }

    @Override
    public void drain() {
        broker.setDrainedByFleet(true);
    }

    @Override
    public void serve() {
        broker.setDrainedByFleet(false);
    }

    /** Ends the process. The shutdown hook shuts it down gracefully, as on SIGTERM. */
    @Override
    public void exit(String reason) {
        new Thread(() -> System.exit(0), "exit").start();
    }

    @Override
    public void setAdmissionQuota(double share, double retryAfterMs, int brokers) {
        int brokerCount = brokers > 0 ? brokers : config.settings().brokers();
        quota = new Event.AdmissionQuotaChanged(share, retryAfterMs, brokerCount, 0, "");
        broker.submitEvent(quota);
    }

    @Override
    public void assumeRestarted(String zone) {
        broker.submitEvent(
                new Event.AdmissionQuotaChanged(
                        quota.share(), quota.retryAfterMs(), quota.brokers(), broker.now(), zone));
    }

    @Override
    public RolloutHealth.Counts counts() {
        return broker.counts();
    }

    @Override
    public Set<String> ejected() {
        return broker.ejected();
    }

    @Override
    public Map<String, ObservedSearcher> searchers() {
        if (zones == null) {
            return null;
        }
        double slowStartMs = config.settings().rules().slowStartMs();
        return SearcherObservations.of(zones, slowStartMs, (double) fleetClock.getAsLong());
    }

    @Override
    public DisruptionBudget.ShardLayout shards() {
        return shardLayout(config);
    }

    /** Returns how shards are placed on cells, as set in the configuration. */
    static DisruptionBudget.ShardLayout shardLayout(BrokerConfig config) {
        Layout layout = config.settings().layout();
        return new DisruptionBudget.ShardLayout(config.shards(), layout.cells(), layout.replicas());
    }
}
