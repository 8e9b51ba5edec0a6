package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Two of five daemons die at once and come back one after the other. Then a searcher is taken out of
 * the zone through one of them, which answers that this is done. It must get nothing new from that
 * broker.
 */
final class TwoDie {
    private static final int SERVICE_MS = 80;

    /** How long the first of the two is down, and the second. */
    private static final int FIRST_DOWN_MS = 1_000;

    private static final int SECOND_DOWN_MS = 7_000;

    /** The grace of a drain is 500 ms; a change counts as told 6 s later at the latest. */
    private static final int TOLD_MS = 6_000;

    private static final int GRACE_MS = 550;
    private static final int QUERIES = 40;
    private static final int TIME_LEFT_MS = 4_000;

    private TwoDie() {}

    public static void main(String[] args) throws Exception {
        Run.main(args, TwoDie::run);
    }

    private static int run(Run run) throws Exception {
        Group group = new Group(run, List.of("a", "b", "c", "d", "e"), SERVICE_MS, 0, true);
        List<String> followers = new ArrayList<>(group.nodes);
        followers.removeIf(node -> group.daemons.get(node).leads());
        String first = followers.get(0);
        String second = followers.get(1);
        if (run.trouble) {
            group.daemons.get(first).kill();
            group.daemons.get(second).kill();
            Run.sleep(FIRST_DOWN_MS);
            group.start(first);
            Run.sleep(SECOND_DOWN_MS - FIRST_DOWN_MS);
            group.start(second);
        }
        Run.sleep(10_000); // all five run, and nothing is between them
        for (String node : group.nodes) {
            Wire.awaitReady(run, group.ports.get(node), 10_000);
        }
        int port = group.ports.get(first);
        ask(run, port, 0);
        // The searcher that this broker uses most: the one that has had the most parts of its queries.
        int chosen = 0;
        for (int i = 0; i < group.searchers.size(); i++) {
            boolean more =
                    group.searchers.get(i).received.size()
                            > group.searchers.get(chosen).received.size();
            chosen = more ? i : chosen;
        }
        FrameSearcher searcher = group.searchers.get(chosen);
        int before = searcher.received.size();
        int rcode =
                Zone.removeSearcher(
                        group.dnsPorts.get(first), Group.ORIGIN, "s-" + chosen, searcher.port());
        run.note("case", "s-" + chosen + " (" + before + " parts so far) is taken out of the zone"
                + " through " + first + ", which answers with response code " + rcode);
        if (rcode != 0 || before == 0) {
            return Run.COULD_NOT_RUN;
        }
        Run.sleep(TOLD_MS + GRACE_MS);
        int atGrace = searcher.received.size();
        ask(run, port, 1);
        int after = searcher.received.size() - atGrace;
        run.note("case", "later than " + (TOLD_MS + GRACE_MS) + " ms after that, s-" + chosen
                + " gets from " + first + " " + after + " new parts of " + QUERIES + " queries");
        return after > 0 ? Run.BROKEN : Run.HELD;
    }

    /**
     * Asks queries one after the other, of the three classes in about the site's shares. Each needs
     * the segment of shard 1 besides others.
     */
    private static void ask(Run run, int port, int round) throws IOException {
        for (int i = 0; i < QUERIES; i++) {
            String id = String.format("f%07x%08x", round, i);
            String queryClass =
                    i % 8 == 0 ? "audit-report" : i % 4 == 2 ? "bid-mark" : "notice-search";
            int shards = queryClass.equals("bid-mark") ? 1 : queryClass.equals("audit-report") ? 4 : 3;
            List<String> parts = new ArrayList<>();
            for (int shard = 1; shard <= shards; shard++) {
                parts.add("{\"shard\":" + shard + ",\"weight\":" + 1.0 / shards + "}");
            }
            Map<String, String> headers = new HashMap<>();
            headers.put("Host", "b");
            headers.put("X-Correlation-Id", id);
            headers.put("X-Time-Left-Ms", String.valueOf(TIME_LEFT_MS));
            headers.put("Idempotency-Key", "key-" + id);
            Wire.Message answer =
                    Wire.call(
                            port,
                            TIME_LEFT_MS + 1_000,
                            "POST /" + queryClass + " HTTP/1.1",
                            headers,
                            "{\"shards\":[" + String.join(",", parts) + "],\"q\":\"q" + i + "\"}");
            run.note("client", id + " " + queryClass + " gets " + answer.status());
        }
    }
}
