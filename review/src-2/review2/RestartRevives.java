package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Three brokers with one replicated store, a zone in it, and discovery. The operator takes a searcher
 * out of the zone; its process goes on, so that discovery lists it as before. Then two of the brokers
 * are killed at once and started again. The rule: a stale copy must not revive a searcher that has
 * already been marked as draining, which then gets nothing new.
 */
final class RestartRevives {
    private static final int SEARCHERS = 12;
    private static final int CELLS = 4;
    private static final String ORIGIN = "tartu.example.org.";
    private static final double GRACE_MS = 500 + 50;
    private static final List<String> NODES = List.of("a", "b", "c");

    public static void main(String[] args) throws Exception {
        Lab lab = new Lab(args[0]);
        Discovery discovery = new Discovery(lab);
        List<FrameSearcher> searchers = new ArrayList<>();
        StringBuilder zone =
                new StringBuilder("$ORIGIN " + ORIGIN + "\n$TTL 60\n")
                        .append("@ IN SOA ns ops ( 1 1h 1m 1w 30 )\n  IN NS ns\nns IN A 127.0.0.1\n");
        String[] zones = {"tln-lasna", "tln-ylemiste", "tartu-raadi"};
        for (int i = 0; i < SEARCHERS; i++) {
            String host = "s" + (i + 1);
            FrameSearcher searcher =
                    new FrameSearcher(lab, host + "." + ORIGIN, i % CELLS, 90);
            searchers.add(searcher);
            discovery.put(
                    new Discovery.Endpoint(
                            searcher.name,
                            "127.0.0.1:" + searcher.port,
                            zones[i / CELLS],
                            "std-10",
                            i % CELLS,
                            "ready"));
            zone.append("_searcher._tcp SRV 0 0 " + searcher.port + " " + host + "\n");
            zone.append(host + " A 127.0.0.1\n");
            zone.append(
                    host
                            + " TXT \"cell="
                            + i % CELLS
                            + "\" \"zone="
                            + zones[i / CELLS]
                            + "\" \"type=std-10\"\n");
        }
        String zoneFile = lab.write("tartu.zone", zone.toString()).toString();
        List<String> stores = new ArrayList<>();
        for (String node : NODES) {
            stores.add("\"" + node + "\":\"127.0.0.1:" + lab.freePort() + "\"");
        }
        Map<String, Integer> ports = new LinkedHashMap<>();
        Map<String, Integer> dnsPorts = new LinkedHashMap<>();
        Map<String, Map<String, String>> environments = new LinkedHashMap<>();
        Map<String, String> settings = Lab.settings();
        settings.put("Instances", "3");
        for (String node : NODES) {
            ports.put(node, lab.freePort());
            dnsPorts.put(node, lab.freePort());
            settings.put("SelfIndex", String.valueOf(NODES.indexOf(node)));
            String config =
                    lab.config(node, ports.get(node), discovery.address(), settings).toString();
            String store =
                    lab.write(
                                    node + ".store.json",
                                    "{\"node\":\""
                                            + node
                                            + "\",\"folder\":\""
                                            + lab.folder.resolve(node + ".state")
                                            + "\",\"nodes\":{"
                                            + String.join(",", stores)
                                            + "},\"dns\":{\"listen\":\"127.0.0.1:"
                                            + dnsPorts.get(node)
                                            + "\",\"zones\":[{\"origin\":\"tartu.example.org\","
                                            + "\"file\":\""
                                            + zoneFile
                                            + "\",\"searchers\":true}]}}")
                            .toString();
            environments.put(node, Map.of("LB_CONFIG", config, "REELDEAL_STORE", store));
        }
        Map<String, Process> brokers = new LinkedHashMap<>();
        for (String node : NODES) {
            brokers.put(node, lab.startBroker(node, environments.get(node)));
        }
        Map<String, Clients> clients = new LinkedHashMap<>();
        for (String node : NODES) {
            clients.put(node, new Clients(lab));
            if (!clients.get(node).awaitReady(ports.get(node), 30_000)) {
                lab.end(Lab.COULD_NOT_RUN, node + " was not ready within 30 s");
            }
        }
        Lab.sleep(5_000);
        for (String node : NODES) {
            clients.get(node).start(ports.get(node), 6.5);
        }
        Lab.sleep(7_000);
        FrameSearcher drained = searchers.get(6);
        int before = drained.arrivedBetween(0, lab.now());
        lab.note("--- the operator takes " + drained.name + " out of the zone");
        String result =
                lab.operate(
                        "zone",
                        "update",
                        ORIGIN,
                        "-s",
                        "127.0.0.1:" + dnsPorts.get("a"),
                        "--delete",
                        "_searcher._tcp SRV 0 0 " + drained.port + " s7");
        if (!result.startsWith("0")) {
            lab.end(Lab.COULD_NOT_RUN, "the update failed: " + result);
        }
        for (String node : NODES) {
            awaitLog(lab, node, drained.name + ": draining");
        }
        drained.draining = true;
        double toldAt = lab.now();
        Lab.sleep(5_000);

        String leader = leader(lab);
        List<String> killed = new ArrayList<>(List.of(leader));
        killed.add(NODES.get((NODES.indexOf(leader) + 1) % NODES.size()));
        int beforeRestart = drained.arrivedBetween(toldAt + GRACE_MS, lab.now());
        if (lab.trouble) {
            lab.note("--- brokers " + killed + " are killed at once; " + leader + " led");
            for (String node : killed) {
                clients.get(node).setPort(0);
                brokers.get(node).destroyForcibly();
            }
            Lab.sleep(1_000);
            for (String node : killed) {
                brokers.put(node, lab.startBroker(node, environments.get(node)));
            }
        }
        double restartedAt = lab.now();
        for (String node : killed) {
            if (!clients.get(node).awaitReady(ports.get(node), 30_000)) {
                lab.end(Lab.COULD_NOT_RUN, node + " was not ready within 30 s");
            }
            clients.get(node).setPort(ports.get(node));
        }
        Lab.sleep(40_000);
        int afterRestart = drained.arrivedBetween(restartedAt + 1_000, lab.now());
        for (String node : NODES) {
            lab.operate("zone", "members", "-s", "127.0.0.1:" + dnsPorts.get(node));
            lab.noteLog(node, drained.name, "leads, term", "accepts writes", "stale");
        }
        int served = 0;
        StringBuilder outcomes = new StringBuilder();
        for (String node : NODES) {
            served += clients.get(node).count("200");
            outcomes.append(" " + node + " " + clients.get(node).outcomes());
        }
        String counts =
                drained.name
                        + " got "
                        + before
                        + " parts before it was taken out; from 550 ms after all brokers had drained"
                        + " it until the restart "
                        + beforeRestart
                        + ", in the 40 s after it "
                        + afterRestart
                        + "; clients:"
                        + outcomes;
        if (before < 5 || served < 300) {
            lab.end(Lab.COULD_NOT_RUN, "too little was served: " + counts);
        }
        lab.end(beforeRestart + afterRestart > 0 ? Lab.BROKEN : Lab.HELD, counts);
    }

    private static String leader(Lab lab) throws IOException {
        String leader = "a";
        long highest = -1;
        for (String node : NODES) {
            for (String line : Files.readAllLines(lab.folder.resolve(node + ".log"))) {
                int at = line.indexOf("accepts writes as leader of term ");
                if (at >= 0) {
                    long term = Long.parseLong(line.substring(at + 33).trim());
                    if (term > highest) {
                        highest = term;
                        leader = node;
                    }
                }
            }
        }
        return leader;
    }

    private static void awaitLog(Lab lab, String node, String text) throws IOException {
        Path log = lab.folder.resolve(node + ".log");
        double until = lab.now() + 10_000;
        while (lab.now() < until) {
            for (String line : Files.readAllLines(log)) {
                if (line.contains(text)) {
                    return;
                }
            }
            Lab.sleep(20);
        }
        lab.end(Lab.COULD_NOT_RUN, node + " did not log within 10 s: " + text);
    }
}
