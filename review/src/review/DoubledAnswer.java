package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A searcher that serves {@code _msearch} writes one good answer twice. Every value that a client
 * gets must be the one made for its own query and shard.
 */
final class DoubledAnswer {
    private static final int SEARCHERS = 12;
    private static final int SHARDS = 12;
    private static final int SERVICE_MS = 80;
    private static final int QUERIES = 90;
    private static final int INTERVAL_MS = 150;
    private static final int TIME_LEFT_MS = 4_000;
    private static final int DOUBLED_ANSWER = 10;
    private static final long SEED = 38;
    private static final Pattern HIT =
            Pattern.compile("\\{\"shard\":([0-9]+),\"doc\":\"([^\"]*)\"\\}");

    private DoubledAnswer() {}

    public static void main(String[] args) throws Exception {
        Run.main(args, DoubledAnswer::run);
    }

    private static int run(Run run) throws Exception {
        List<String> entries = new ArrayList<>();
        MsearchSearcher doubling = null;
        for (int i = 0; i < SEARCHERS; i++) {
            // The searchers of the broker's zone answer in OpenSearch's form, the others in frames.
            int cell = i % Settings.CELLS;
            int zone = i / Settings.CELLS;
            String name = "s-" + i;
            int port;
            if (zone == 0) {
                int doubled = run.trouble && cell == 1 ? DOUBLED_ANSWER : 0;
                MsearchSearcher searcher = new MsearchSearcher(run, name, SERVICE_MS, doubled);
                doubling = cell == 1 ? searcher : doubling;
                port = searcher.port();
            } else {
                port = new FrameSearcher(run, name, SERVICE_MS, new Effects()).port();
            }
            String kind = zone == 0 ? "std-08" : "std-10";
            entries.add(Discovery.entry(name, port, Settings.zone(zone), kind, cell));
        }
        Discovery discovery = new Discovery(entries);
        int port = Run.freePort();
        String config =
                run.write("n0.json", Settings.broker("n0", port, discovery.port(), 0)).toString();
        String search =
                "{\"listen\": \"127.0.0.1:"
                        + Run.freePort()
                        + "\", \"searcher_kinds\": [\"std-08\"], \"indices\": {\"notices\":"
                        + " {\"class\": \"notice-search\", \"segments\": {\"2024\": 0}}}}";
        run.start(
                "n0",
                Map.of(
                        "LB_CONFIG",
                        config,
                        "REELDEAL_SEARCH",
                        run.write("search.json", search).toString()));
        Wire.awaitReady(run, port, 30_000);
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(SEED);
        for (int i = 0; i < QUERIES; i++) {
            int shards = 3 + random.nextInt(3);
            int first = random.nextInt(SHARDS - shards + 1);
            int number = i;
            Thread client =
                    new Thread(() -> query(run, port, number, first, shards, answered, foreign));
            client.start();
            clients.add(client);
            Run.sleep(INTERVAL_MS);
        }
        for (Thread client : clients) {
            client.join();
        }
        run.note(
                "case",
                QUERIES
                        + " queries, "
                        + answered
                        + " answered with 200, of these "
                        + foreign
                        + " with a value that was made for another query; the searcher s-1 gave "
                        + doubling.answers()
                        + " answers");
        if (answered.get() < QUERIES / 2 || doubling.answers() < 2 * DOUBLED_ANSWER) {
            run.note("case", "too few queries were answered, or too few by s-1, to judge");
            return Run.COULD_NOT_RUN;
        }
        return foreign.get() > 0 ? Run.BROKEN : Run.HELD;
    }

    private static void query(
            Run run,
            int port,
            int number,
            int first,
            int shards,
            AtomicInteger answered,
            AtomicInteger foreign) {
        String text = String.format("q%06x", number * 7919);
        List<String> parts = new ArrayList<>();
        for (int shard = first; shard < first + shards; shard++) {
            parts.add("{\"shard\":" + shard + ",\"weight\":" + 1.0 / shards + ",\"cost\":80000}");
        }
        String body = "{\"shards\":[" + String.join(",", parts) + "],\"q\":\"" + text + "\"}";
        String id = String.format("c%015x", number);
        run.note("client", "sends " + id + " " + text + " for shards from " + first);
        try {
            Wire.Message answer =
                    Wire.call(
                            port,
                            TIME_LEFT_MS + 1_000,
                            "POST /notice-search HTTP/1.1",
                            Map.of(
                                    "Host",
                                    "b",
                                    "X-Correlation-Id",
                                    id,
                                    "X-Time-Left-Ms",
                                    String.valueOf(TIME_LEFT_MS)),
                            body);
            run.note("client", "gets for " + id + " " + answer.status() + " " + answer.body().trim());
            if (answer.status() != 200) {
                return;
            }
            answered.incrementAndGet();
            Matcher hit = HIT.matcher(answer.body());
            boolean wrong = false;
            while (hit.find()) {
                String made = FrameSearcher.value(text, Integer.parseInt(hit.group(1)));
                if (!made.equals(hit.group(2))) {
                    wrong = true;
                    run.note(
                            "client",
                            "FOREIGN: "
                                    + id
                                    + " got for shard "
                                    + hit.group(1)
                                    + " "
                                    + hit.group(2)
                                    + ", made for it was "
                                    + made);
                }
            }
            foreign.addAndGet(wrong ? 1 : 0);
        } catch (IOException e) {
            run.note("client", "no answer for " + id + ": " + e);
        }
    }
}
