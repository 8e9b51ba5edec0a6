package reeldeal.takeover;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;

import java.util.List;
import org.junit.Test;
import reeldeal.core.Reply;
import reeldeal.core.Request;
import reeldeal.fleet.takeover.RequestRecord;

/** Tests the encoding and decoding of stored requests and replies. */
public class RequestRecordCodecTest {
    private static Request request(String name, String text) {
        return new Request(
                1,
                name,
                0,
                "client key",
                5_000,
                true,
                text,
                List.of(new Request.ShardRequest(3, 0.5, 255), new Request.ShardRequest(7, 1, -1)),
                Double.POSITIVE_INFINITY);
    }

    private static RequestRecord record(String body) {
        return new RequestRecord(
                "k", "d", "c", 1, "a", 1, 0, 0, 2, RequestRecord.State.OPEN, "", body, 0, 1);
    }

    @Test
    public void aDecodedRequestEqualsTheOriginalExceptForTheRunInItsName() {
        String body = RequestRecordCodec.body(request("q", "a text"));
        assertEquals(
                "name=q parts=3%3A0.5%3Aff%2C7%3A1.0%3Affffffffffffffff text=a+text"
                        + " key=client+key",
                body);
        assertEquals(List.of(3, 7), RequestRecordCodec.shards(body));
        Request read = RequestRecordCodec.request(record(body), 9, 0, 5_000, 100);
        assertEquals("q~2", read.name());
        assertEquals("a text", read.text());
        assertEquals("client key", read.idempotencyKey());
        assertEquals(request("q", "a text").shards(), read.shards());
    }

    @Test
    public void theDigestDependsOnTheTextButNotOnTheName() {
        String digest = RequestRecordCodec.digest(request("q", "a text"));
        assertEquals(digest, RequestRecordCodec.digest(request("another", "a text")));
        assertNotEquals(digest, RequestRecordCodec.digest(request("q", "another text")));
    }

    @Test
    public void decodedRepliesEqualTheOriginals() {
        for (Reply reply :
                List.of(
                        new Reply.Served(true, List.of(new Reply.Hit(3, "v w", 0.25))),
                        new Reply.Rejected(12.5),
                        new Reply.Failed("no time left"))) {
            assertEquals(reply, RequestRecordCodec.reply(RequestRecordCodec.outcome(reply)));
        }
    }
}
