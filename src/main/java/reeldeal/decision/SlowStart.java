package reeldeal.decision;

import reeldeal.decision.DecisionModule.Rules;
import reeldeal.decision.DecisionModule.Settings;

/**
 * Limits the work that is sent to a server that has just started, by a token bucket for each such
 * server. This prevents a server that is warming up from being overloaded, even by very many
 * brokers together.
 *
 * <p>A token is one unit of work: a shard request, or a call's own work if the settings state that
 * a call takes any. The bucket is refilled at this broker's share of the server's present capacity
 * on the ramp, multiplied by the configured overload factor. A server's full capacity is taken to
 * be at least the work that this broker observes one warm server to do. A share of less than one
 * shard request accumulates as a fraction of a token, and the brokers start with different
 * fractions.
 */
final class SlowStart {
    /** Share of the configured budget that is used; the rest covers bursts and other brokers. */
    private static final double BUDGET_SHARE = 0.7;

    /** Time in which the work that a full broker holds is assumed to be done. */
    private static final double FULL_BROKER_WORK_MS = 4000;

    /**
     * Number of queries of the largest size that a broker may hold however small its share of the
     * load is.
     */
    private static final int MIN_QUERIES_HELD = 4;

    /** Time constant of the decay of the completed work, in latency objectives. */
    private static final double DECAY_OBJECTIVES = 2;

    private final Settings settings;
    private final Rules rules;
    private final EventClock clock;
    private final ServerRegistry registry;
    private final QueryTable queries;
    private final RecoveryAdmission recoveryAdmission;
    private final double callUnits;
    private final double decayMs;
    private double completedUnits;
    private double completedUnitsAtMs;
    private double serversCountedAtMs = -1;
    private int readyServers;
    private int warmServers;

    SlowStart(
            Settings settings,
            EventClock clock,
            double latencyObjectiveMs,
            ServerRegistry registry,
            QueryTable queries,
            RecoveryAdmission recoveryAdmission) {
        this.settings = settings;
        this.rules = settings.rules();
        this.clock = clock;
        this.registry = registry;
        this.queries = queries;
        this.recoveryAdmission = recoveryAdmission;
        this.callUnits = settings.layout().callWorkMs() > 0 ? 1 : 0;
        this.decayMs = DECAY_OBJECTIVES * latencyObjectiveMs;
        this.completedUnitsAtMs = clock.now();
    }

    /** Must be called after each change of the registry. */
    void onServersChanged() {
        serversCountedAtMs = -1;
    }

    /** Returns whether a server is still in slow start. */
    boolean isWarmingUp(ServerState server) {
        double startedMs = server.listEntry.startedMs();
        return startedMs > 0 && clock.now() < startedMs + rules.slowStartMs();
    }

    /** Returns how many shard requests a server may be sent now, at most {@code limit}. */
    int allowed(ServerState server, int limit, boolean joinsOpenCall) {
        if (!isWarmingUp(server)) {
            return limit;
        }
        int affordableShardRequests = (int) (tokens(server) - (joinsOpenCall ? 0 : callUnits));
        return Math.max(0, Math.min(limit, affordableShardRequests));
    }

    /** Consumes the tokens for an attempt that is sent. */
    void consume(Attempt attempt) {
        if (isWarmingUp(attempt.server)) {
            attempt.server.slowStartTokens -= units(attempt);
        }
    }

    /** Records the work of an attempt that was answered. */
    void recordCompleted(Attempt attempt) {
        addCompleted(units(attempt));
    }

    /** Returns the time until a server in slow start has tokens for this many shard requests. */
    double delayMs(ServerState server, long shardRequests) {
        double units = (1 + callUnits) * Math.max(1, shardRequests);
        double missingTokens = Math.max(0, units - tokens(server));
        return missingTokens / Math.max(1e-6, tokensPerMs(server));
    }

    private double units(Attempt attempt) {
        return attempt.position == 0 ? 1 + callUnits : 1;
    }

    private double tokens(ServerState server) {
        double now = clock.now();
        double rate = tokensPerMs(server);
        if (server.slowStartTokensAtMs < server.listEntry.startedMs()) {
            server.slowStartTokens = (1 + callUnits) * initialFraction(server);
            server.slowStartTokensAtMs = now;
        }
        server.slowStartTokens += rate * (now - server.slowStartTokensAtMs);
        double capacity = Math.max(1 + callUnits, rate * rules.overloadWindowMs());
        server.slowStartTokens = Math.min(server.slowStartTokens, capacity);
        server.slowStartTokensAtMs = now;
        return server.slowStartTokens;
    }

    /** Returns a pseudo-random fraction from 0 to 1, different for each broker and server. */
    private double initialFraction(ServerState server) {
        long hash = Hashing.mix64(settings.seed() ^ Hashing.mix64(server.id));
        return (hash >>> 11) * 0x1.0p-53;
    }

    private double tokensPerMs(ServerState server) {
        double ageMs = Math.max(0, clock.now() - server.listEntry.startedMs());
        double ramp =
                rules.slowStartCapacity()
                        + (1 - rules.slowStartCapacity())
                                * Math.min(1, ageMs / rules.slowStartMs());
        addCompleted(0);
        countServers();
        double observedCapacity =
                completedUnits / decayMs / Math.max(1, Math.max(warmServers, readyServers / 2));
        return BUDGET_SHARE
                * rules.overloadFactor()
                * ramp
                * Math.max(observedCapacity, configuredCapacityShare());
    }

    /**
     * Returns this broker's share of a server's full capacity, in units per millisecond, derived
     * from the amount of work that the settings allow a broker to hold. It is needed because a
     * broker that has just started has observed no completed work, and all brokers may have started
     * together. Returns 0 if the settings allow no more than a few queries, since such a limit does
     * not reflect the broker's share of the load.
     */
    private double configuredCapacityShare() {
        int maxInFlight = settings.limits().maxInFlight();
        if (maxInFlight == Integer.MAX_VALUE
                || maxInFlight <= MIN_QUERIES_HELD * queries.largestQueryUnits()) {
            return 0;
        }
        return (1 + callUnits)
                * maxInFlight
                / FULL_BROKER_WORK_MS
                / Math.max(1, readyServers)
                * recoveryAdmission.brokerScale();
    }

    private void addCompleted(double units) {
        double elapsedMs = clock.now() - completedUnitsAtMs;
        completedUnitsAtMs = clock.now();
        completedUnits = completedUnits * Math.exp(-elapsedMs / decayMs) + units;
    }

    private void countServers() {
        if (serversCountedAtMs == clock.now()) {
            return;
        }
        serversCountedAtMs = clock.now();
        readyServers = 0;
        warmServers = 0;
        for (ServerState server : registry.servers()) {
            readyServers += server.ready ? 1 : 0;
            warmServers += server.ready && !isWarmingUp(server) ? 1 : 0;
        }
    }
}
