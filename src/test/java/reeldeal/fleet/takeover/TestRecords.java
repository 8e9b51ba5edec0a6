package reeldeal.fleet.takeover;

import reeldeal.fleet.FleetValues;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.State;

/**
 * Creates records, requests and fleets for the tests of this package; the tested broker is {@code
 * a}.
 */
final class TestRecords {
    /**
     * Searchers drop repeats for 2,500 ms, less 150 ms of clock error; a shard request needs 100
     * ms.
     */
    static final TakeoverPolicy.Window WINDOW = new TakeoverPolicy.Window(2_500, 150, 100);

    private static final String DIGEST = "d";
    private static final String QUERY_CLASS = "bid-mark";

    private TestRecords() {}

    /** Returns an open record of an owner of incarnation 10, first sent at 1,000 ms. */
    static RequestRecord open(String key, String owner, double priorityWeight, long deadlineMs) {
        return record(key, owner, priorityWeight, deadlineMs, RequestRecord.State.OPEN, 0);
    }

    static RequestRecord record(
            String key,
            String owner,
            double priorityWeight,
            long deadlineMs,
            RequestRecord.State state,
            long endedAtMs) {
        return new RequestRecord(
                key,
                DIGEST,
                QUERY_CLASS,
                priorityWeight,
                owner,
                10,
                1_000,
                deadlineMs,
                1,
                state,
                "",
                "b",
                endedAtMs,
                20);
    }

    static KeyedRequest request(long client, String key, boolean recordRequired) {
        return new KeyedRequest(
                client,
                key,
                new KeyedRequest.Content(DIGEST, "b"),
                QUERY_CLASS,
                2,
                5_000,
                recordRequired);
    }

    /** Returns a fleet of the broker {@code a}, of incarnation 10. */
    static FleetView fleet() {
        return new FleetValues().broker("a", "x", State.SERVING).view();
    }

    /** Returns a fleet of the broker {@code a}, and {@code dead}, whose lease has ended. */
    static FleetView fleetWithDeadBroker() {
        return new FleetValues()
                .broker("a", "x", State.SERVING)
                .broker("dead", "x", State.LAPSED)
                .view();
    }
}
