package reeldeal.server;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.nio.charset.StandardCharsets;
import reeldeal.config.BrokerConfig;
import reeldeal.config.StoreConfigReader;
import reeldeal.fleet.node.FleetConfig;
import reeldeal.fleet.node.FleetNode;
import reeldeal.fleet.node.RollbackCheck;
import reeldeal.storage.StartCounter;
import reeldeal.store.StoreNode;
import reeldeal.takeover.RecordingSubmitter;
import reeldeal.takeover.TakeoverConfig;
import reeldeal.zones.ZonesConfig;

/**
 * Starts a broker with a store, and with the zones and the fleet membership that the store's
 * configuration file sets up. The store and everything that depends on it run on a separate event
 * loop, the thread {@code state}, so that its disk access never blocks queries.
 */
final class StoreStartup {
    private final StoreConfigReader settings;
    private final EventLoopGroup stateGroup =
            new NioEventLoopGroup(1, new DefaultThreadFactory("state"));
    private final StoreNode store;
    private final ZoneWiring zones;
    private BrokerServer broker;
    private FleetNode node;
    private RecordingSubmitter recordingSubmitter;
    private ServerStatsSharing statsSharing;

    StoreStartup(StoreConfigReader settings) throws Exception {
        this.settings = settings;
        store =
                StartupRetry.call(
                        "store: opening the folder",
                        () -> new StoreNode(stateGroup, settings.store(), BrokerServer::log));
        ZonesConfig zonesConfig = settings.zones();
        zones = zonesConfig == null ? null : new ZoneWiring(stateGroup, store, zonesConfig);
    }

    /**
     * Starts the store, the broker and, if configured, the zones and the fleet node. {@code
     * configFile} is the content of the broker's configuration file, null to use the stored
     * configuration.
     */
    void start(byte[] configFile) throws Exception {
        FleetConfig fleetConfig = settings.fleet();
        long startCount =
                fleetConfig == null
                        ? 0
                        : StartupRetry.call(
                                "store: counting the start",
                                () -> StartCounter.next(settings.store().directory()));
        RollbackCheck rollbackCheck = null;
        if (fleetConfig != null) {
            rollbackCheck = new RollbackCheck(stateGroup.next(), store, startCount);
            stateGroup.next().submit(rollbackCheck::begin).sync();
        }
        StartupRetry.call("store: listening", () -> store.start().sync());
        EventLoopGroup group = new NioEventLoopGroup(1);
        StoredConfiguration storedConfiguration = new StoredConfiguration(stateGroup, store);
        byte[] configBytes = selectConfiguration(storedConfiguration, configFile);
        BrokerConfig config = BrokerConfig.parse(configBytes, System.getenv(), zones != null);
        broker =
                zones == null
                        ? new BrokerServer(group, config)
                        : new BrokerServer(group, config, zones::onDiscovery);
        if (configFile != null) {
            storedConfiguration.storeOnceLeading(new String(configFile, StandardCharsets.UTF_8));
        }
        stateGroup.next().submit(() -> store.whenFrozen(broker::suspend)).sync();
        FleetWiring wiring = new FleetWiring(stateGroup, store, broker, config, zones);
        if (fleetConfig != null) {
            FleetConfig.WithStartCount countedFleet =
                    new FleetConfig.WithStartCount(fleetConfig, startCount);
            String configText = new String(configBytes, StandardCharsets.UTF_8);
            node = wiring.createNode(countedFleet, rollbackCheck, configText);
        }
        TakeoverConfig takeover = settings.takeover();
        if (takeover != null) {
            recordingSubmitter = wiring.createRecordingSubmitter(node, takeover);
            statsSharing =
                    new ServerStatsSharing(stateGroup, store, broker, takeover.sharedStats());
            statsSharing.start();
        }
        Main.registerShutdownHook(broker, node, statsSharing);
        Main.reloadOnSighup(broker, zones);
        startServing();
    }

    private byte[] selectConfiguration(StoredConfiguration storedConfiguration, byte[] configFile)
            throws InterruptedException {
        String rolledOut = settings.fleet() == null ? null : storedConfiguration.awaitRolledOut();
        if (rolledOut != null) {
            return rolledOut.getBytes(StandardCharsets.UTF_8);
        }
        return configFile != null ? configFile : storedConfiguration.awaitShared();
    }

    private void startServing() throws Exception {
        if (node != null) {
            broker.enableMetrics();
            if (recordingSubmitter != null) {
                stateGroup.next().submit(recordingSubmitter::start).sync();
            }
            stateGroup.next().submit(node::start).sync();
        }
        if (zones != null) {
            zones.start(broker::submitEvent);
        }
        broker.start();
        if (node != null) {
            node.ready();
        }
    }
}
