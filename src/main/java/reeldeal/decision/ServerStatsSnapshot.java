package reeldeal.decision;

import java.util.Map;
import java.util.TreeMap;

/**
 * Exports one broker's observations of servers, and imports them into a broker that starts later.
 * All methods must be called on the engine's thread.
 */
public final class ServerStatsSnapshot {
    /** Smallest relative latency at which a server that is not ejected is exported. */
    private static final double MIN_EXPORTED_LATENCY = 1.5;

    private ServerStatsSnapshot() {}

    /**
     * The observations of one server.
     *
     * @param ejected whether it is ejected because of failures
     * @param unresponsive whether an attempt failed and no answer has come since that attempt was
     *     sent
     * @param relativeLatency its smoothed latency divided by the typical one; 1 is normal
     */
    public record ServerStats(boolean ejected, boolean unresponsive, double relativeLatency) {}

    /** Returns the observations of ready servers that are ejected or slow, by server id. */
    public static Map<Long, ServerStats> exportStats(DecisionEngine engine) {
        Map<Long, ServerStats> stats = new TreeMap<>();
        for (ServerState server : engine.registry().servers()) {
            ServerHealth health = server.health;
            boolean ejected = health.ejected();
            if (server.ready && (ejected || health.relativeLatency >= MIN_EXPORTED_LATENCY)) {
                ServerStats exported =
                        new ServerStats(ejected, health.unresponsive, health.relativeLatency);
                stats.put(server.id, exported);
            }
        }
        return stats;
    }

    /**
     * Imports another broker's observations of a server into an engine, unless the engine has
     * observed that server itself. An ejected server is due for a probe request, as it would be at
     * the other broker; the imported latency fades like the engine's own observations.
     *
     * @param now time in milliseconds of the engine's clock
     */
    public static void importStats(
            DecisionEngine engine, long server, ServerStats stats, double now) {
        ServerState state = engine.registry().find(server);
        if (state == null
                || !state.health.trusted
                || state.callsInFlight > 0
                || state.health.lastAnswerAtMs > 0) {
            return;
        }
        state.health.restore(stats, now);
    }
}
