package reeldeal.faultinjection.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import reeldeal.faultinjection.PortRange;

/**
 * One run of the soak: brokers without a store, or groups of three with a store and a fleet, under
 * faults that overlap at random. Used by one thread.
 */
public final class FaultSoak {
    /**
     * The size of a run.
     *
     * @param brokers the number of broker processes
     * @param groups how many of the brokers, in threes, form groups with a store and a fleet
     * @param seconds how long faults are injected
     * @param crowd whether idle clients fill the connections of some brokers
     */
    public record Size(int brokers, int groups, int seconds, boolean crowd) {}

    /** The violations and the counted figures of a run. */
    public record Result(List<String> violations, Map<String, Integer> counts) {}

    private static final int GROUP_SIZE = 3;
    private static final int CELLS = 4;
    private static final int SHARDS = 12;
    private static final int REPLICAS = 4;
    private static final int CLIENTS_PER_BROKER = 4;
    private static final int THINK_MS = 120;
    private static final int START_TIMEOUT_MS = 60_000;
    private static final int FLEET_SETTLE_MS = 5_000;
    private static final int STEP_MS = 50;
    private static final long MAX_COUNTED_DEADLINE_MS = 3_000;
    private static final long KILL_DELAY_MS = 700;
    private static final int DEDUPLICATION_WINDOW_MS = 2_500;
    private static final int RESTART_DELAY_MS = 300;
    private static final int MAX_PAUSE_MS = 140;
    private static final int CROWD_CONNECTIONS = 150;
    private static final double SLOW_START_SHARE = 0.17;
    private static final int SLOW_START_MS = 14_000;
    private static final double OVERLOAD_FACTOR = 2;
    private static final int OVERLOAD_WINDOW_MS = 3_000;
    private static final double MEAN_SHARDS = 2.5;

    /** The mean time from one request of a client to its next, ms. */
    private static final int MEAN_CYCLE_MS = 250;

    private static final int SOCKETS = 1_024;
    private static final int CROWDED_SOCKETS = 256;
    private static final int DRAIN_GRACE_MS = 500;
    private static final int DRAINING_MS = 2_500;

    /** How busy warm searchers are. */
    private static final double UTILIZATION = 1;

    private static final int HOUR_MS = 3_600_000;
    private static final int MAX_PERMILLE = 1_000;

    /** How long before a kill a write to a file is torn, ms. */
    private static final int TEAR_MS = 60;

    /** The kinds of faults that are injected for a while, and after which a process goes on. */
    private static final List<SyscallFaults.Kind> PASSING_FAULTS =
            Arrays.stream(SyscallFaults.Kind.values())
                    .filter(kind -> kind != SyscallFaults.Kind.TEAR_FILE_WRITE)
                    .filter(kind -> kind != SyscallFaults.Kind.SHORT_FILE_WRITE)
                    .toList();

    /** A task of the schedule. */
    private interface Task {
        void run() throws Exception;
    }

    private final Size size;
    private final SplittableRandom random;
    private final Path folder;
    private final Path library;
    private final StallMonitor stalls = new StallMonitor();
    private final DrainNotices drains = new DrainNotices(DRAIN_GRACE_MS);
    private final RequestLedger ledger = new RequestLedger(stalls, drains, DEDUPLICATION_WINDOW_MS);
    private final List<SoakBroker> brokers = new ArrayList<>();
    private final List<SoakSearcher> searchers = new ArrayList<>();
    private final Set<SoakSearcher> leaving = new HashSet<>(); // draining or stopped
    private final List<SoakClient> clients = new ArrayList<>();
    private final List<Thread> clientThreads = new ArrayList<>();
    private final List<Socket> crowd = new ArrayList<>();
    private final TreeMap<Long, List<Task>> schedule = new TreeMap<>();
    private final Map<Integer, SoakBroker> restartingByGroup = new HashMap<>();
    private final List<SoakClient.QueryClass> classes;
    private final int shortestMs;
    private final int longestMs;
    private SoakDiscovery discovery;
    private PortRange portRange;
    private long faultsEndAtMs;
    private final long startedAt = System.nanoTime();

    /**
     * Creates a run that is not started.
     *
     * @param library the library of {@link SyscallFaults#compile}
     * @param folder a folder for the files and logs of the brokers, which is created
     */
    public FaultSoak(Size size, long seed, Path library, Path folder) throws IOException {
        this.size = size;
        this.library = library;
        this.folder = Files.createDirectories(folder);
        random = new SplittableRandom(seed);
        shortestMs = 800 + random.nextInt(700);
        longestMs = random.nextInt(4) == 0 ? 4_500 : 1_600 + random.nextInt(1_400);
        classes =
                List.of(
                        new SoakClient.QueryClass("audit-report", longestMs, false, true),
                        new SoakClient.QueryClass("notice-search", shortestMs, false, false),
                        new SoakClient.QueryClass("bid-mark", shortestMs + 300, true, false));
    }

    /** Runs to the end and returns what was found. */
    public Result run() throws Exception {
        try {
            startAll();
            injectFaults();
            clients.forEach(SoakClient::stop);
            for (Thread client : clientThreads) {
                client.join(longestMs + 2 * START_TIMEOUT_MS / 10);
            }
            for (SoakBroker broker : brokers) {
                for (SyscallFaults.Kind kind : SyscallFaults.Kind.values()) {
                    for (int i = broker.faults.injected(kind); i > 0; i -= 100) {
                        ledger.count("hundreds of " + kind);
                    }
                }
            }
        } finally {
            closeAll();
        }
        Map<String, Integer> counts = ledger.counts();
        counts.put("harness stalls", stalls.count());
        return new Result(ledger.violations(), counts);
    }

    // ---- start ----

    private void startAll() throws Exception {
        double shardRequestsPerSecond =
                1_000.0 / MEAN_CYCLE_MS * CLIENTS_PER_BROKER * size.brokers() * MEAN_SHARDS;
        SlowStartBudget budget =
                new SlowStartBudget(
                        new WarmCapacity(shardRequestsPerSecond / (CELLS * REPLICAS) / UTILIZATION),
                        SLOW_START_SHARE,
                        SLOW_START_MS,
                        OVERLOAD_FACTOR,
                        OVERLOAD_WINDOW_MS);
        discovery = new SoakDiscovery(drains);
        portRange = new PortRange(2 * size.brokers() + CELLS * REPLICAS);
        List<Integer> ports = portRange.ports();
        for (int i = 0; i < CELLS * REPLICAS; i++) {
            SoakSearcher searcher =
                    new SoakSearcher(
                            "s-" + i,
                            i % CELLS,
                            ports.get(2 * size.brokers() + i),
                            5 + random.nextInt(30),
                            budget,
                            ledger);
            searchers.add(searcher);
            discovery.publish(searcher, "ready");
        }
        for (int i = 0; i < size.brokers(); i++) {
            brokers.add(createBroker(i, ports));
        }
        for (SoakBroker broker : brokers) {
            broker.start();
        }
        awaitServing();
        if (size.groups() > 0) {
            Thread.sleep(FLEET_SETTLE_MS);
        }
        startClients();
    }

    private void awaitServing() throws Exception {
        long deadline = System.nanoTime() + START_TIMEOUT_MS * 1_000_000L;
        while (!brokers.stream().allMatch(SoakBroker::isServing)) {
            if (System.nanoTime() > deadline) {
                throw new IOException("not all brokers serve within " + START_TIMEOUT_MS + " ms");
            }
            Thread.sleep(STEP_MS);
        }
    }

    private boolean isGrouped(int index) {
        return index < size.groups() * GROUP_SIZE;
    }

    private SoakBroker createBroker(int index, List<Integer> ports) throws IOException {
        String name = "n" + index;
        int port = ports.get(index);
        SyscallFaults faults =
                SyscallFaults.create(library, folder.resolve(name + ".faults").toAbsolutePath());
        ledger.observe(name, faults);
        Map<String, String> environment =
                new HashMap<>(faults.environment(random.nextLong() >>> 1));
        SoakBrokerFiles files = new SoakBrokerFiles(folder, index);
        Path config =
                files.writeConfig(port, discovery.portFor(name), random.nextLong(), sharedConfig());
        environment.put("LB_CONFIG", config.toString());
        environment.put("REELDEAL_STORE", "");
        if (isGrouped(index)) {
            int first = index - index % GROUP_SIZE;
            int firstPort = size.brokers() + first;
            Path store =
                    files.writeStoreConfig(first, ports.subList(firstPort, firstPort + GROUP_SIZE));
            environment.put("REELDEAL_STORE", store.toString());
        }
        return new SoakBroker(name, port, folder, environment, faults, ledger);
    }

    private SoakBrokerFiles.Shared sharedConfig() {
        return new SoakBrokerFiles.Shared(
                new SoakBrokerFiles.Topology(size.brokers(), CELLS, SHARDS),
                size.crowd() ? CROWDED_SOCKETS : SOCKETS,
                DEDUPLICATION_WINDOW_MS,
                DRAIN_GRACE_MS,
                new SoakBrokerFiles.Deadlines(longestMs, shortestMs),
                new SoakBrokerFiles.SlowStartRules(
                        SLOW_START_SHARE, SLOW_START_MS, OVERLOAD_FACTOR, OVERLOAD_WINDOW_MS),
                discovery.completeList());
    }

    private void startClients() {
        for (SoakBroker broker : brokers) {
            for (int i = 0; i < CLIENTS_PER_BROKER; i++) {
                SoakClient client =
                        new SoakClient(
                                broker,
                                ledger,
                                new SoakClient.Traffic(classes, SHARDS, THINK_MS),
                                random.split());
                clients.add(client);
                Thread thread = new Thread(client, "soak-client");
                thread.setDaemon(true);
                thread.start();
                clientThreads.add(thread);
            }
        }
    }

    // ---- faults ----

    private long elapsedMs() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    private void after(long delayMs, Task task) {
        schedule.computeIfAbsent(elapsedMs() + delayMs, at -> new ArrayList<>()).add(task);
    }

    private void injectFaults() throws Exception {
        after(random.nextInt(300), this::systemCallEpisode);
        after(random.nextInt(1_000), this::searcherEpisode);
        after(1_000 + random.nextInt(1_000), this::plannedRestart);
        after(3_000 + random.nextInt(6_000), this::unplannedRestart);
        after(2_000 + random.nextInt(4_000), this::coldSearcher);
        after(500 + random.nextInt(2_000), this::pause);
        after(2_000 + random.nextInt(3_000), this::clockStep);
        after(500 + random.nextInt(2_000), this::drainSearcher);
        if (size.crowd()) {
            after(500, this::fillConnections);
        }
        faultsEndAtMs = elapsedMs() + 1_000L * size.seconds();
        while (elapsedMs() < faultsEndAtMs) {
            runDue();
            Thread.sleep(5);
        }
        while (!restartingByGroup.isEmpty()) {
            runDue();
            Thread.sleep(5);
        }
    }

    private void runDue() throws Exception {
        while (!schedule.isEmpty() && schedule.firstKey() <= elapsedMs()) {
            for (Task task : schedule.pollFirstEntry().getValue()) {
                task.run();
            }
        }
    }

    private SoakBroker anyBroker() {
        return brokers.get(random.nextInt(brokers.size()));
    }

    private void systemCallEpisode() {
        disturb(anyBroker());
        after(100 + random.nextInt(4_000 / brokers.size() + 200), this::systemCallEpisode);
    }

    private void disturb(SoakBroker broker) {
        for (int i = 1 + random.nextInt(3); i > 0; i--) {
            SyscallFaults.Kind kind = PASSING_FAULTS.get(random.nextInt(PASSING_FAULTS.size()));
            int most = kind == SyscallFaults.Kind.BREAK_CONNECTION ? 60 : 700;
            int permille = 30 + random.nextInt(most);
            broker.faults.setPermille(kind, permille);
            broker.note("fault " + kind + " " + permille);
            after(
                    200 + random.nextInt(1_000),
                    () -> {
                        broker.faults.setPermille(kind, 0);
                        broker.note("fault " + kind + " over");
                    });
        }
    }

    private void searcherEpisode() {
        SoakSearcher searcher = searchers.get(random.nextInt(searchers.size()));
        SoakSearcher.Mode[] modes = SoakSearcher.Mode.values();
        searcher.setMode(modes[1 + random.nextInt(modes.length - 1)]);
        after(200 + random.nextInt(1_500), () -> searcher.setMode(SoakSearcher.Mode.SERVING));
        after(200 + random.nextInt(1_500), this::searcherEpisode);
    }

    private void coldSearcher() throws IOException {
        SoakSearcher searcher = searchers.get(random.nextInt(searchers.size()));
        if (leaving.add(searcher)) {
            replace(searcher);
        }
        after(4_000 + random.nextInt(4_000), this::coldSearcher);
    }

    /** Stops a searcher, and starts it again cold. */
    private void replace(SoakSearcher searcher) throws IOException {
        searcher.stop();
        after(
                500,
                () -> {
                    searcher.restart();
                    discovery.publish(searcher, "ready");
                    leaving.remove(searcher);
                });
    }

    private void drainSearcher() {
        SoakSearcher searcher = searchers.get(random.nextInt(searchers.size()));
        if (leaving.add(searcher)) {
            discovery.publish(searcher, "draining");
            ledger.count("drained searchers");
            after(DRAINING_MS, () -> replace(searcher));
        }
        after(4_000 + random.nextInt(4_000), this::drainSearcher);
    }

    private void pause() throws Exception {
        SoakBroker broker = anyBroker();
        if (broker.isServing() && elapsedMs() < faultsEndAtMs - 2L * MAX_PAUSE_MS) {
            broker.signal("STOP");
            after(20 + random.nextInt(MAX_PAUSE_MS - 60), () -> broker.signal("CONT"));
        }
        after(500 + random.nextInt(2_000), this::pause);
    }

    private void clockStep() {
        SoakBroker broker = anyBroker();
        long[] steps = {0, 2_000, -2_000, HOUR_MS, -HOUR_MS};
        long offsetMs = steps[random.nextInt(steps.length)];
        broker.faults.setWallOffsetMs(offsetMs);
        broker.note("wall clock " + offsetMs);
        after(1_000 + random.nextInt(3_000), this::clockStep);
    }

    private int groupOf(SoakBroker broker) {
        int index = brokers.indexOf(broker);
        return isGrouped(index) ? index / GROUP_SIZE : 1_000 + index;
    }

    private boolean mayRestart(SoakBroker broker) {
        return elapsedMs() < faultsEndAtMs
                && !restartingByGroup.containsKey(groupOf(broker))
                && broker.isServing();
    }

    private void plannedRestart() throws Exception {
        SoakBroker broker = anyBroker();
        if (mayRestart(broker)) {
            restartingByGroup.put(groupOf(broker), broker);
            broker.terminate();
            if (random.nextInt(3) > 0) {
                disturb(broker);
            }
            signalAgain(broker, "HUP");
            signalAgain(broker, "TERM");
            long killMs = Math.min(longestMs, MAX_COUNTED_DEADLINE_MS) + KILL_DELAY_MS;
            after(killMs, broker::kill);
            after(killMs + RESTART_DELAY_MS, () -> restart(broker));
            ledger.count("planned restarts");
        }
        after(300 + random.nextInt(6_000 / brokers.size() + 700), this::plannedRestart);
    }

    private void signalAgain(SoakBroker broker, String signal) {
        if (random.nextInt(3) == 0) {
            after(random.nextInt(1_500), () -> broker.signal(signal));
        }
    }

    private void unplannedRestart() {
        SoakBroker broker = anyBroker();
        if (mayRestart(broker)) {
            restartingByGroup.put(groupOf(broker), broker);
            broker.faults.setPermille(SyscallFaults.Kind.TEAR_FILE_WRITE, MAX_PERMILLE);
            after(TEAR_MS, broker::kill);
            after(TEAR_MS + RESTART_DELAY_MS, () -> restart(broker));
            ledger.count("kills");
        }
        after(2_000 + random.nextInt(4_000), this::unplannedRestart);
    }

    private void restart(SoakBroker broker) throws Exception {
        broker.awaitEnd();
        ledger.count(broker.wasKilled() ? "ended by SIGKILL" : "ended by itself");
        restartingByGroup.remove(groupOf(broker));
        broker.faults.setPermille(SyscallFaults.Kind.TEAR_FILE_WRITE, 0);
        drains.forget(broker.name);
        broker.start();
    }

    private void fillConnections() {
        SoakBroker broker = anyBroker();
        for (int i = 0; i < CROWD_CONNECTIONS && broker.isServing(); i++) {
            try {
                Socket socket = new Socket();
                socket.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), broker.port), 200);
                crowd.add(socket);
            } catch (IOException refused) {
                break;
            }
        }
        after(
                1_500,
                () -> {
                    for (Socket socket : crowd) {
                        socket.close();
                    }
                    crowd.clear();
                });
        after(2_500 + random.nextInt(2_000), this::fillConnections);
    }

    // ---- end ----

    private void closeAll() throws Exception {
        for (SoakBroker broker : brokers) {
            broker.close();
        }
        for (SoakSearcher searcher : searchers) {
            searcher.close();
        }
        if (portRange != null) {
            portRange.close();
        }
        if (discovery != null) {
            discovery.close();
        }
    }
}
