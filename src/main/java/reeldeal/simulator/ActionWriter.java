package reeldeal.simulator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Collects the action records of one reply and writes the reply. Each method except {@link #flush}
 * adds one record.
 */
final class ActionWriter {
    private static final int HEADER_BYTES = 12;
    private static final int RECORD_BYTES = 32;
    private static final int BODY_OFFSET = 5; // after the code and the instance
    private static final byte SCHEDULE_TIMER = 65;
    private static final byte LOG = 66;
    private static final byte CANCEL = 68;
    private static final byte ANSWER = 70;
    private static final byte SUBSCRIBE = 71;
    private static final byte FAIL = 73;
    private static final byte SEND = 74;
    private static final byte REJECT = 75;
    private static final byte PROBE = 76;
    private static final byte INSTANCE_FAILED = 77;

    private final ByteArrayOutputStream records = new ByteArrayOutputStream();
    private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
    private int count;

    void send(int instance, long shardRequest, long server, double timeoutMs) {
        add(
                newRecord(SEND, instance)
                        .putLong(shardRequest)
                        .putDouble(timeoutMs)
                        .putInt((int) server));
    }

    void cancel(int instance, long shardRequest, int attempt) {
        add(newRecord(CANCEL, instance).putLong(shardRequest).put((byte) attempt));
    }

    void answer(int instance, long query, boolean complete) {
        add(newRecord(ANSWER, instance).putLong(query).put((byte) (complete ? 1 : 0)));
    }

    void reject(int instance, long query, double retryAfterMs) {
        add(newRecord(REJECT, instance).putLong(query).putDouble(retryAfterMs));
    }

    void fail(int instance, long query) {
        add(newRecord(FAIL, instance).putLong(query));
    }

    void scheduleTimer(int instance, double delayMs, int token) {
        add(newRecord(SCHEDULE_TIMER, instance).putDouble(delayMs).putInt(token));
    }

    void probe(int instance, long server) {
        add(newRecord(PROBE, instance).putInt((int) server));
    }

    void subscribe(int instance) {
        add(newRecord(SUBSCRIBE, instance).put((byte) 1));
    }

    void log(int instance, String line) {
        addText(LOG, instance, line);
    }

    /** Reports that an instance has ended because of an error. */
    void instanceFailed(int instance, String error) {
        addText(INSTANCE_FAILED, instance, error);
    }

    private static ByteBuffer newRecord(byte code, int instance) {
        return ByteBuffer.allocate(RECORD_BYTES)
                .put(0, code)
                .putInt(1, instance)
                .position(BODY_OFFSET);
    }

    private void add(ByteBuffer record) {
        records.write(record.array(), record.arrayOffset(), RECORD_BYTES);
        count++;
    }

    private void addText(byte code, int instance, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        add(newRecord(code, instance).putInt(tail.size()).putInt(bytes.length));
        tail.write(bytes, 0, bytes.length);
    }

    /** Writes the collected records as the reply to a batch, and clears them. */
    void flush(OutputStream out, int batch) throws IOException {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putInt(records.size() + tail.size()).putInt(count).putInt(batch);
        out.write(header.array());
        records.writeTo(out);
        tail.writeTo(out);
        out.flush();
        records.reset();
        tail.reset();
        count = 0;
    }
}
