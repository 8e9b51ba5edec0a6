package reeldeal.faultinjection.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The oracle of the soak: knows every request of every client and every attempt that a searcher
 * received, and records the violations of the protocol's rules. Thread-safe. Times are nanoseconds
 * of {@link System#nanoTime}.
 */
final class RequestLedger {
    /** How much longer each of the protocol's time limits is on sockets, ms. */
    private static final long SOCKET_SLACK_MS = 50;

    /** The time after which an attempt for a client that left is a violation, ms. */
    private static final long AFTER_CLOSE_MS = 100 + SOCKET_SLACK_MS;

    /** How much more than the client has left may be told to a searcher, ms. */
    private static final long DEADLINE_SLACK_MS = 150;

    /** How late a final answer may come, ms after the client's time. */
    private static final long LATE_ANSWER_MS = 500 + SOCKET_SLACK_MS;

    private static final int MAX_REPORTED = 200;

    /** Separates the client's name of a request from the number of a later run. */
    private static final char RUN_SEPARATOR = '~';

    /** The end of a request whose broker was killed before it had to be answered. */
    static final String KILLED = "killed";

    /** One request of a client. */
    static final class Request {
        final String name;
        final String broker;
        final String queryClass;
        final String text;
        final String key;
        final List<Integer> shards;
        final int timeLeftMs;
        volatile long sentAt; // when its last byte was about to be written
        volatile long writtenAt; // when the client's write had returned; 0 before
        volatile long endedAt; // when the client had its answer or had closed; 0 before
        volatile String end = "open";
        final AtomicInteger attempts = new AtomicInteger();
        volatile long firstAttemptAt;

        Request(
                String name,
                String broker,
                String queryClass,
                String text,
                String key,
                List<Integer> shards,
                int timeLeftMs) {
            this.name = name;
            this.broker = broker;
            this.queryClass = queryClass;
            this.text = text;
            this.key = key;
            this.shards = shards;
            this.timeLeftMs = timeLeftMs;
        }

        /** Returns the nanoTime from which the client's time counts: its write has returned. */
        long timeCountsFrom(long now) {
            return writtenAt == 0 ? now : writtenAt;
        }

        /** Returns the nanoTime from which the missing final answer is a violation. */
        long lostAt(long now) {
            return timeCountsFrom(now) + (timeLeftMs + LATE_ANSWER_MS) * 1_000_000L;
        }
    }

    /** What a searcher has read from one connection of a broker, up to the end of an attempt. */
    record Received(int brokerPort, long bytes) {}

    private final Map<String, Request> requests = new ConcurrentHashMap<>();
    private final Map<String, SyscallFaults> faultsByBroker = new ConcurrentHashMap<>();
    private final Map<String, Long> firstRunByKey = new ConcurrentHashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> counts = new TreeMap<>();
    private final StallMonitor stalls;
    private final DrainNotices drains;
    private final long startedAt = System.nanoTime();
    private final long deduplicationWindowMs;

    RequestLedger(StallMonitor stalls, DrainNotices drains, long deduplicationWindowMs) {
        this.stalls = stalls;
        this.drains = drains;
        this.deduplicationWindowMs = deduplicationWindowMs;
    }

    /** Adds a request whose last byte is about to be written. */
    void begin(Request request) {
        request.sentAt = System.nanoTime();
        requests.put(request.name, request);
        count("requests");
    }

    /** Records that the system has taken the last byte of a request. */
    void written(Request request) {
        request.writtenAt = System.nanoTime();
    }

    /** Sets the faults of a broker, which tell when it wrote an attempt. */
    void observe(String broker, SyscallFaults faults) {
        faultsByBroker.put(broker, faults);
    }

    /** Returns when a broker wrote the last of these bytes, at the latest. */
    private long writtenAt(Request request, Received received) {
        long now = System.nanoTime();
        SyscallFaults faults = faultsByBroker.get(request.broker);
        long written =
                faults == null ? 0 : faults.writtenAtNanos(received.brokerPort(), received.bytes());
        return written >= request.sentAt && written < now ? written : now;
    }

    /** Records an attempt that a searcher has received, with the deadline that it was told, ms. */
    void attempt(String name, int shard, long toldMs, String searcher, Received received) {
        boolean isTakenOver = name.indexOf(RUN_SEPARATOR) > 0;
        Request request =
                requests.get(isTakenOver ? name.substring(0, name.indexOf(RUN_SEPARATOR)) : name);
        count(isTakenOver ? "attempts of later runs" : "attempts");
        if (request == null) {
            violation("void", "searcher " + searcher + " got unknown request " + name);
            return;
        }
        long now = writtenAt(request, received);
        request.attempts.incrementAndGet();
        if (request.firstAttemptAt == 0) {
            request.firstAttemptAt = now;
        }
        if (!request.shards.contains(shard)) {
            violation("void", describe(request) + ": shard " + shard + " was not asked for");
        }
        if (stalls.stalledSince(request.endedAt == 0 ? request.sentAt : request.endedAt)) {
            count("attempts not judged, harness stalled");
            return;
        }
        if (isTakenOver && request.end.equals(KILLED)) {
            return; // its client did not leave: its broker was killed, and another took it over
        }
        long endedAt = request.endedAt;
        if (endedAt != 0 && now - endedAt > AFTER_CLOSE_MS * 1_000_000L) {
            violation(
                    "lost",
                    describe(request)
                            + ": attempt "
                            + name
                            + " "
                            + (now - endedAt) / 1_000_000
                            + " ms after its end");
        }
        long drainedMs = isTakenOver ? 0 : drains.msAfterGrace(request.broker, searcher, now);
        if (drainedMs > SOCKET_SLACK_MS) {
            violation(
                    "drain",
                    describe(request)
                            + ": attempt at "
                            + searcher
                            + ", "
                            + drainedMs
                            + " ms after the grace");
        }
        long leftMs = request.timeLeftMs - (now - request.timeCountsFrom(now)) / 1_000_000;
        if (toldMs > Math.max(0, leftMs) + DEADLINE_SLACK_MS) {
            violation(
                    "deadline",
                    describe(request)
                            + ": told "
                            + toldMs
                            + " ms, client has "
                            + leftMs
                            + " ms left");
        }
    }

    /** Records the run of a keyed shard request; returns whether it is not a repeat. */
    boolean runOnce(String key, int shard) {
        long now = System.nanoTime();
        Long first = firstRunByKey.putIfAbsent(key + "/" + shard, now);
        if (first == null) {
            return true;
        }
        if (now - first > deduplicationWindowMs * 1_000_000L) {
            violation(
                    "duplicate", "key " + key + " shard " + shard + " ran again after the window");
        }
        return false;
    }

    /** Records the final answer of a request. */
    void answered(Request request, int status) {
        long now = System.nanoTime();
        request.endedAt = now;
        request.end = "status " + status;
        count("status " + status);
        if (now > request.lostAt(now) && !stalls.stalledSince(request.sentAt)) {
            violation("lost", describe(request) + ": answered late");
        }
    }

    /** Records that the client closed the connection of an open request. */
    void left(Request request) {
        request.endedAt = System.nanoTime();
        request.end = "left";
        count("left");
    }

    /** Records that a request got no answer and that this is no violation. */
    void excused(Request request, String why) {
        request.endedAt = System.nanoTime();
        request.end = why;
        count(why);
    }

    /** Records that a request got no final answer. */
    void lost(Request request, String why) {
        request.endedAt = System.nanoTime();
        request.end = why;
        violation("lost", describe(request) + ": " + why);
    }

    /** Records that a broker's own check found a violation. */
    void foundByGuard(String broker, String line) {
        violation("guard", broker + ": " + line + "; " + stalls.describeLatest());
    }

    String describe(Request request) {
        return String.format(
                "%s %s at %s, %d ms, sent %d to %d ms, %d attempts, %s",
                request.queryClass,
                request.name,
                request.broker,
                request.timeLeftMs,
                (request.sentAt - startedAt) / 1_000_000,
                (request.writtenAt - startedAt) / 1_000_000,
                request.attempts.get(),
                request.end);
    }

    synchronized void violation(String rule, String text) {
        counts.merge("broken: " + rule, 1, Integer::sum);
        if (violations.size() < MAX_REPORTED) {
            long atMs = (System.nanoTime() - startedAt) / 1_000_000;
            violations.add(atMs + " ms " + rule + ": " + text);
        }
    }

    synchronized void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    synchronized Map<String, Integer> counts() {
        return new TreeMap<>(counts);
    }
}
