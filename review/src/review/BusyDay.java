package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three daemons with a store and a fleet get keyed requests at the rate of a busy day. None of them
 * may crash.
 */
final class BusyDay {
    private static final int SERVICE_MS = 60;

    /** The length of a value; a body holds at most 64 KiB. */
    private static final int VALUE_LENGTH = 4_096;

    /** Keyed requests a second for each broker; with the 25% of bid-mark some 80 queries a second. */
    private static final int BUSY_PER_BROKER = 20;

    /** The usual rate: 25% of 19 queries a second, for all three brokers together. */
    private static final double USUAL_IN_ALL = 4.75;

    private static final int LOAD_MS = 75_000;
    private static final int TIME_LEFT_MS = 5_000;

    private BusyDay() {}

    public static void main(String[] args) throws Exception {
        Run.main(args, BusyDay::run);
    }

    private static int run(Run run) throws Exception {
        Group group = new Group(run, List.of("a", "b", "c"), SERVICE_MS, VALUE_LENGTH, false);
        double perSecond = run.trouble ? BUSY_PER_BROKER * group.nodes.size() : USUAL_IN_ALL;
        run.note("case", perSecond + " keyed requests a second at the three brokers together");
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        long begin = run.now();
        int sent = 0;
        while (run.now() < begin + LOAD_MS && crashed(group).isEmpty()) {
            String node = group.nodes.get(sent % group.nodes.size());
            int port = group.ports.get(node);
            int number = sent++;
            Thread client = new Thread(() -> ask(run, port, number, answered, unanswered));
            client.start();
            clients.add(client);
            Run.sleep((long) (begin + sent * 1_000 / perSecond) - run.now());
        }
        Run.sleep(3_000);
        List<String> crashed = crashed(group);
        for (Thread client : clients) {
            client.join();
        }
        run.note(
                "case",
                sent + " requests, " + answered + " answered with 200, " + unanswered
                        + " without any answer; daemons that crashed: " + crashed);
        if (answered.get() < 100) {
            return Run.COULD_NOT_RUN;
        }
        if (crashed.isEmpty()) {
            return Run.HELD;
        }
        startAgain(run, group, crashed);
        return Run.BROKEN;
    }

    /** Returns the daemons that have ended although nobody told them to. */
    private static List<String> crashed(Group group) {
        return group.nodes.stream().filter(node -> !group.daemons.get(node).isAlive()).toList();
    }

    /** Starts the crashed daemons again, with no client, and records whether they stay up. */
    private static void startAgain(Run run, Group group, List<String> crashed) throws IOException {
        for (String node : crashed) {
            group.start(node);
        }
        Run.sleep(8_000);
        run.note("case", "8 s after a new start without clients, have crashed: " + crashed(group));
    }

    private static void ask(
            Run run, int port, int number, AtomicInteger answered, AtomicInteger unanswered) {
        String body =
                "{\"shards\":[{\"shard\":" + number % 12 + ",\"weight\":1.0}],\"q\":\"q" + number + "\"}";
        try {
            Wire.Message answer =
                    Wire.call(
                            port,
                            TIME_LEFT_MS + 1_000,
                            "POST /bid-mark HTTP/1.1",
                            Map.of(
                                    "Host",
                                    "b",
                                    "X-Correlation-Id",
                                    String.format("e%015x", number),
                                    "X-Time-Left-Ms",
                                    String.valueOf(TIME_LEFT_MS),
                                    "Idempotency-Key",
                                    String.format("%032x", number)),
                            body);
            (answer.status() == 200 ? answered : new AtomicInteger()).incrementAndGet();
            if (answer.status() != 200 || number % 100 == 0) {
                run.note("client", "request " + number + " gets " + answer.status());
            }
        } catch (IOException e) {
            unanswered.incrementAndGet();
            run.note("client", "request " + number + " gets no answer: " + e);
        }
    }
}
