package reeldeal.core;

import reeldeal.decision.DecisionModule.EndpointState;

/**
 * One searcher as discovery lists it. Immutable.
 *
 * @param name name of the searcher, which stays the same when its process restarts
 * @param address {@code host:port}; empty if the searcher is removed
 * @param zone name of the searcher's zone
 * @param kind name of the searcher's kind; "" for the default kind
 * @param cell number of the cell whose shards the searcher holds, from 0
 * @param startedMs start of the searcher's process, Unix time in milliseconds; 0 stands for long
 *     ago
 * @param size relative capacity
 * @param state whether the searcher may get shard requests
 */
public record Searcher(
        String name,
        String address,
        String zone,
        String kind,
        int cell,
        double startedMs,
        double size,
        EndpointState state) {

    /** Returns this searcher with another start time. */
    Searcher withStart(double newStartedMs) {
        return new Searcher(name, address, zone, kind, cell, newStartedMs, size, state);
    }
}
