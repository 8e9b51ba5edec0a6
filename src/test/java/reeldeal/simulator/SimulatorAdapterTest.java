package reeldeal.simulator;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Tests the simulator adapter with well-formed and malformed input. */
class SimulatorAdapterTest {
    private static final String SETTINGS =
            """
            Categories.count=1
            Categories.0.AimMs=1000.0
            Categories.0.HardLimitMs=3000.0
            Categories.0.Semantics=repeatable
            Categories.0.Worth=1.0
            FamilyInfo.Cells=2
            FamilyInfo.InARow=1
            FamilyInfo.Batch=4
            Instances=1
            SelfIndex=0
            MyZone=0
            PeriodMs=5.0
            PolicyLimits.MaxAttempts=3
            Rules.DrainGraceMs=250.0
            Rules.ColdFrom=0.2
            Rules.ColdMs=9000.0
            Rules.FallMultiple=2.0
            Rules.FallMs=2000.0
            Brand.New.Key=7\
            """;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private int run(byte[] input) throws IOException {
        return SimulatorAdapter.run(
                new ByteArrayInputStream(input), out, new PrintStream(errors, true));
    }

    private static byte[] batch(byte[] tail, ByteBuffer... records) {
        ByteBuffer batch = ByteBuffer.allocate(20 + 56 * records.length + tail.length);
        batch.putInt(records.length)
                .putInt(56 * records.length + tail.length)
                .putDouble(240)
                .putInt(9);
        for (ByteBuffer record : records) {
            batch.put(record.duplicate().clear());
        }
        return batch.put(tail).array();
    }

    private static ByteBuffer event(int code) {
        return ByteBuffer.allocate(56).put(0, (byte) code).putInt(1, 3);
    }

    private static byte[] startedBatch(String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        ByteBuffer tail = ByteBuffer.allocate(text.length + 21).put(text);
        tail.put((byte) 1)
                .put((byte) 0)
                .putDouble(0)
                .putInt(17)
                .putShort((short) 0)
                .putFloat(1)
                .put((byte) 0);
        return batch(
                tail.array(),
                event(8).putLong(5, 1).putInt(13, 0).putInt(17, text.length),
                ByteBuffer.allocate(56)
                        .put(0, (byte) 4)
                        .putShort(1, (short) 2)
                        .putInt(3, text.length)
                        .putInt(7, 1),
                event(9).put(5, (byte) 3).putShort(14, (short) 2),
                event(7).putLong(5, 40)
                        .putDouble(24, 3240)
                        .putFloat(40, 1)
                        .putFloat(44, -1)
                        .putFloat(48, 1),
                event(7).putLong(5, 41)
                        .putDouble(24, 3240)
                        .putFloat(40, 1)
                        .putFloat(44, 0)
                        .putFloat(48, 1));
    }

    @Test
    void anEmptyBatchGetsAnEmptyReply() throws IOException {
        assertEquals(0, run(batch(new byte[0])));
        assertEquals("[0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 9]", Arrays.toString(out.toByteArray()));
    }

    @Test
    void aQueryIsSentToTheServerOfTheList() throws IOException {
        assertEquals(0, run(startedBatch(SETTINGS)));
        ByteBuffer reply = ByteBuffer.wrap(out.toByteArray());
        assertEquals(74, reply.get(12));
        assertEquals(3, reply.getInt(13));
        assertEquals(41, reply.getLong(17));
        assertEquals(17, reply.getInt(33));
    }

    @Test
    void aMissingOrMalformedSettingIsNamedInTheInstanceFailedAction() throws IOException {
        for (String malformed :
                new String[] {
                    SETTINGS.replace("Instances=1\n", ""),
                    SETTINGS.replace("Instances=1", "Instances=many")
                }) {
            out.reset();
            assertEquals(0, run(startedBatch(malformed)));
            assertEquals(77, out.toByteArray()[12]);
            assertTrue(out.toString(StandardCharsets.UTF_8).contains("Instances"));
        }
    }

    @Test
    void malformedBatchesEndWithStatusTwoAndOneErrorLine() throws IOException {
        byte[] wellFormed = startedBatch(SETTINGS);
        byte[] outsideTail = startedBatch(SETTINGS);
        ByteBuffer.wrap(outsideTail).putInt(20 + 17, 1 << 30);
        byte[][] malformed = {
            Arrays.copyOf(wellFormed, 7),
            Arrays.copyOf(wellFormed, wellFormed.length - 1),
            ByteBuffer.allocate(20).putInt(9).array(),
            batch(new byte[0], event(99)),
            outsideTail
        };
        String[] expectedMessages = {
            "truncated header",
            "truncated",
            "do not fit",
            "expected an event code from 1 to 11, got 99",
            "outside the tail"
        };
        for (int i = 0; i < malformed.length; i++) {
            errors.reset();
            assertEquals(2, run(malformed[i]));
            assertTrue(
                    errors.toString(UTF_8).contains(expectedMessages[i]), errors.toString(UTF_8));
            assertEquals(1, errors.toString(UTF_8).lines().count());
        }
    }
}
