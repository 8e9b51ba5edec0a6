package review;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned restart of one of three daemons with a store and a fleet: SIGTERM, and SIGKILL after the
 * longest deadline (counted as 3 s) and 0.7 s, with 50 ms on top. No query may be lost.
 */
final class PlannedRestart {
    private static final int SERVICE_MS = 200;
    private static final int CLIENTS = 4;
    private static final int TIME_LEFT_MS = 4_000;
    private static final int KILL_AFTER_MS = 3_750;

    /** Requests that came earlier than this after SIGTERM are no loss (PROTOCOL, Figures). */
    private static final int COUNTS_FROM_MS = 700;

    private final Run run;
    private final Group group;
    private final AtomicBoolean stop = new AtomicBoolean();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final List<String> unanswered = new ArrayList<>();
    private volatile long signalledAt = Long.MAX_VALUE / 2;

    private PlannedRestart(Run run) throws IOException {
        this.run = run;
        group = new Group(run, SERVICE_MS, 0);
    }

    public static void main(String[] args) throws Exception {
        Run.main(args, run -> new PlannedRestart(run).play());
    }

    private int play() throws Exception {
        // Every broker is restarted in its turn; this is the turn of one that follows.
        String node =
                Group.NODES.stream()
                        .filter(name -> !group.daemons.get(name).leads())
                        .findFirst()
                        .orElseThrow();
        int port = group.ports.get(node);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Thread client = new Thread(() -> client(port));
            client.start();
            clients.add(client);
        }
        Run.sleep(4_000);
        if (run.trouble) {
            restart(group.daemons.get(node));
        } else {
            Run.sleep(KILL_AFTER_MS);
        }
        Run.sleep(500);
        stop.set(true);
        for (Thread client : clients) {
            client.join();
        }
        run.note(
                "case",
                answered + " requests were answered, " + unanswered.size() + " lost: " + unanswered);
        if (answered.get() < 20) {
            return Run.COULD_NOT_RUN;
        }
        return unanswered.isEmpty() ? Run.HELD : Run.BROKEN;
    }

    private void restart(Run.Daemon daemon) throws IOException {
        daemon.signal("TERM");
        signalledAt = run.now();
        while (daemon.isAlive() && run.now() < signalledAt + KILL_AFTER_MS) {
            Run.sleep(5);
        }
        long after = run.now() - signalledAt;
        run.note(
                "case",
                "the daemon " + (daemon.isAlive() ? "still runs " : "ended ") + after
                        + " ms after SIGTERM");
        daemon.kill();
    }

    /**
     * Asks again and again on one connection as long as it stays open, and opens new ones up to 0.3
     * s after SIGTERM.
     */
    private void client(int port) {
        while (!stop.get() && run.now() < signalledAt + 300) {
            try (Socket socket = Wire.connect(port)) {
                socket.setSoTimeout(TIME_LEFT_MS + 1_000);
                boolean open = true;
                while (open && !stop.get()) {
                    open = ask(socket);
                }
            } catch (IOException e) {
                Run.sleep(20); // refused: the broker is not there
            }
        }
    }

    /** Returns whether the connection is still open. */
    private boolean ask(Socket socket) {
        int number = ids.incrementAndGet();
        String id = String.format("d%015x", number);
        int shard = number % 10;
        String body =
                String.format(
                        "{\"shards\":[{\"shard\":%d,\"weight\":0.34},{\"shard\":%d,\"weight\":0.33},"
                                + "{\"shard\":%d,\"weight\":0.33}],\"q\":\"q%d\"}",
                        shard, shard + 1, shard + 2, number);
        long sentAt = Long.MAX_VALUE;
        try {
            socket.getOutputStream()
                    .write(
                            Wire.message(
                                    "POST /notice-search HTTP/1.1",
                                    Map.of(
                                            "Host",
                                            "b",
                                            "X-Correlation-Id",
                                            id,
                                            "X-Time-Left-Ms",
                                            String.valueOf(TIME_LEFT_MS)),
                                    body));
            sentAt = run.now();
            Wire.Message answer = Wire.read(socket.getInputStream());
            answered.incrementAndGet();
            run.note("client", id + " sent at " + sentAt + " gets " + answer.status());
            return !"close".equals(answer.headers().get("connection"));
        } catch (IOException e) {
            boolean heard =
                    group.searchers.stream()
                            .anyMatch(s -> s.received.stream().anyMatch(p -> p.startsWith(id)));
            long afterSignal = sentAt - signalledAt;
            run.note(
                    "client",
                    id + " sent at " + sentAt + ", " + afterSignal + " ms after SIGTERM, gets no"
                            + " answer (" + e + "); a searcher had a part of it: " + heard);
            // Lost only if the broker had taken it: it had sent a part of it to a searcher.
            if (heard && sentAt != Long.MAX_VALUE && afterSignal > COUNTS_FROM_MS) {
                synchronized (unanswered) {
                    unanswered.add(id);
                }
            }
            return false;
        }
    }
}
