package reeldeal.fleet.takeover;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import reeldeal.fleet.FormAttributes;
import reeldeal.fleet.StoredIdentifier;

/**
 * The stored record of a keyed request. Immutable.
 *
 * @param key the query class and the client's idempotency key
 * @param digest the digest of the request's body; the same key with another body is another request
 * @param queryClass the query class, which determines whether the request may be run again
 * @param priorityWeight the weight of the query class, for the order of takeovers
 * @param owner the broker that runs the request
 * @param incarnation the owner's incarnation, the fencing token of its writes and shard requests
 * @param firstSentAtMs Unix ms before which no shard request was sent
 * @param deadlineMs Unix ms at which the client stops waiting
 * @param runs the number of the current run: 1 at first, one more for each takeover and for each
 *     restart for a client that sent the request again
 * @param outcome the outcome from which the client's reply is decoded, "" while the record is open
 * @param body the encoded request, from which another broker can run it, "" once the record has
 *     ended
 * @param endedAtMs Unix ms at which the request ended, 0 while the record is open
 * @param version the version of the record's last write
 */
public record RequestRecord(
        String key,
        String digest,
        String queryClass,
        double priorityWeight,
        String owner,
        long incarnation,
        long firstSentAtMs,
        long deadlineMs,
        int runs,
        State state,
        String outcome,
        String body,
        long endedAtMs,
        long version) {
    /** The prefix of the store's keys of all records. */
    public static final String ROOT = "work/";

    /**
     * The state of a record. DONE and UNKNOWN are final; UNKNOWN means that the request may have
     * run, and that this can no longer be determined. A FAILED request may have run too, and may be
     * restarted for as long as searchers drop repeats.
     */
    public enum State implements StoredIdentifier {
        OPEN("OPEN"),
        DONE("DONE"),
        FAILED("FAILED"),
        UNKNOWN("UNKNOWN");

        private final String stored;

        State(String stored) {
            this.stored = stored;
        }

        @Override
        public String stored() {
            return stored;
        }
    }

    /** Returns the store's key for the record of a request's key. */
    public static String storeKey(String key) {
        return ROOT + URLEncoder.encode(key, StandardCharsets.UTF_8);
    }

    /** Returns the request's key for the store's key of its record. */
    public static String requestKey(String storeKey) {
        return URLDecoder.decode(storeKey.substring(ROOT.length()), StandardCharsets.UTF_8);
    }

    /** Decodes a record from the store's key, value and version. */
    public static RequestRecord parse(String storeKey, String text, long version) {
        FormAttributes attributes = FormAttributes.of(text);
        return new RequestRecord(
                requestKey(storeKey),
                attributes.get("digest"),
                attributes.get("class"),
                Double.parseDouble(attributes.get("worth")),
                attributes.get("owner"),
                attributes.number("incarnation", 0),
                attributes.number("began", 0),
                attributes.number("until", 0),
                (int) attributes.number("turns", 1),
                StoredIdentifier.parse(State.class, attributes.get("state")),
                attributes.get("outcome"),
                attributes.get("body"),
                attributes.number("ended", 0),
                version);
    }

    /** Encodes this record for the store, without its key and version. */
    public FormAttributes toAttributes() {
        return new FormAttributes()
                .with("digest", digest)
                .with("class", queryClass)
                .with("worth", priorityWeight)
                .with("owner", owner)
                .with("incarnation", incarnation)
                .with("began", firstSentAtMs)
                .with("until", deadlineMs)
                .with("turns", runs)
                .with("state", state.stored())
                .with("outcome", outcome)
                .with("body", body)
                .with("ended", endedAtMs);
    }

    /** Whether the request still has to be run by its owner, or taken over by another broker. */
    public boolean isOpen() {
        return state == State.OPEN;
    }

    /** Returns a new record of an accepted request. */
    static RequestRecord begun(KeyedRequest request, String owner, long incarnation, long now) {
        return new RequestRecord(
                request.key(),
                request.content().digest(),
                request.queryClass(),
                request.priorityWeight(),
                owner,
                incarnation,
                now,
                request.deadlineMs(),
                1,
                State.OPEN,
                "",
                request.content().body(),
                0,
                0);
    }

    /** Returns this record with another owner, for another run. */
    RequestRecord takenOverBy(String newOwner, long newIncarnation) {
        return new RequestRecord(
                key,
                digest,
                queryClass,
                priorityWeight,
                newOwner,
                newIncarnation,
                firstSentAtMs,
                deadlineMs,
                runs + 1,
                state,
                outcome,
                body,
                endedAtMs,
                version);
    }

    /**
     * Returns an open copy of this record for the run of a repeated request: it has the new owner,
     * the deadline and body of the repeated request, and no outcome.
     */
    RequestRecord restartedFor(KeyedRequest request, String newOwner, long newIncarnation) {
        return new RequestRecord(
                key,
                digest,
                queryClass,
                priorityWeight,
                newOwner,
                newIncarnation,
                firstSentAtMs,
                request.deadlineMs(),
                runs + 1,
                State.OPEN,
                "",
                request.content().body(),
                0,
                version);
    }

    /** Returns this record after its end, without the body. */
    RequestRecord ended(State finalState, String finalOutcome, long now) {
        return new RequestRecord(
                key,
                digest,
                queryClass,
                priorityWeight,
                owner,
                incarnation,
                firstSentAtMs,
                deadlineMs,
                runs,
                finalState,
                finalOutcome,
                "",
                now,
                version);
    }
}
