package reeldeal.fleet.disruption;

/**
 * A searcher in the leader's endpoint list, before the drains of the fleet are applied.
 *
 * @param cell the cell whose shards the searcher holds
 * @param startedAtMs when its process started, Unix ms
 * @param ready whether it is listed as accepting requests
 * @param warm whether it has finished its slow start
 * @param ejected whether most brokers have ejected it as an outlier
 */
public record ObservedSearcher(
        String name,
        String zone,
        String kind,
        int cell,
        long startedAtMs,
        boolean ready,
        boolean warm,
        boolean ejected) {
    /** Returns whether it accepts requests: listed as ready and not ejected. */
    boolean isServing() {
        return ready && !ejected;
    }

    /** Returns a copy of this searcher that is ejected or not. */
    public ObservedSearcher withEjected(boolean isEjected) {
        return new ObservedSearcher(name, zone, kind, cell, startedAtMs, ready, warm, isEjected);
    }
}
