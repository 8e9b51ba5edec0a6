package reeldeal.fleet.takeover;

import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetView;

/**
 * Builds the writes with which a broker changes its own records. The simulation overrides the
 * protected methods with broken rules, to check that it detects them.
 */
public class RecordWrites {

    /**
     * Returns the write that makes a record, which expects that its key has none and that its owner
     * is registered with the record's incarnation.
     */
    protected ConditionalWrite create(RequestRecord record) {
        return ConditionalWrite.withReason("work: records " + record.key())
                .expect(RequestRecord.storeKey(record.key()), 0)
                .expect(FleetView.REGISTRATION + record.owner(), record.incarnation())
                .put(RequestRecord.storeKey(record.key()), record.toAttributes());
    }

    /** Returns the write that ends a request, which expects its record to be unchanged. */
    protected ConditionalWrite end(
            RequestRecord record, RequestRecord.State state, String outcome, long now) {
        return replace(record, record.ended(state, outcome, now));
    }

    ConditionalWrite replace(RequestRecord current, RequestRecord replacement) {
        return ConditionalWrite.withReason(
                        "work: record of "
                                + current.key()
                                + " becomes "
                                + replacement.state().stored())
                .expect(RequestRecord.storeKey(current.key()), current.version())
                .put(RequestRecord.storeKey(current.key()), replacement.toAttributes());
    }

    /**
     * Returns the write that deletes the record of a request none of whose shard requests was sent.
     */
    ConditionalWrite withdraw(RequestRecord record) {
        return ConditionalWrite.withReason(
                        "work: withdraws the record of "
                                + record.key()
                                + ", no shard request was sent")
                .expect(RequestRecord.storeKey(record.key()), record.version())
                .put(RequestRecord.storeKey(record.key()), null);
    }
}
