package reeldeal.decision;

import java.util.Set;
import java.util.TreeSet;

/** Lists the servers that a broker has ejected. */
public final class EjectionView {
    private EjectionView() {}

    /**
     * Returns the ids of the servers that are listed as ready but that the engine has ejected
     * because of failures. Must be called on the engine's thread.
     */
    public static Set<Long> ejectedServerIds(DecisionEngine engine) {
        Set<Long> ejected = new TreeSet<>();
        for (ServerState server : engine.registry().servers()) {
            if (server.ready && server.health.ejected()) {
                ejected.add(server.id);
            }
        }
        return ejected;
    }
}
