package reeldeal.core;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/**
 * The one place that decides whether something may be sent for a request now, first or again: only
 * while its client waits, its deadline and window last, and its record is this broker's. It also
 * checks afterwards what was sent, and counts violations. Confined to the broker's event loop;
 * times are milliseconds of the broker's clock.
 */
public final class RequestGuard implements SendGuard {
    /** Why an attempt was not written. */
    public enum Refusal {
        /** The request has its final answer, or its client has left. */
        REQUEST_ENDED,
        /** The attempt's deadline or its deduplication window is over. */
        TOO_LATE,
        /** Another broker may own the request's record. */
        NOT_OWNED,
        /** The broker no longer learns which searchers may be used. */
        SUSPENDED
    }

    /** What must never happen. */
    public enum Violation {
        /** An attempt reached the socket too long after its request had ended. */
        SENT_AFTER_END,
        /** An attempt reached the socket too long after its deadline, which it states. */
        SENT_AFTER_DEADLINE,
        /** The time that an attempt states was computed too long before it reached the socket. */
        STATED_TIME_TOO_OLD,
        /** The process ends although a client waits for its answer. */
        UNANSWERED_AT_EXIT
    }

    /** How long after the end of its request an attempt may still reach the socket. */
    private static final double MAX_AFTER_END_MS = 100;

    /** How long after its deadline an attempt may still reach the socket. */
    private static final double MAX_AFTER_DEADLINE_MS = 150;

    /** How long before an attempt reaches the socket the time that it states may be computed. */
    private static final double MAX_STATED_TIME_AGE_MS = 150;

    /** How long the end of a request is remembered for the check of what was sent. */
    private static final double ENDED_RETENTION_MS = 5_000;

    private static final double LOG_INTERVAL_MS = 1_000;

    private final DoubleSupplier clock;
    private final Consumer<String> log;
    private final Map<Long, Request> open = new HashMap<>();

    /** The times at which requests ended, in the order of the ends. */
    private final LinkedHashMap<Long, Double> endedAtMs = new LinkedHashMap<>();

    private final Map<Refusal, Integer> refusals = new EnumMap<>(Refusal.class);
    private final Map<Violation, Integer> violations = new EnumMap<>(Violation.class);
    private Predicate<Effect.Send> isOwned = send -> true;
    private Runnable inputReader = () -> {};
    private double sendUntilMs = Double.POSITIVE_INFINITY;
    private double loggedAtMs = Double.NEGATIVE_INFINITY;

    /** Creates a guard without requests. */
    public RequestGuard(DoubleSupplier clock, Consumer<String> log) {
        this.clock = clock;
        this.log = log;
    }

    /** Sets the check that this broker owns the record of a request, if it runs under one. */
    public void setOwnership(Predicate<Effect.Send> ownership) {
        isOwned = ownership;
    }

    /**
     * Sets the task that reads what clients have sent if that is overdue, so that those that have
     * left are reported to {@link #ended}; run before each decision.
     */
    public void setInputReader(Runnable reader) {
        inputReader = reader;
    }

    /** Refuses all attempts after this time. */
    public void sendOnlyUntil(double timeMs) {
        sendUntilMs = timeMs;
    }

    /** Records that a client waits for the answer to a request. */
    public void opened(Request request) {
        open.put(request.id(), request);
    }

    /** Records that a request has its final answer, or that its client has left. */
    public void ended(long requestId) {
        double now = clock.getAsDouble();
        if (open.remove(requestId) != null) {
            endedAtMs.put(requestId, now);
        }
        Iterator<Double> oldestFirst = endedAtMs.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next() < now - ENDED_RETENTION_MS) {
            oldestFirst.remove();
        }
    }

    @Override
    public boolean maySend(Effect.Send send) {
        Refusal refusal = refusal(send);
        if (refusal != null) {
            refusals.merge(refusal, 1, Integer::sum);
            logLimited("not sent: " + describe(send) + ": " + refusal + ", so far " + refusals);
        }
        return refusal == null;
    }

    private Refusal refusal(Effect.Send send) {
        inputReader.run();
        if (!open.containsKey(send.request().id())) {
            return Refusal.REQUEST_ENDED;
        }
        if (clock.getAsDouble() > sendUntilMs) {
            return Refusal.SUSPENDED;
        }
        if (!send.mayBeWritten(clock.getAsDouble())) {
            return Refusal.TOO_LATE;
        }
        return isOwned.test(send) ? null : Refusal.NOT_OWNED;
    }

    @Override
    public void sent(Effect.Send send, double encodedAtMs) {
        double now = clock.getAsDouble();
        Double ended = endedAtMs.get(send.request().id());
        if (ended != null && now - ended > MAX_AFTER_END_MS) {
            violated(Violation.SENT_AFTER_END, describe(send));
        }
        if (now - encodedAtMs > MAX_STATED_TIME_AGE_MS) {
            violated(Violation.STATED_TIME_TOO_OLD, describe(send));
        }
        if (now - send.deadlineMs() > MAX_AFTER_DEADLINE_MS) {
            violated(Violation.SENT_AFTER_DEADLINE, describe(send));
        }
    }

    /** Checks at the end of the process that no client waits any more. */
    public void checkNothingOpen() {
        for (Request request : open.values()) {
            violated(Violation.UNANSWERED_AT_EXIT, request.name());
        }
    }

    private void violated(Violation violation, String what) {
        violations.merge(violation, 1, Integer::sum);
        log.accept("VIOLATION " + violation + ": " + what + ", so far " + violations);
    }

    /** Returns the requests whose clients wait. */
    public Collection<Request> openRequests() {
        return java.util.Collections.unmodifiableCollection(open.values());
    }

    /** Returns how many attempts were not written, by reason; reasons without any are left out. */
    public Map<Refusal, Integer> refusals() {
        return Map.copyOf(refusals);
    }

    /** Returns the violations so far; kinds without any are left out. */
    public Map<Violation, Integer> violations() {
        return Map.copyOf(violations);
    }

    private static String describe(Effect.Send send) {
        return "attempt "
                + send.attempt()
                + " of "
                + send.request().name()
                + " shard "
                + send.shard();
    }

    private void logLimited(String line) {
        double now = clock.getAsDouble();
        if (now - loggedAtMs >= LOG_INTERVAL_MS) {
            loggedAtMs = now;
            log.accept(line);
        }
    }
}
