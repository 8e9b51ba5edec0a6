package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A broker with a zone that the operator changes by a sequence of dynamic updates: one that takes a
 * searcher out, two that set the zone's serial back in the way of RFC 1982, and one that takes
 * another searcher out. The rule: no new parts go to a drained searcher after 500 ms.
 */
final class SerialReset {
    private static final int SEARCHERS = 12;
    private static final int CELLS = 4;
    private static final String ORIGIN = "tartu.example.org.";
    private static final double GRACE_MS = 500 + 50;

    /** The first serial, of a usual form: a date and a count. */
    private static final long FIRST_SERIAL = 2026120501L;

    /** The largest step that RFC 1982 allows for a serial of 32 bits. */
    private static final long LARGEST_STEP = (1L << 31) - 1;

    public static void main(String[] args) throws Exception {
        Lab lab = new Lab(args[0]);
        List<FrameSearcher> searchers = new ArrayList<>();
        StringBuilder zone =
                new StringBuilder("$ORIGIN " + ORIGIN + "\n$TTL 60\n")
                        .append("@ IN SOA ns ops ( " + FIRST_SERIAL + " 1h 1m 1w 30 )\n")
                        .append("  IN NS ns\nns IN A 127.0.0.1\n");
        String[] zones = {"tln-lasna", "tln-ylemiste", "tartu-raadi"};
        for (int i = 0; i < SEARCHERS; i++) {
            String host = "s" + (i + 1);
            FrameSearcher searcher =
                    new FrameSearcher(lab, host + "." + ORIGIN, i % CELLS, 90);
            searchers.add(searcher);
            zone.append("_searcher._tcp SRV 0 0 " + searcher.port + " " + host + "\n");
            zone.append(host + " A 127.0.0.1\n");
            zone.append(host + " TXT \"cell=" + i % CELLS + "\" \"zone=" + zones[i / CELLS]);
            zone.append("\" \"type=std-10\"\n");
        }
        int port = lab.freePort();
        int dnsPort = lab.freePort();
        String store =
                lab.write(
                                "store.json",
                                "{\"node\":\"a\",\"folder\":\""
                                        + lab.folder.resolve("state")
                                        + "\",\"nodes\":{\"a\":\"127.0.0.1:"
                                        + lab.freePort()
                                        + "\"},\"dns\":{\"listen\":\"127.0.0.1:"
                                        + dnsPort
                                        + "\",\"zones\":[{\"origin\":\"tartu.example.org\","
                                        + "\"file\":\""
                                        + lab.write("tartu.zone", zone.toString())
                                        + "\",\"searchers\":true}]}}")
                        .toString();
        String config = lab.config("n1", port, null, Lab.settings()).toString();
        lab.startBroker("n1", Map.of("LB_CONFIG", config, "REELDEAL_STORE", store));
        Clients clients = new Clients(lab);
        if (!clients.awaitReady(port, 30_000)) {
            lab.end(Lab.COULD_NOT_RUN, "the broker was not ready within 30 s");
        }
        Lab.sleep(2_000);
        clients.start(port, 19);
        Lab.sleep(6_000);

        FrameSearcher first = searchers.get(4);
        int firstBefore = first.arrivedBetween(0, lab.now());
        takeOut(lab, dnsPort, first, "s5");
        double firstToldAt = lab.now();
        Lab.sleep(5_000);
        if (lab.trouble) {
            lab.note("--- the operator sets the serial back to 1, in the two steps of RFC 1982");
            setSerial(lab, dnsPort, FIRST_SERIAL + LARGEST_STEP);
            Lab.sleep(3_000);
            setSerial(lab, dnsPort, 1);
        }
        Lab.sleep(2_000);
        FrameSearcher second = searchers.get(6);
        int secondBefore = second.arrivedBetween(0, lab.now());
        takeOut(lab, dnsPort, second, "s7");
        double secondToldAt = lab.now();
        Lab.sleep(15_000);
        int firstAfter = first.arrivedBetween(firstToldAt + GRACE_MS, lab.now());
        int secondAfter = second.arrivedBetween(secondToldAt + GRACE_MS, lab.now());
        lab.operate("zone", "members", "-s", "127.0.0.1:" + dnsPort);
        lab.operate("zone", "show", ORIGIN, "-s", "127.0.0.1:" + dnsPort);
        lab.noteLog("n1", "dns:", "serial", first.name, second.name);
        String counts =
                "from 550 ms after the answer to its update, the searcher taken out first got "
                        + firstAfter
                        + " parts ("
                        + firstBefore
                        + " before), the one taken out after the serial was set back "
                        + secondAfter
                        + " ("
                        + secondBefore
                        + " before); clients: "
                        + clients.outcomes();
        if (firstBefore < 5 || secondBefore < 5 || clients.count("200") < 100) {
            lab.end(Lab.COULD_NOT_RUN, "too little was served: " + counts);
        }
        lab.end(firstAfter + secondAfter > 0 ? Lab.BROKEN : Lab.HELD, counts);
    }

    private static void takeOut(Lab lab, int dnsPort, FrameSearcher searcher, String host)
            throws IOException, InterruptedException {
        lab.note("--- the operator takes " + searcher.name + " out of the zone");
        update(lab, dnsPort, "--delete", "_searcher._tcp SRV 0 0 " + searcher.port + " " + host);
    }

    private static void setSerial(Lab lab, int dnsPort, long serial)
            throws IOException, InterruptedException {
        update(lab, dnsPort, "--add", "@ 60 SOA ns ops " + serial + " 3600 60 604800 30");
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
}
