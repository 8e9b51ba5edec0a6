package reeldeal.fleet.takeover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** The clients that wait for a record or an outcome, by key. Used on the store's loop. */
final class WaitingClients {

    /**
     * A waiting client; if it has no record to join by {@code joinDeadlineMs}, it is rejected or
     * its request runs without one.
     */
    static final class Client {
        private final KeyedRequest request;
        private final long joinDeadlineMs;
        private int joinedRun;

        Client(KeyedRequest request, long joinDeadlineMs) {
            this.request = request;
            this.joinDeadlineMs = joinDeadlineMs;
        }

        KeyedRequest request() {
            return request;
        }

        boolean isJoinOverdue(long now) {
            return now >= joinDeadlineMs;
        }

        /** Makes this client wait for the outcome of an open record. */
        void join(RequestRecord record) {
            joinedRun = record.runs();
        }

        /**
         * Whether a record has the outcome that this client waits for; a failure counts only if the
         * client has joined a run before.
         */
        boolean isOutcome(RequestRecord record) {
            return switch (record.state()) {
                case DONE, UNKNOWN -> true;
                case FAILED -> joinedRun > 0;
                case OPEN -> false;
            };
        }
    }

    private final Map<String, List<Client>> clients = new HashMap<>();

    void add(Client client) {
        clients.computeIfAbsent(client.request().key(), key -> new ArrayList<>()).add(client);
    }

    boolean isWaitingFor(String key) {
        return clients.containsKey(key);
    }

    /**
     * Returns the request of the client that has waited longest for a key; at least one must wait.
     */
    KeyedRequest first(String key) {
        return clients.get(key).get(0).request();
    }

    /** Removes the clients of a key that need not wait any longer. */
    void removeIf(String key, Predicate<Client> isSettled) {
        List<Client> waiting = clients.get(key);
        if (waiting != null && waiting.removeIf(isSettled) && waiting.isEmpty()) {
            clients.remove(key);
        }
    }

    /** Removes and returns all clients of a key. */
    List<Client> removeAll(String key) {
        List<Client> removed = clients.remove(key);
        return removed == null ? List.of() : removed;
    }

    Set<String> keys() {
        return clients.keySet();
    }

    /** Returns the number of keys that clients wait for. */
    int size() {
        return clients.size();
    }
}
