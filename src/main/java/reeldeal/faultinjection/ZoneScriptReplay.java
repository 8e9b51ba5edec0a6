package reeldeal.faultinjection;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Replays a script of zone updates against a broker in a process of its own, with stand-in
 * searchers and a steady load of queries, and checks the history. Each line of a script is a step:
 *
 * <ul>
 *   <li>{@code searchers N} starts the searchers, the processes and the load
 *   <li>{@code primary} sends updates to another process, the zone's primary, which the broker
 *       follows
 *   <li>{@code repeat N} repeats the lines up to {@code end}; {@code $i} in them is the number of
 *       the round, which starts again at 1 after the number of searchers
 *   <li>{@code update ACTION; ACTION} sends an update, with the actions {@code add NAME TTL TYPE
 *       DATA} and {@code del NAME [TYPE [DATA]]}; {@code PORT:3} stands for the third searcher's
 *       port
 *   <li>{@code drained NAME} states that the last update drained a searcher: from 500 ms after its
 *       answer no shard request may reach the searcher, until {@code back NAME}
 *   <li>{@code wait MS} waits
 *   <li>{@code served NAME} expects a shard request at the searcher within 10 s
 * </ul>
 */
public final class ZoneScriptReplay implements AutoCloseable {
    private static final String ORIGIN = "tartu.example.org.";
    private static final int CELLS = 4;
    private static final int CLIENTS = 16;
    private static final int QUERIES_PER_SECOND = 240;

    /** Long enough that several requests are in flight at once and each searcher gets its share. */
    private static final int SERVICE_MS = 40;

    private static final int START_TIMEOUT_MS = 60_000;
    private static final int SERVED_TIMEOUT_MS = 10_000;

    private final Path folder;
    private final Path jar;
    private final History history;
    private final PortRange ports = new PortRange(6);
    private final List<FakeSearcher> searchers = new ArrayList<>();
    private final Map<String, Long> lastRequestAt = new ConcurrentHashMap<>();
    private final List<BrokerProcess> processes = new ArrayList<>();
    private ZoneClient client;
    private LoadGenerator load;
    private boolean throughPrimary;
    private long updateAnsweredAt;

    /**
     * Creates a replay.
     *
     * @param folder where the history and the files of the processes are written
     * @param jar the program, or null for this JVM's own class path
     */
    public ZoneScriptReplay(Path folder, Path jar) throws IOException {
        this.folder = folder;
        this.jar = jar;
        Files.createDirectories(folder);
        history = new History(folder.resolve("history.txt"));
    }

    /** Plays a script to its end, and checks the history. */
    public ScenarioRunner.Result play(List<String> script) throws Exception {
        playSteps(script, 0, script.size(), "");
        load.close();
        history.close();
        InvariantChecker.Verdict verdict =
                InvariantChecker.check(History.read(folder.resolve("history.txt")));
        return new ScenarioRunner.Result(verdict.violations(), verdict.figures(), folder);
    }

    private void playSteps(List<String> script, int from, int to, String round) throws Exception {
        for (int i = from; i < to; i++) {
            String[] words = script.get(i).trim().replace("$i", round).split(" ", 2);
            String rest = words.length > 1 ? words[1].trim() : "";
            switch (words[0]) {
                case "", "#" -> {}
                case "searchers" -> startProcesses(Integer.parseInt(rest));
                case "primary" -> throughPrimary = true;
                case "repeat" -> {
                    int end = i + 1;
                    while (!script.get(end).trim().equals("end")) {
                        end++;
                    }
                    for (int repetition = 1; repetition <= Integer.parseInt(rest); repetition++) {
                        playSteps(
                                script,
                                i + 1,
                                end,
                                String.valueOf(1 + (repetition - 1) % searchers.size()));
                    }
                    i = end;
                }
                case "update" -> update(rest);
                case "drained" -> history.add(updateAnsweredAt, rest, "drained", "");
                case "back" -> history.add(rest, "undrained", "");
                case "wait" -> Thread.sleep(Long.parseLong(rest));
                case "served" -> {
                    long since = history.elapsedMs();
                    await(
                            SERVED_TIMEOUT_MS,
                            rest + " receives a shard request",
                            () -> lastRequestAt.getOrDefault(rest, -1L) >= since);
                }
                default ->
                        throw new IllegalArgumentException(
                                "line " + (i + 1) + ": unknown step: " + words[0]);
            }
        }
    }

    private interface Condition {
        boolean isMet() throws Exception;
    }

    private void await(long timeoutMs, String description, Condition condition) throws Exception {
        long end = history.elapsedMs() + timeoutMs;
        while (!condition.isMet()) {
            if (history.elapsedMs() > end) {
                history.add(
                        "drill",
                        "broken",
                        "condition not met within " + timeoutMs + " ms: " + description);
                return;
            }
            Thread.sleep(5);
        }
    }

    private void update(String actions) throws IOException {
        String withPorts = actions;
        for (int i = searchers.size(); i > 0; i--) {
            withPorts = withPorts.replace("PORT:" + i + " ", searchers.get(i - 1).port() + " ");
        }
        client.send(ZoneClient.update(ORIGIN, List.of(withPorts.split(";"))));
        client.read();
        updateAnsweredAt = history.elapsedMs();
    }

    private void startProcesses(int count) throws Exception {
        StringBuilder zone =
                new StringBuilder("$TTL 60\n@ SOA ns ops 1 3600 1 86400 30\n@ NS ns\n");
        for (int i = 1; i <= count; i++) {
            String name = "s" + i;
            FakeSearcher searcher =
                    new FakeSearcher(
                            SERVICE_MS,
                            shardRequest -> {
                                lastRequestAt.put(name, history.elapsedMs());
                                history.add(name, "part", shardRequest);
                            });
            searchers.add(searcher);
            zone.append("_searcher._tcp SRV 0 0 ")
                    .append(searcher.port())
                    .append(' ')
                    .append(name)
                    .append('\n')
                    .append(name)
                    .append(" A 127.0.0.1\n")
                    .append(name)
                    .append(" TXT cell=")
                    .append((i - 1) % CELLS)
                    .append(" zone=a\n");
        }
        String file =
                "\"file\":\"" + Files.writeString(folder.resolve("zone"), zone.toString()) + "\"";
        int[] dnsPorts = {ports.ports().get(0), ports.ports().get(1)};
        String brokerZone =
                throughPrimary
                        ? "\"primaries\":[{\"address\":\"127.0.0.1:" + dnsPorts[1] + "\"}]"
                        : file;
        if (throughPrimary) {
            processes.add(
                    newProcess(
                            "p",
                            1,
                            file
                                    + ",\"notify\":[{\"address\":\"127.0.0.1:"
                                    + dnsPorts[0]
                                    + "\"}]"));
        }
        processes.add(newProcess("b", 0, brokerZone));
        for (BrokerProcess process : processes) {
            process.start();
        }
        BrokerProcess queriedBroker = processes.get(processes.size() - 1);
        await(
                START_TIMEOUT_MS,
                "all brokers serve",
                () -> processes.stream().allMatch(BrokerProcess::isServing));
        client = new ZoneClient(processes.get(0).dnsPort);
        load =
                new LoadGenerator(
                        List.of(queriedBroker), CELLS * 3, QUERIES_PER_SECOND, CLIENTS, history);
        await(
                START_TIMEOUT_MS,
                "half of the searchers receive shard requests",
                () -> lastRequestAt.size() * 2 >= count);
    }

    private BrokerProcess newProcess(String name, int index, String zoneSource) throws IOException {
        int dnsPort = ports.ports().get(index);
        int storePort = ports.ports().get(2 + index);
        int platformPort = ports.ports().get(4 + index);
        Path file =
                Files.writeString(
                        folder.resolve(name + ".json"),
                        "{\"node\":\""
                                + name
                                + "\",\"folder\":\""
                                + folder.resolve(name)
                                + "\",\"nodes\":{\""
                                + name
                                + "\":\"127.0.0.1:"
                                + storePort
                                + "\"},\"dns\":{\"listen\":\"127.0.0.1:"
                                + dnsPort
                                + "\",\"idle_ms\":600000,\"zones\":[{\"origin\":\""
                                + ORIGIN
                                + "\",\"searchers\":true,"
                                + zoneSource
                                + "}],\"members\":{\"flap_limit\":100000}}}");
        Path config = folder.resolve("broker.json");
        try (InputStream in = ZoneScriptReplay.class.getResourceAsStream("broker.json")) {
            // One cell holds each shard, so that every listed searcher is asked.
            Files.writeString(
                    config,
                    new String(in.readAllBytes(), StandardCharsets.UTF_8)
                            .replace("\"InARow\": 3", "\"InARow\": 1"));
        }
        return new BrokerProcess(
                name,
                platformPort,
                storePort,
                dnsPort,
                BrokerProcess.commandFor(jar),
                Map.of(
                        "LB_CONFIG",
                        config.toString(),
                        "LB_NAME",
                        name,
                        "LB_LISTEN",
                        "127.0.0.1:" + platformPort,
                        "REELDEAL_STORE",
                        file.toString()),
                history);
    }

    @Override
    public void close() throws Exception {
        if (client != null) {
            client.close();
        }
        for (BrokerProcess process : processes) {
            process.close();
        }
        for (FakeSearcher searcher : searchers) {
            searcher.close();
        }
        ports.close();
        history.close();
    }
}
