package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A broker that follows a zone from two primaries. One is cut off from its own source and lags; the
 * other is lost while the broker asks it for changes. The rule: a stale copy must not revive a
 * searcher that has already been marked as draining, which then gets nothing new.
 */
final class StalePrimary {
    private static final int SEARCHERS = 12;
    private static final int CELLS = 4;
    private static final String ORIGIN = "tartu.example.org.";
    private static final double GRACE_MS = 500 + 50;

    /** The pages let a data centre be cut off for 8.5 to 18 s. */
    private static final double LONGEST_CUT_MS = 17_500;

    public static void main(String[] args) throws Exception {
        Lab lab = new Lab(args[0]);
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
        int dnsFirst = lab.freePort();
        int dnsSecond = lab.freePort();
        int dnsBroker = lab.freePort();
        DnsProxy firstToSecond = new DnsProxy(lab, "the way from p2 to p1", dnsFirst);
        DnsProxy firstToBroker = new DnsProxy(lab, "the way from n1 to p1", dnsFirst);
        Clients clients = new Clients(lab);

        int portFirst = lab.freePort();
        start(
                lab,
                "p1",
                portFirst,
                dnsFirst,
                "\"file\":\""
                        + zoneFile
                        + "\",\"searchers\":false,\"notify\":["
                        + peer(dnsSecond)
                        + ","
                        + peer(dnsBroker)
                        + "]");
        ready(lab, clients, portFirst, "p1");
        int portSecond = lab.freePort();
        start(
                lab,
                "p2",
                portSecond,
                dnsSecond,
                "\"primaries\":[" + peer(firstToSecond.port) + "],\"searchers\":false");
        ready(lab, clients, portSecond, "p2");
        int port = lab.freePort();
        String followed =
                "\"primaries\":["
                        + peer(firstToBroker.port)
                        + ","
                        + peer(dnsSecond)
                        + "],\"searchers\":true";
        Process broker = start(lab, "n1", port, dnsBroker, followed);
        ready(lab, clients, port, "n1");
        Lab.sleep(3_000);
        clients.start(port, 19);
        Lab.sleep(6_000);
        FrameSearcher drained = searchers.get(6);
        int before = drained.arrivedBetween(0, lab.now());

        // Both ways to p1 are cut for less than the 18 s that a data centre may be cut off.
        double cutEndsAt = lab.now() + LONGEST_CUT_MS;
        if (lab.trouble) {
            firstToSecond.cut();
        }
        lab.note("--- the operator takes " + drained.name + " out of the zone");
        update(lab, dnsFirst, "--delete", "_searcher._tcp SRV 0 0 " + drained.port + " s7");
        awaitDraining(lab, drained.name);
        drained.draining = true;
        double toldAt = lab.now();
        Lab.sleep(1_500);
        int whileUp = drained.arrivedBetween(toldAt + GRACE_MS, lab.now());

        if (lab.trouble) {
            firstToBroker.cutAtTransfer();
        }
        lab.note("--- another change of the zone, which is of no searcher");
        update(lab, dnsFirst, "--add", "note 60 TXT \"changed\"");
        Lab.sleep(3_000);
        if (lab.trouble && !firstToBroker.isCut()) {
            lab.end(Lab.COULD_NOT_RUN, "n1 asked for no incremental transfer");
        }
        int beforeRestart = drained.arrivedBetween(toldAt + GRACE_MS, lab.now());

        lab.note("--- n1 is restarted as planned");
        clients.setPort(0);
        lab.signal("TERM", broker);
        if (!broker.waitFor(20, TimeUnit.SECONDS)) {
            lab.end(Lab.COULD_NOT_RUN, "n1 did not end within 20 s of SIGTERM");
        }
        start(lab, "n1", port, dnsBroker, followed);
        ready(lab, clients, port, "n1");
        double restartedAt = lab.now();
        int answeredBefore = clients.count("200");
        clients.setPort(port);
        lab.until(cutEndsAt);
        int afterRestart = drained.arrivedBetween(restartedAt + GRACE_MS, cutEndsAt);
        clients.setPort(0);
        lab.operate("zone", "show", ORIGIN, "-s", "127.0.0.1:" + dnsBroker);
        lab.operate("zone", "members", "-s", "127.0.0.1:" + dnsBroker);
        lab.noteLog("n1", "dns:", drained.name);
        String counts =
                drained.name
                        + " got "
                        + before
                        + " parts before it was taken out; from 550 ms after n1 had drained it "
                        + whileUp
                        + ", until the restart "
                        + beforeRestart
                        + ", after the restart "
                        + afterRestart
                        + "; clients: "
                        + clients.outcomes();
        if (before < 5 || clients.count("200") - answeredBefore < 40) {
            lab.end(Lab.COULD_NOT_RUN, "too little was served: " + counts);
        }
        lab.end(beforeRestart + afterRestart > 0 ? Lab.BROKEN : Lab.HELD, counts);
    }

    private static String peer(int port) {
        return "{\"address\":\"127.0.0.1:" + port + "\"}";
    }

    private static Process start(Lab lab, String name, int port, int dnsPort, String zone)
            throws IOException {
        String config = lab.config(name, port, null, Lab.settings()).toString();
        String store =
                lab.write(
                                name + ".store.json",
                                "{\"node\":\""
                                        + name
                                        + "\",\"folder\":\""
                                        + lab.folder.resolve(name + ".state")
                                        + "\",\"nodes\":{\""
                                        + name
                                        + "\":\"127.0.0.1:"
                                        + lab.freePort()
                                        + "\"},\"dns\":{\"listen\":\"127.0.0.1:"
                                        + dnsPort
                                        + "\",\"zones\":[{\"origin\":\"tartu.example.org\","
                                        + zone
                                        + "}]}}")
                        .toString();
        return lab.startBroker(name, Map.of("LB_CONFIG", config, "REELDEAL_STORE", store));
    }

    private static void ready(Lab lab, Clients clients, int port, String name) {
        if (!clients.awaitReady(port, 30_000)) {
            lab.end(Lab.COULD_NOT_RUN, name + " was not ready within 30 s");
        }
    }

    private static void update(Lab lab, int dnsPort, String verb, String record)
            throws IOException, InterruptedException {
        String result =
                lab.operate(
                        "zone", "update", ORIGIN, "-s", "127.0.0.1:" + dnsPort, verb, record);
        if (!result.startsWith("0")) {
            lab.end(Lab.COULD_NOT_RUN, "the update failed: " + result);
        }
    }

    /** Waits until n1 itself has reported in its log that it drains the searcher. */
    private static void awaitDraining(Lab lab, String name) throws IOException {
        java.nio.file.Path log = lab.folder.resolve("n1.log");
        double until = lab.now() + 10_000;
        while (lab.now() < until) {
            for (String line : java.nio.file.Files.readAllLines(log)) {
                if (line.contains(name + ": draining")) {
                    return;
                }
            }
            Lab.sleep(20);
        }
        lab.end(Lab.COULD_NOT_RUN, "n1 did not hear of the drain within 10 s");
    }
}
