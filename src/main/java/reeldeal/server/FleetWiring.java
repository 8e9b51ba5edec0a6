package reeldeal.server;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import reeldeal.config.BrokerConfig;
import reeldeal.fleet.ConfigVersion;
import reeldeal.fleet.disruption.DisruptionBudget;
import reeldeal.fleet.node.FleetConfig;
import reeldeal.fleet.node.FleetNode;
import reeldeal.fleet.node.RollbackCheck;
import reeldeal.fleet.recovery.Epoch;
import reeldeal.fleet.takeover.DeduplicationWindow;
import reeldeal.store.StoreNode;
import reeldeal.takeover.RecordingSubmitter;
import reeldeal.takeover.TakeoverConfig;

/** Connects a broker and its endpoint list to the fleet, before the broker serves. */
final class FleetWiring {
    private final EventLoopGroup stateGroup;
    private final StoreNode store;
    private final BrokerServer broker;
    private final BrokerConfig config;
    private final ZoneWiring zones;

    /**
     * Creates the wiring of a broker that does not serve yet. {@code zones} is null if the store
     * has no endpoint list.
     */
    FleetWiring(
            EventLoopGroup stateGroup,
            StoreNode store,
            BrokerServer broker,
            BrokerConfig config,
            ZoneWiring zones) {
        this.stateGroup = stateGroup;
        this.store = store;
        this.broker = broker;
        this.config = config;
        this.zones = zones;
    }

    /**
     * Creates the broker's node of the fleet, without starting it. {@code configText} is the
     * configuration that the broker runs.
     */
    FleetNode createNode(
            FleetConfig.WithStartCount fleetConfig,
            RollbackCheck rollbackCheck,
            String configText) {
        FleetHost host = new FleetHost(broker, config, zones);
        FleetNode node =
                new FleetNode(
                        stateGroup.next(),
                        store,
                        fleetConfig,
                        rollbackCheck,
                        ConfigVersion.of(configText),
                        host,
                        BrokerServer::log);
        host.setFleetClock(node::fleetWallMs);
        return node;
    }

    /**
     * Makes the broker record requests with idempotency keys, so that another broker can take them
     * over, and take over those of others. Must be called before the node starts.
     */
    RecordingSubmitter createRecordingSubmitter(FleetNode node, TakeoverConfig takeover) {
        RecordingSubmitter submitter =
                new RecordingSubmitter(
                        broker,
                        broker.loop(),
                        stateGroup.next(),
                        store,
                        config.settings(),
                        config.classes(),
                        takeover,
                        node::holdsLease,
                        node::wallClockErrorMs,
                        BrokerServer::log);
        node.addListener(submitter::onFleetChanged);
        submitter.setDeduplicationCheck(
                (shards, firstSentAtMs) -> isDeduplicated(node, takeover, shards, firstSentAtMs));
        broker.recordRequestsWith(submitter, submitter::maySend);
        return submitter;
    }

    /**
     * Whether it is certain that the searchers of these shards deduplicate requests first sent at
     * this time. Without an endpoint list in the store, the only evidence is whether the recovery
     * from the last outage has ended.
     */
    private boolean isDeduplicated(
            FleetNode node, TakeoverConfig takeover, List<Integer> shards, long firstSentAtMs) {
        if (zones == null) {
            return Epoch.of(node.fleet()).ended();
        }
        DisruptionBudget.ShardLayout layout = FleetHost.shardLayout(config);
        double slowStartMs = config.settings().rules().slowStartMs();
        return DeduplicationWindow.coversAllReplicas(
                shards,
                node.fleet().searchers(),
                SearcherObservations.of(zones, slowStartMs, (double) node.fleetWallMs()),
                layout,
                firstSentAtMs,
                takeover.clockErrorMs());
    }
}
