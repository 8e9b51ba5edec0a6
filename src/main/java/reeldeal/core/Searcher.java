package reeldeal.core;

import reeldeal.decision.DecisionModule.EndpointState;

/**
 * One searcher as discovery lists it. Immutable.
 *
 * @param name stable over restarts of its process
 * @param address {@code host:port}; empty where it is removed
 * @param zone name of its zone
 * @param kind name of its kind; "" for the default one
 * @param cell number of the cell whose shards it holds, from 0
 * @param startedMs Unix time in milliseconds at which its process started; 0 for long ago
 * @param size relative capacity
 * @param state whether it may get work
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

    /** The same searcher with another start. */
    Searcher withStart(double newStartedMs) {
        return new Searcher(name, address, zone, kind, cell, newStartedMs, size, state);
    }
}
