package reeldeal.takeover;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import reeldeal.core.Reply;
import reeldeal.core.Request;
import reeldeal.fleet.FormAttributes;
import reeldeal.fleet.takeover.RequestRecord;

/**
 * Encodes and decodes the requests and replies in a {@link RequestRecord}, from which another
 * broker can run the request or answer its client. Stateless and thread-safe.
 */
final class RequestRecordCodec {
    private static final int DIGEST_BYTES = 16;
    private static final int HEXADECIMAL = 16;

    private RequestRecordCodec() {}

    /**
     * Encodes a request as the body of a record: its name, shard requests, text and idempotency
     * key.
     */
    static String body(Request request) {
        StringBuilder shardRequests = new StringBuilder();
        for (Request.ShardRequest shardRequest : request.shards()) {
            shardRequests
                    .append(shardRequests.length() > 0 ? "," : "")
                    .append(shardRequest.shard())
                    .append(':')
                    .append(shardRequest.weight())
                    .append(':')
                    .append(Long.toHexString(shardRequest.key()));
        }
        FormAttributes body =
                new FormAttributes()
                        .with("name", request.name())
                        .with("parts", shardRequests)
                        .with("text", request.text());
        if (request.idempotencyKey() != null) {
            body.with("key", request.idempotencyKey());
        }
        return body.toString();
    }

    /**
     * Returns the digest of a request without its name; two requests under one key are the same if
     * their digests are equal.
     */
    static String digest(Request request) {
        String withoutName = FormAttributes.of(body(request)).with("name", "").toString();
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(withoutName.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, though every Java platform must provide it", e);
        }
    }

    /** Returns the shards of the request in a record's body; none if the body is empty. */
    static List<Integer> shards(String body) {
        if (body.isEmpty()) {
            return List.of();
        }
        return Arrays.stream(FormAttributes.of(body).get("parts").split(","))
                .map(shardRequest -> Integer.valueOf(shardRequest.split(":")[0]))
                .toList();
    }

    /**
     * Decodes the request of a record for a run; its name gets the number of the run as a suffix,
     * so that searchers can tell the runs apart.
     *
     * @param requestId the id that this broker gives to the run's request
     * @param deadlineMs the request's deadline by the broker's clock
     * @param firstSentAtMs when the request was first sent, by the broker's clock; positive
     *     infinity for a first run
     */
    static Request request(
            RequestRecord record,
            long requestId,
            int classIndex,
            double deadlineMs,
            double firstSentAtMs) {
        FormAttributes body = FormAttributes.of(record.body());
        List<Request.ShardRequest> shardRequests = new ArrayList<>();
        for (String shardRequest : body.get("parts").split(",")) {
            String[] fields = shardRequest.split(":");
            shardRequests.add(
                    new Request.ShardRequest(
                            Integer.parseInt(fields[0]),
                            Double.parseDouble(fields[1]),
                            Long.parseUnsignedLong(fields[2], HEXADECIMAL)));
        }
        String idempotencyKey = body.get("key");
        return new Request(
                requestId,
                body.get("name") + "~" + record.runs(),
                classIndex,
                idempotencyKey.isEmpty() ? null : idempotencyKey,
                deadlineMs,
                true,
                body.get("text"),
                shardRequests,
                firstSentAtMs);
    }

    /** Encodes a reply as an outcome. */
    static String outcome(Reply reply) {
        if (reply instanceof Reply.Served served) {
            return outcome(served).toString();
        } else if (reply instanceof Reply.Rejected rejected) {
            return new FormAttributes().with("refused", rejected.retryAfterMs()).toString();
        }
        String reason =
                reply instanceof Reply.Failed failed
                        ? failed.reason()
                        : ((Reply.Invalid) reply).reason();
        return new FormAttributes().with("failed", reason).toString();
    }

    private static FormAttributes outcome(Reply.Served served) {
        FormAttributes outcome = new FormAttributes().with("whole", served.complete());
        for (int i = 0; i < served.hits().size(); i++) {
            Reply.Hit hit = served.hits().get(i);
            outcome.with(
                    "hit" + i,
                    new FormAttributes()
                            .with("shard", hit.shard())
                            .with("score", hit.score())
                            .with("value", hit.value()));
        }
        return outcome;
    }

    /** Decodes a reply from an outcome. */
    static Reply reply(String outcome) {
        FormAttributes attributes = FormAttributes.of(outcome);
        if (!attributes.get("whole").isEmpty()) {
            return new Reply.Served(attributes.get("whole").equals("true"), hits(attributes));
        } else if (!attributes.get("refused").isEmpty()) {
            return new Reply.Rejected(Double.parseDouble(attributes.get("refused")));
        }
        String reason = attributes.get("failed");
        return new Reply.Failed(reason.isEmpty() ? "not served in time" : reason);
    }

    private static List<Reply.Hit> hits(FormAttributes outcome) {
        List<Reply.Hit> hits = new ArrayList<>();
        for (int i = 0; !outcome.get("hit" + i).isEmpty(); i++) {
            FormAttributes hit = FormAttributes.of(outcome.get("hit" + i));
            hits.add(
                    new Reply.Hit(
                            (int) hit.number("shard", 0),
                            hit.get("value"),
                            Double.parseDouble(hit.get("score"))));
        }
        return hits;
    }
}
