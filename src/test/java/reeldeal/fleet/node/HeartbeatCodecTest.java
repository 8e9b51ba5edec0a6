package reeldeal.fleet.node;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.Test;
import reeldeal.fleet.node.HeartbeatCodec.Answer;
import reeldeal.fleet.node.HeartbeatCodec.Heartbeat;
import reeldeal.fleet.rollout.RolloutHealth;

/** Tests the encoding of heartbeats and answers, also those of other program versions. */
public class HeartbeatCodecTest {
    private static final Heartbeat HEARTBEAT =
            new Heartbeat(
                    10,
                    "n-1",
                    2_000,
                    33,
                    1_700,
                    new RolloutHealth.Counts(5, 4, 3, 2, 1),
                    Set.of("s"));
    private static final String HEARTBEAT_TEXT =
            "beat=10 by=n-1 sent=2000 seen=33 wall=1700 asked=5 late=4 refused=3 attempts=2"
                    + " failed=1 ejected=s";
    private static final Answer ANSWER = new Answer(10, 2_000, "n-1", true, 1_800);
    private static final String ANSWER_TEXT = "held=10 sent=2000 by=n-1 judged=true wall=1800";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Test
    public void aHeartbeatIsEncodedAndDecodedInItsFixedForm() {
        assertEquals(HEARTBEAT_TEXT, text(HeartbeatCodec.encode(HEARTBEAT)));
        assertEquals(HEARTBEAT, HeartbeatCodec.decode(bytes(HEARTBEAT_TEXT)));
    }

    @Test
    public void anAnswerIsEncodedAndDecodedInItsFixedForm() {
        assertEquals(ANSWER_TEXT, text(HeartbeatCodec.encode(ANSWER)));
        assertEquals(ANSWER, HeartbeatCodec.decode(bytes(ANSWER_TEXT)));
    }

    @Test
    public void aMessageOfAnEarlierVersionWithoutAClockIsDecoded() {
        assertEquals(
                0, ((Heartbeat) HeartbeatCodec.decode(bytes("beat=1 sent=2 seen=3"))).wallMs());
        assertEquals(0, ((Answer) HeartbeatCodec.decode(bytes("held=1 sent=2"))).fleetWallMs());
    }

    @Test
    public void anUnknownMessageIsDecodedAsNull() {
        assertNull(HeartbeatCodec.decode(bytes("later=1")));
    }
}
