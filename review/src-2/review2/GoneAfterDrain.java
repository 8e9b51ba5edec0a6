package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A searcher that discovery reports as draining, and then leaves out of the whole list, while a DNS
 * zone that the broker serves still lists it. The rule: from 500 ms after the broker was told that a
 * searcher drains or is gone, that searcher gets nothing new.
 */
final class GoneAfterDrain {
    private static final int SEARCHERS = 12;
    private static final int CELLS = 4;
    private static final String ORIGIN = "tartu.example.org.";

    /** DrainGraceMs of the settings, and the 50 ms by which every limit is longer on sockets. */
    private static final double GRACE_MS = 500 + 50;

    public static void main(String[] args) throws Exception {
        Lab lab = new Lab(args[0]);
        Discovery discovery = new Discovery(lab);
        List<FrameSearcher> searchers = new ArrayList<>();
        List<Discovery.Endpoint> endpoints = new ArrayList<>();
        StringBuilder zone =
                new StringBuilder("$ORIGIN " + ORIGIN + "\n$TTL 60\n")
                        .append("@ IN SOA ns ops ( 1 1h 1m 1w 30 )\n  IN NS ns\nns IN A 127.0.0.1\n");
        String[] zones = {"tln-lasna", "tln-ylemiste", "tartu-raadi"};
        for (int i = 0; i < SEARCHERS; i++) {
            String host = "s" + (i + 1);
            int cell = i % CELLS;
            FrameSearcher searcher = new FrameSearcher(lab, host + "." + ORIGIN, cell, 90);
            searchers.add(searcher);
            Discovery.Endpoint endpoint =
                    new Discovery.Endpoint(
                            searcher.name,
                            "127.0.0.1:" + searcher.port,
                            zones[i / CELLS],
                            "std-10",
                            cell,
                            "ready");
            endpoints.add(endpoint);
            discovery.put(endpoint);
            zone.append("_searcher._tcp SRV 0 0 " + searcher.port + " " + host + "\n");
            zone.append(host + " A 127.0.0.1\n");
            zone.append(
                    host
                            + " TXT \"cell="
                            + cell
                            + "\" \"zone="
                            + zones[i / CELLS]
                            + "\" \"type=std-10\"\n");
        }
        int port = lab.freePort();
        int storePort = lab.freePort();
        int dnsPort = lab.freePort();
        String zoneFile = lab.write("tartu.zone", zone.toString()).toString();
        String store =
                lab.write(
                                "store.json",
                                "{\"node\":\"a\",\"folder\":\""
                                        + lab.folder.resolve("state")
                                        + "\",\"nodes\":{\"a\":\"127.0.0.1:"
                                        + storePort
                                        + "\"},\"dns\":{\"listen\":\"127.0.0.1:"
                                        + dnsPort
                                        + "\",\"zones\":[{\"origin\":\"tartu.example.org\",\"file\":\""
                                        + zoneFile
                                        + "\",\"searchers\":true}]}}")
                        .toString();
        String config =
                lab.config("n1", port, discovery.address(), Lab.settings()).toString();
        lab.startBroker("n1", Map.of("LB_CONFIG", config, "REELDEAL_STORE", store));
        Clients clients = new Clients(lab);
        if (!clients.awaitReady(port, 30_000)) {
            lab.end(Lab.COULD_NOT_RUN, "the broker was not ready within 30 s");
        }
        Lab.sleep(3_000);
        clients.start(port, 19);
        Lab.sleep(8_000);

        FrameSearcher drained = searchers.get(4);
        int before = drained.arrivedBetween(0, lab.now());
        double drainToldAt = lab.now();
        double goneToldAt = lab.now();
        if (lab.trouble) {
            lab.note("--- discovery tells that " + drained.name + " is draining");
            drained.draining = true;
            discovery.tell(endpoints.get(4).withStatus("draining"));
            awaitTold(lab, discovery);
            drainToldAt = lab.now();
            Lab.sleep(6_000);
            lab.note("--- the next answer is the whole list, which leaves " + drained.name + " out");
            discovery.leaveOutOfWholeList(drained.name);
            awaitTold(lab, discovery);
            goneToldAt = lab.now();
            Lab.sleep(12_000);
        } else {
            Lab.sleep(6_000);
            goneToldAt = lab.now();
            Lab.sleep(12_000);
        }
        double endAt = lab.now();
        int whileDraining = drained.arrivedBetween(drainToldAt + GRACE_MS, goneToldAt);
        int afterGone = drained.arrivedBetween(goneToldAt + GRACE_MS, endAt);
        lab.noteLog("n1", drained.name, "discovery");
        lab.operate("zone", "members", "-s", "127.0.0.1:" + dnsPort);
        String counts =
                drained.name
                        + " got "
                        + before
                        + " parts before, "
                        + whileDraining
                        + " from 550 ms after it was told to drain, "
                        + afterGone
                        + " from 550 ms after the whole list left it out; clients: "
                        + clients.outcomes();
        if (before < 5 || clients.count("200") < 100) {
            lab.end(Lab.COULD_NOT_RUN, "too little was served: " + counts);
        }
        if (lab.trouble && whileDraining + afterGone > 0) {
            lab.end(Lab.BROKEN, counts);
        }
        lab.end(Lab.HELD, counts);
    }

    private static void awaitTold(Lab lab, Discovery discovery) {
        double until = lab.now() + 6_000;
        while (!discovery.isTold() && lab.now() < until) {
            Lab.sleep(5);
        }
        if (!discovery.isTold()) {
            lab.end(Lab.COULD_NOT_RUN, "the broker did not take the list within 6 s");
        }
    }
}
