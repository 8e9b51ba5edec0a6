package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Several daemons with a store and a fleet, all settings of both at their defaults, and twelve
 * searchers in three zones. The daemons learn of the searchers from discovery or, if asked, from a
 * DNS zone in the store.
 */
final class Group {
    static final String ORIGIN = "searchers.test.";
    private static final int SEARCHERS = 12;

    /** The names of the daemons. */
    final List<String> nodes;

    final Effects effects = new Effects();
    final List<FrameSearcher> searchers = new ArrayList<>();
    final Map<String, Integer> ports = new HashMap<>();
    final Map<String, Integer> searchPorts = new HashMap<>();
    final Map<String, Integer> dnsPorts = new HashMap<>();
    final Map<String, Run.Daemon> daemons = new HashMap<>();
    private final Map<String, Integer> storePorts = new TreeMap<>();
    private final Map<String, Map<String, String>> environments = new HashMap<>();
    private final Run run;

    private final String zoneFile;

    /** Starts the searchers and the daemons, and waits until each takes clients and is a member. */
    Group(Run run, List<String> nodes, int serviceMs, int valueLength, boolean withZone)
            throws IOException {
        this.run = run;
        this.nodes = nodes;
        List<String> entries = new ArrayList<>();
        StringBuilder zoneText =
                new StringBuilder("$ORIGIN " + ORIGIN + "\n$TTL 60\n@ SOA ns ops 1 1h 1m 1w 30\n@ NS ns\n");
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
            zoneText.append(
                    String.format(
                            "_searcher._tcp SRV 0 0 %d %s%n%s A 127.0.0.1%n%s TXT \"cell=%d\""
                                    + " \"zone=%s\" \"type=%s\"%n",
                            searcher.port(),
                            name,
                            name,
                            name,
                            i % Settings.CELLS,
                            Settings.zone(zone),
                            Settings.kind(i)));
        }
        zoneFile = withZone ? run.write("zone", zoneText.toString()).toString() : null;
        int discoveryPort = withZone ? 0 : new Discovery(entries).port();
        for (String node : nodes) {
            storePorts.put(node, Run.freePort());
        }
        for (String node : nodes) {
            configure(node, discoveryPort);
            start(node);
        }
        for (String node : nodes) {
            Wire.awaitReady(run, ports.get(node), 30_000);
        }
        Run.sleep(6_000); // registration, heartbeats and the median of the clocks
    }

    private void configure(String node, int discoveryPort) throws IOException {
        int index = nodes.indexOf(node);
        ports.put(node, Run.freePort());
        searchPorts.put(node, Run.freePort());
        dnsPorts.put(node, Run.freePort());
        List<String> addresses = new ArrayList<>();
        storePorts.forEach((name, port) -> addresses.add("\"" + name + "\": \"127.0.0.1:" + port + "\""));
        String dns =
                zoneFile == null
                        ? ""
                        : String.format(
                                ", \"dns\": {\"listen\": \"127.0.0.1:%d\", \"origin\": \"%s\","
                                        + " \"zone_file\": \"%s\"}",
                                dnsPorts.get(node), ORIGIN.substring(0, ORIGIN.length() - 1), zoneFile);
        String store =
                String.format(
                        "{\"group\": \"review\", \"node\": \"%s\", \"folder\": \"%s\", \"nodes\":"
                                + " {%s}, \"fleet\": {\"zone\": \"%s\"}%s}",
                        node,
                        run.folder("state-" + node),
                        String.join(", ", addresses),
                        Settings.zone(index),
                        dns);
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
}
