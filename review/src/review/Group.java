package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Three daemons, a, b and c, with a store, a fleet and the records of keyed requests, as
 * docs/operators/handover.md sets them up, and twelve searchers in three zones. Each daemon reaches
 * the others through links that can be cut.
 */
final class Group {
    static final List<String> NODES = List.of("a", "b", "c");
    private static final int SEARCHERS = 12;

    final Effects effects = new Effects();
    final List<FrameSearcher> searchers = new ArrayList<>();
    final Map<String, Integer> ports = new HashMap<>();
    final Map<String, Integer> searchPorts = new HashMap<>();
    final Map<String, Run.Daemon> daemons = new HashMap<>();
    private final Map<String, Integer> storePorts = new TreeMap<>();
    private final Map<String, Link> links = new HashMap<>();
    private final Map<String, Map<String, String>> environments = new HashMap<>();
    private final Run run;

    /** Starts the searchers and the daemons, and waits until each takes clients and is a member. */
    Group(Run run, int serviceMs, int valueLength) throws IOException {
        this.run = run;
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < SEARCHERS; i++) {
            String name = "s-" + i;
            FrameSearcher searcher =
                    new FrameSearcher(run, name, serviceMs, effects, valueLength);
            searchers.add(searcher);
            int zone = i / Settings.CELLS;
            entries.add(
                    Discovery.entry(
                            name,
                            searcher.port(),
                            Settings.zone(zone),
                            Settings.kind(i),
                            i % Settings.CELLS));
        }
        int discoveryPort = new Discovery(entries).port();
        for (String node : NODES) {
            storePorts.put(node, Run.freePort());
        }
        for (String from : NODES) {
            for (String to : NODES) {
                if (!from.equals(to)) {
                    links.put(from + to, new Link(storePorts.get(to)));
                }
            }
        }
        for (String node : NODES) {
            configure(node, discoveryPort);
            start(node);
        }
        for (String node : NODES) {
            Wire.awaitReady(run, ports.get(node), 30_000);
        }
        Run.sleep(6_000); // registration, heartbeats and the median of the clocks
    }

    private void configure(String node, int discoveryPort) throws IOException {
        int index = NODES.indexOf(node);
        ports.put(node, Run.freePort());
        searchPorts.put(node, Run.freePort());
        Map<String, String> nodes = new LinkedHashMap<>();
        for (String other : NODES) {
            int port = other.equals(node) ? storePorts.get(node) : links.get(node + other).port();
            nodes.put(other, "\"" + other + "\": \"127.0.0.1:" + port + "\"");
        }
        String store =
                String.format(
                        "{\"group\": \"review\", \"node\": \"%s\", \"folder\": \"%s\", \"nodes\":"
                                + " {%s}, \"fleet\": {\"zone\": \"%s\"}}",
                        node,
                        run.folder("state-" + node),
                        String.join(", ", nodes.values()),
                        Settings.zone(index));
        String search =
                String.format(
                        "{\"listen\": \"127.0.0.1:%d\", \"indices\": {\"marks\": {\"class\":"
                                + " \"bid-mark\", \"segments\": {\"marks\": 2}}, \"notices\":"
                                + " {\"class\": \"notice-search\", \"segments\": {\"2024\": 0,"
                                + " \"2025\": 1}}}}",
                        searchPorts.get(node));
        String config = Settings.broker(node, ports.get(node), discoveryPort, index);
        environments.put(
                node,
                Map.of(
                        "LB_CONFIG", run.write(node + ".json", config).toString(),
                        "REELDEAL_STORE", run.write(node + ".store", store).toString(),
                        "REELDEAL_SEARCH", run.write(node + ".search", search).toString()));
    }

    /** Starts a daemon, on the folder that it had before. */
    void start(String node) throws IOException {
        daemons.put(node, run.start(node, environments.get(node)));
    }

    /** Cuts one daemon off from the other two, in both directions. */
    void cutOff(String node) {
        run.note("case", node + " is cut off from the other daemons");
        links.forEach(
                (name, link) -> {
                    if (name.contains(node)) {
                        link.cut();
                    }
                });
    }
}
