package reeldeal.server;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import reeldeal.cli.Commands;
import reeldeal.config.BrokerConfig;
import reeldeal.config.StoreConfigReader;
import reeldeal.fleet.node.FleetNode;
import reeldeal.simulator.SimulatorAdapter;
import sun.misc.Signal;

/**
 * The program's entry point. {@code serve} runs a broker on sockets, {@code benchlink} the
 * simulator's adapter, and {@code rehearse} the build's training run for class-data sharing. All
 * other arguments are operator commands, whose classes are loaded only if one is run.
 */
public final class Main {
    private static final int EXIT_STARTUP_FAILED = 1;
    private static final int EXIT_INVALID_CONFIGURATION = 2;

    private Main() {}

    /**
     * Runs the mode named by the only argument; any other arguments are run as an operator command.
     */
    public static void main(String[] args) throws Exception {
        String mode = args.length == 1 ? args[0] : "";
        switch (mode) {
            case "benchlink" -> SimulatorAdapter.main(args);
            case "serve" -> serve();
            case "rehearse" -> {
                ClassDataSharingRun.run();
                System.exit(0);
            }
            default -> System.exit(Commands.run(args));
        }
    }

    private static void serve() {
        installPlainLogHandler();
        try {
            StoreConfigReader storeConfig = StoreConfigReader.read(System.getenv());
            byte[] configFile = BrokerConfig.readFile(System.getenv());
            if (configFile == null && storeConfig == null) {
                throw new IllegalArgumentException("LB_CONFIG: not set");
            }
            if (storeConfig == null) {
                serveWithoutStore(configFile);
            } else {
                new StoreStartup(storeConfig).start(configFile);
            }
        } catch (BrokerConfig.InvalidConfigException | IllegalArgumentException e) {
            System.err.println("reeldeal: " + e.getMessage());
            Runtime.getRuntime().halt(EXIT_INVALID_CONFIGURATION);
        } catch (Exception e) {
            System.err.println("reeldeal: cannot serve: " + e.getMessage());
            Runtime.getRuntime().halt(EXIT_STARTUP_FAILED);
        }
    }

    /** Serves without a store: the broker shares no state with other brokers. */
    private static void serveWithoutStore(byte[] configFile) throws Exception {
        EventLoopGroup group = new NioEventLoopGroup(1);
        BrokerConfig config = BrokerConfig.parse(configFile, System.getenv(), false);
        BrokerServer broker = new BrokerServer(group, config);
        registerShutdownHook(broker, null, null);
        reloadOnSighup(broker, null);
        broker.start();
    }

    /**
     * Logs the libraries' warnings as plain lines. The JDK's log formatter opens files when it is
     * first used. If no file descriptors are left, that would fail, and the warning about it would
     * end the event loop.
     */
    private static void installPlainLogHandler() {
        LogManager.getLogManager().reset();
        Logger.getLogger("")
                .addHandler(
                        new Handler() {
                            @Override
                            public void publish(LogRecord record) {
                                if (record.getLevel().intValue() >= Level.WARNING.intValue()) {
                                    BrokerServer.log(
                                            record.getMessage()
                                                    + (record.getThrown() == null
                                                            ? ""
                                                            : ": " + record.getThrown()));
                                }
                            }

                            @Override
                            public void flush() {}

                            @Override
                            public void close() {}
                        });
    }

    /**
     * Installs a handler of SIGHUP, whose default action would end the program. It reads the
     * configuration again; an invalid file is logged and changes nothing. {@code zones} is null if
     * no zones are served.
     */
    static void reloadOnSighup(BrokerServer broker, ZoneWiring zones) {
        try {
            Signal.handle(new Signal("HUP"), signal -> reload(broker, zones));
        } catch (IllegalArgumentException e) {
            BrokerServer.log(
                    "SIGHUP handler not installed, the configuration cannot be reloaded: "
                            + e.getMessage());
        }
    }

    private static void reload(BrokerServer broker, ZoneWiring zones) {
        try {
            if (zones != null) {
                zones.readOverrides();
            }
            byte[] configFile = BrokerConfig.readFile(System.getenv());
            if (configFile == null) {
                BrokerServer.log("not reloaded: LB_CONFIG: not set");
                return;
            }
            // The environment is still that of the start, so the address in the new file takes
            // precedence over LB_DISCOVERY.
            Map<String, String> environment = new HashMap<>(System.getenv());
            environment.remove("LB_DISCOVERY");
            broker.reload(BrokerConfig.parse(configFile, environment, zones != null));
        } catch (BrokerConfig.InvalidConfigException | RuntimeException e) {
            BrokerServer.log("not reloaded: " + e.getMessage());
        }
    }

    /**
     * Registers the hook that shuts the broker down gracefully on SIGTERM. The exit status is then
     * 0, not that of the signal. {@code node} is null if the broker is not a member of a fleet,
     * {@code statsSharing} if it does not share statistics.
     */
    static void registerShutdownHook(
            BrokerServer broker, FleetNode node, ServerStatsSharing statsSharing) {
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(() -> shutDown(broker, node, statsSharing), "shutdown"));
    }

    private static void shutDown(
            BrokerServer broker, FleetNode node, ServerStatsSharing statsSharing) {
        try {
            long maxDelayMs = broker.beginShutdown();
            if (node != null) {
                node.terminate(maxDelayMs);
            }
            broker.drain();
            if (statsSharing != null) {
                statsSharing.stop();
            }
            if (node != null && broker.hasUnfinishedRecords()) {
                // Others would take over requests that have ended; once the lease has lapsed, their
                // time is over.
                BrokerServer.log("not deregistered: the end of a request is not recorded");
            } else if (node != null) {
                node.deregister();
            }
        } catch (InterruptedException | RuntimeException e) {
            System.err.println("reeldeal: graceful shutdown failed, exiting now: " + e);
        }
        Runtime.getRuntime().halt(0);
    }
}
