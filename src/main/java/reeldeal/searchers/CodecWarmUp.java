package reeldeal.searchers;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import reeldeal.core.Effect;
import reeldeal.core.Event;
import reeldeal.frames.FrameBuffer;

/**
 * Runs calls through the frame codec without a searcher, so that the codec's code is loaded and
 * compiled before the first query. Stateless; any thread may call it.
 */
public final class CodecWarmUp {
    private static final long EXAMPLE_SCORE = 1_840_277_719L;
    private static final String EXAMPLE_VALUE = "5be2a07c19f04d63";

    private CodecWarmUp() {}

    /**
     * Encodes a call, and decodes a made-up answer to each of its shard requests.
     *
     * @param call the call to encode
     * @param now the time of encoding, in milliseconds of the broker's clock
     * @return the ends of the call's attempts, in the order of its shard requests
     */
    public static List<Event> roundTrip(Effect.Call call, double now) {
        FrameCodec.encodeCall(call.sends(), now).release();
        FrameBuffer frames = new FrameBuffer(FrameCodec.LENGTH_BYTES, FrameCodec.MAX_FRAME_BYTES);
        List<Event> ends = new ArrayList<>();
        for (Effect.Send send : call.sends()) {
            byte[] payload = exampleAnswer(send).getBytes(StandardCharsets.UTF_8);
            frames.feed(FrameCodec.encodeFrame(FrameCodec.ANSWER, payload));
            FrameCodec.Answer answer = FrameCodec.decodeAnswer(frames.next());
            ends.add(
                    new Event.AttemptEnded(
                            send.shardRequestId(),
                            send.attempt(),
                            answer.end(),
                            LoadReport.parse(answer.loadReport(), List.of())));
        }
        return ends;
    }

    private static String exampleAnswer(Effect.Send send) {
        return FrameCodec.wireName(send)
                + " ok "
                + (EXAMPLE_SCORE + send.shard())
                + " "
                + LoadReport.NONE
                + "\n"
                + EXAMPLE_VALUE;
    }
}
