package reeldeal.faultinjection;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * The broker processes of a scenario and the proxies for the frames between their stores. Restarts
 * processes that have ended, as a service manager would, and ends a pause, a partition or a full
 * disk when its time is over. Used only by the thread of the scenario.
 */
final class ProcessFleet implements AutoCloseable {
    private static final int PORTS_PER_NODE = 3;
    private static final int RESTART_DELAY_MS = 300;
    private static final int RESTART_JITTER_MS = 700;

    private final Scenario scenario;
    private final History history;
    private final SplittableRandom random;
    private final NodeFiles files;
    private final Map<String, BrokerProcess> brokers = new LinkedHashMap<>();
    private final List<BrokerProcess> spares = new ArrayList<>();
    private final Set<String> voters = new HashSet<>();
    private final Map<String, FrameProxy> proxies = new HashMap<>();
    private final Map<String, Long> restartAt = new HashMap<>();
    private final Map<String, Long> healAt = new HashMap<>();
    private final PortRange ports;
    private final List<String> names;
    private final List<String> founders;

    /**
     * Creates the processes of a fleet without starting them. {@code command} is the beginning of
     * the command line of each process.
     */
    ProcessFleet(
            Scenario scenario,
            NodeFiles files,
            List<String> command,
            SplittableRandom random,
            History history)
            throws IOException {
        this.scenario = scenario;
        this.files = files;
        this.random = random;
        this.history = history;
        names = nodeNames(scenario);
        founders = names.subList(0, scenario.fleet().initialBrokers());
        voters.addAll(names.subList(0, scenario.fleet().voters()));
        ports = new PortRange(PORTS_PER_NODE * names.size());
        createProxies();
        for (int i = 0; i < names.size(); i++) {
            createProcess(i, command);
        }
    }

    /** Returns the names of all nodes, voters first and spares last. */
    static List<String> nodeNames(Scenario scenario) {
        int count = scenario.fleet().initialBrokers() + scenario.fleet().spares();
        return IntStream.range(0, count).mapToObj(i -> "b" + i).toList();
    }

    /** Returns the zone of a node. */
    static String zoneOf(String node) {
        return SearcherFleet.zoneOf(Integer.parseInt(node.substring(1)));
    }

    private void createProxies() throws IOException {
        for (String from : names) {
            for (String to : names) {
                if (connects(from, to)) {
                    proxies.put(link(from, to), new FrameProxy(storePort(to), random.nextLong()));
                }
            }
        }
    }

    private boolean connects(String from, String to) {
        boolean replicates =
                voters.contains(from) || voters.contains(to) || !founders.contains(from);
        return !from.equals(to) && founders.contains(to) && replicates;
    }

    private static String link(String from, String to) {
        return from + ">" + to;
    }

    private int storePort(String node) {
        return ports.ports().get(names.indexOf(node));
    }

    private void createProcess(int index, List<String> command) throws IOException {
        String name = names.get(index);
        boolean founder = founders.contains(name);
        int port = ports.ports().get(names.size() + index);
        int dnsPort = ports.ports().get(2 * names.size() + index);
        Path storeFile = files.writeStoreFile(name, zoneOf(name), !founder, peersOf(name), dnsPort);
        Map<String, String> environment =
                Map.of(
                        "JDK_JAVA_OPTIONS", faultOptions(index),
                        "LB_CONFIG", files.brokerConfig().toString(),
                        "LB_NAME", name,
                        "LB_LISTEN", "127.0.0.1:" + port,
                        "REELDEAL_STORE", storeFile.toString());
        BrokerProcess broker =
                new BrokerProcess(
                        name, port, storePort(name), dnsPort, command, environment, history);
        if (founder) {
            brokers.put(name, broker);
        } else {
            spares.add(broker);
        }
    }

    private Map<String, Integer> peersOf(String name) {
        Map<String, Integer> peers = new LinkedHashMap<>();
        peers.put(name, storePort(name));
        for (String peer : names) {
            FrameProxy proxy = proxies.get(link(name, peer));
            if (proxy != null) {
                peers.put(peer, proxy.port());
            }
        }
        return peers;
    }

    /** Returns the system properties by which a process injects faults into itself. */
    private String faultOptions(int index) {
        Scenario.NodeFaults faults = scenario.faults().nodes();
        int slowDiskMs = index == 0 || faults.allDisksSlow() ? faults.slowDiskMs() : 0;
        double clockRate = 1 + faults.clockSkewPct() / 100.0 * (2 * random.nextDouble() - 1);
        String options =
                "-Dreeldeal.drill.disk_ms="
                        + slowDiskMs
                        + " -Dreeldeal.drill.clock_rate="
                        + clockRate;
        String failpoints = scenario.load().keyed().failpoints();
        return voters.contains(names.get(index)) || failpoints.isEmpty()
                ? options
                : options + " -Dreeldeal.drill.die=" + failpoints;
    }

    // ---- brokers of the fleet ----

    /**
     * Returns all brokers of the fleet, running or not. A spare is included only after it has
     * replaced a broker.
     */
    Collection<BrokerProcess> brokers() {
        return brokers.values();
    }

    /** Returns the broker with a name, or null if the fleet has none. */
    BrokerProcess broker(String name) {
        return brokers.get(name);
    }

    boolean isVoter(BrokerProcess broker) {
        return voters.contains(broker.name);
    }

    /** Returns the names of the voting nodes. */
    Set<String> voters() {
        return Set.copyOf(voters);
    }

    /** Returns the brokers whose process runs and is not paused, voters first. */
    List<BrokerProcess> running() {
        List<BrokerProcess> running =
                new ArrayList<>(
                        brokers.values().stream()
                                .filter(b -> b.isAlive() && !b.isPaused())
                                .toList());
        running.sort(Comparator.comparing(b -> !isVoter(b)));
        return running;
    }

    // ---- starting, restarting, healing ----

    /** Starts all brokers. */
    void start() throws IOException {
        for (BrokerProcess broker : brokers.values()) {
            broker.start();
        }
    }

    /** The step of a deployment that precedes the restart of a broker. */
    interface BeforeRestart {
        /** Installs the program that the broker is to run from now on. */
        void prepare(BrokerProcess broker);
    }

    /**
     * Restarts the ended processes whose restart is due, and ends the faults whose time is over.
     */
    void supervise(BeforeRestart deployment) throws Exception {
        for (BrokerProcess broker : brokers.values()) {
            if (broker.isAlive()) {
                restartAt.remove(broker.name);
            } else if (!restartAt.containsKey(broker.name)) {
                restartAfter(broker, RESTART_DELAY_MS + random.nextInt(RESTART_JITTER_MS));
            } else if (history.elapsedMs() >= restartAt.get(broker.name)) {
                restartAt.remove(broker.name);
                deployment.prepare(broker);
                broker.start();
            }
        }
        for (Map.Entry<String, Long> due : Map.copyOf(healAt).entrySet()) {
            if (history.elapsedMs() >= due.getValue()) {
                healAt.remove(due.getKey());
                heal(brokers.get(due.getKey()));
            }
        }
    }

    private void heal(BrokerProcess broker) throws Exception {
        if (broker.isPaused()) {
            broker.resume();
        }
        if (broker.hasFileSizeLimit()) {
            broker.limitFileSize(0); // the operator frees disk space and restarts the broker
            broker.kill();
        }
        partition(broker.name, false, false);
        history.add(broker.name, "heal", "");
    }

    /** Schedules the restart of a broker after a delay in ms. */
    void restartAfter(BrokerProcess broker, long ms) {
        restartAt.put(broker.name, history.elapsedMs() + ms);
    }

    /** Schedules the restart of a broker after a delay in ms, unless one is scheduled already. */
    void restartAfterIfUnscheduled(BrokerProcess broker, long ms) {
        restartAt.putIfAbsent(broker.name, history.elapsedMs() + ms);
    }

    /** Schedules the end of a broker's pause, partition or full disk after a delay in ms. */
    void healAfter(BrokerProcess broker, long ms) {
        healAt.put(broker.name, history.elapsedMs() + ms);
    }

    /** Cancels the scheduled end of a broker's fault, since a power loss replaces that fault. */
    void cancelHealing(BrokerProcess broker) {
        healAt.remove(broker.name);
    }

    /** Returns whether no broker is still down, paused or partitioned because of a fault. */
    boolean isHealed() {
        return healAt.isEmpty() && restartAt.isEmpty();
    }

    /**
     * Disables the failpoints of all learners. Running learners are killed and restarted, since
     * failpoints are read at start.
     */
    void disableFailpoints() throws InterruptedException {
        for (BrokerProcess broker : brokers.values()) {
            if (!isVoter(broker)) {
                broker.disableFailpoints();
                if (broker.isAlive()) {
                    broker.kill();
                }
                restartAfterIfUnscheduled(broker, RESTART_DELAY_MS);
            }
        }
    }

    /**
     * Removes a broker from the fleet for good and puts a spare in its place. Returns the spare,
     * which is not started yet.
     */
    BrokerProcess replace(BrokerProcess retired) throws InterruptedException {
        BrokerProcess spare = spares.remove(0);
        if (retired.isAlive()) {
            retired.kill();
        }
        brokers.remove(retired.name);
        restartAt.remove(retired.name);
        healAt.remove(retired.name);
        history.add(retired.name, "retired", "for " + spare.name);
        brokers.put(spare.name, spare);
        return spare;
    }

    /** Makes a spare a voter in place of the node that it has replaced. */
    void transferVote(BrokerProcess from, BrokerProcess to) {
        voters.remove(from.name);
        voters.add(to.name);
    }

    // ---- faults between nodes ----

    /** Sets the shares of frames between all nodes that are dropped, delayed and duplicated. */
    void inject(Scenario.FrameFaults faults) {
        for (FrameProxy proxy : proxies.values()) {
            proxy.dropPct = faults.dropPct();
            proxy.delayPct = faults.delayPct();
            proxy.duplicatePct = faults.duplicatePct();
        }
    }

    /**
     * Partitions a node from all others, or reconnects it. With {@code inboundOnly} only the links
     * to the node are affected.
     */
    void partition(String node, boolean partitioned, boolean inboundOnly) {
        proxies.forEach(
                (link, proxy) -> {
                    boolean inbound = link.endsWith(">" + node);
                    boolean outbound = !inboundOnly && link.startsWith(node + ">");
                    if (inbound || outbound) {
                        proxy.setPartitioned(partitioned);
                    }
                });
    }

    /** Returns the counts of passed, dropped, delayed and duplicated frames, for the report. */
    String frameCounts() {
        long passed = proxies.values().stream().mapToLong(p -> p.passed.get()).sum();
        long dropped = proxies.values().stream().mapToLong(p -> p.dropped.get()).sum();
        long delayed = proxies.values().stream().mapToLong(p -> p.delayed.get()).sum();
        long duplicated = proxies.values().stream().mapToLong(p -> p.duplicated.get()).sum();
        return passed
                + " passed, "
                + dropped
                + " dropped, "
                + delayed
                + " delayed, "
                + duplicated
                + " doubled";
    }

    @Override
    public void close() throws Exception {
        for (BrokerProcess broker : brokers.values()) {
            broker.close();
        }
        for (BrokerProcess spare : spares) {
            spare.close();
        }
        for (FrameProxy proxy : proxies.values()) {
            proxy.close();
        }
        ports.close();
    }
}
