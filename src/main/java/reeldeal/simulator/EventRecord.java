package reeldeal.simulator;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Outcome;
import reeldeal.decision.DecisionModule.Query;
import reeldeal.decision.DecisionModule.Server;
import reeldeal.decision.DecisionModule.ShardRequest;

/**
 * Reads the fields of one event record of a batch. Which fields a record has depends on its code;
 * the section markers below name the code.
 */
final class EventRecord {
    /** Length of a record in bytes. */
    static final int RECORD_BYTES = 56;

    static final int INSTANCE_ENDED = 2;
    static final int ATTEMPT_ENDED = 3;
    static final int SERVER_LIST = 4;
    static final int CLIENT_DISCONNECTED = 6;
    static final int DEMAND = 7;
    static final int INSTANCE_STARTED = 8;
    static final int LIST_CHANGED = 9;
    static final int PROBE_ENDED = 10;
    static final int TIMER_DUE = 11;

    /** Number of server lists that the simulator can store; they are numbered from 0. */
    static final int MAX_LISTS = 16;

    private static final int FIRST_CODE = 1;
    private static final int LAST_CODE = 11;
    private static final int LIST_ENTRY_BYTES = 21;
    private static final int MAX_LOAD_COLUMNS = 4;
    private static final int RETRY_FLAG = 2;

    /** The outcomes, in the order of their codes from 0. */
    private static final List<Outcome> OUTCOMES =
            List.of(
                    Outcome.OK,
                    Outcome.ERROR,
                    Outcome.REJECTED,
                    Outcome.TIMEOUT,
                    Outcome.CONNECT_FAILED,
                    Outcome.RESET,
                    Outcome.CANCELLED,
                    Outcome.NEVER_SENT);

    /** The kinds of a server list, in the order of their codes from 1. */
    private static final List<EndpointListKind> LIST_KINDS =
            List.of(
                    EndpointListKind.CHANGES,
                    EndpointListKind.FAILED,
                    EndpointListKind.CACHED,
                    EndpointListKind.COMPLETE);

    private final BatchReader.Batch batch;
    private final ByteBuffer body;
    private final int index;
    private final int recordStart;

    EventRecord(BatchReader.Batch batch, int index) {
        this.batch = batch;
        this.index = index;
        body = batch.body();
        recordStart = index * RECORD_BYTES;
    }

    /** Returns the code of the event; throws MalformedBatchException if the code is unknown. */
    int code() {
        int code = unsignedByte(0);
        if (code < FIRST_CODE || code > LAST_CODE) {
            throw malformed(
                    "expected an event code from "
                            + FIRST_CODE
                            + " to "
                            + LAST_CODE
                            + ", got "
                            + code);
        }
        return code;
    }

    /** Returns the number of the broker instance that the event concerns. */
    int instance() {
        return body.getInt(recordStart + 1);
    }

    /**
     * Returns the id of the query or shard request of a {@link #DEMAND}, {@link #ATTEMPT_ENDED} or
     * {@link #CLIENT_DISCONNECTED}.
     */
    long id() {
        return body.getLong(recordStart + 5);
    }

    // ---- INSTANCE_STARTED ----

    long seed() {
        return body.getLong(recordStart + 5);
    }

    String settings() {
        int from = tailOffset(13, 1, "settings");
        byte[] text = new byte[body.getInt(recordStart + 17)];
        body.get(from, text);
        return new String(text, StandardCharsets.UTF_8);
    }

    // ---- ATTEMPT_ENDED ----

    int attempt() {
        return unsignedByte(13);
    }

    Outcome attemptOutcome() {
        return outcome(18);
    }

    double attemptElapsedMs() {
        return body.getDouble(recordStart + 19);
    }

    double[] attemptLoad() {
        return load(28);
    }

    // ---- PROBE_ENDED ----

    long probedServer() {
        return body.getInt(recordStart + 6) & 0xffffffffL;
    }

    Outcome probeOutcome() {
        return outcome(5);
    }

    double probeElapsedMs() {
        return body.getDouble(recordStart + 10);
    }

    double[] probeLoad() {
        return load(18);
    }

    // ---- TIMER_DUE ----

    int timerToken() {
        return body.getInt(recordStart + 5);
    }

    // ---- DEMAND: a query, or one of its shard requests ----

    boolean isShardRequest() {
        return body.getFloat(recordStart + 44) >= 0;
    }

    /** Returns the number that a query and its shard requests have in common. */
    float demandNumber() {
        return body.getFloat(recordStart + 40);
    }

    ShardRequest shardRequest() {
        int shard = (int) body.getFloat(recordStart + 44);
        float weight = body.getFloat(recordStart + 48);
        return new ShardRequest(id(), shard, weight, demandKey());
    }

    Query query() {
        int classIndex = unsignedByte(13);
        int tenant = body.getShort(recordStart + 14) & 0xffff;
        double deadlineMs = body.getDouble(recordStart + 24);
        boolean retry = (body.get(recordStart + 52) & RETRY_FLAG) != 0;
        return new Query(id(), classIndex, tenant, demandKey(), deadlineMs, retry);
    }

    private long demandKey() {
        return body.getLong(recordStart + 16);
    }

    // ---- SERVER_LIST and LIST_CHANGED ----

    /** Returns the number under which a {@link #SERVER_LIST} stores its list. */
    int storedListNumber() {
        return listNumber(1);
    }

    /** Returns the number of the stored list that a {@link #LIST_CHANGED} refers to. */
    int changedListNumber() {
        return listNumber(14);
    }

    EndpointListKind listKind() {
        int kindCode = unsignedByte(5);
        if (kindCode < 1 || kindCode > LIST_KINDS.size()) {
            throw malformed("unknown kind of server list " + kindCode);
        }
        return LIST_KINDS.get(kindCode - 1);
    }

    List<Server> servers() {
        int from = tailOffset(3, LIST_ENTRY_BYTES, "list of servers");
        int count = body.getInt(recordStart + 7);
        List<Server> servers = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            servers.add(server(from + i * LIST_ENTRY_BYTES));
        }
        return List.copyOf(servers);
    }

    private Server server(int offset) {
        EndpointState state =
                switch (body.get(offset)) {
                    case 0 -> EndpointState.REMOVED;
                    case 2 -> EndpointState.DRAINING;
                    default -> EndpointState.READY;
                };
        int zone = body.get(offset + 1) & 0xff;
        double startedMs = body.getDouble(offset + 2);
        long id = body.getInt(offset + 10) & 0xffffffffL;
        int cell = body.getShort(offset + 14) & 0xffff;
        float size = body.getFloat(offset + 16);
        int kind = body.get(offset + 20) & 0xff;
        return new Server(id, zone, cell, startedMs, size, kind, state);
    }

    // ---- types of fields ----

    private int unsignedByte(int fieldOffset) {
        return body.get(recordStart + fieldOffset) & 0xff;
    }

    private int listNumber(int fieldOffset) {
        int number = body.getShort(recordStart + fieldOffset) & 0xffff;
        if (number >= MAX_LISTS) {
            throw malformed(
                    "expected a server list number from 0 to "
                            + (MAX_LISTS - 1)
                            + ", got "
                            + number);
        }
        return number;
    }

    private Outcome outcome(int fieldOffset) {
        int code = unsignedByte(fieldOffset);
        if (code >= OUTCOMES.size()) {
            throw malformed("unknown outcome code " + code);
        }
        return OUTCOMES.get(code);
    }

    private double[] load(int fieldOffset) {
        double[] values = new double[Math.min(MAX_LOAD_COLUMNS, unsignedByte(fieldOffset))];
        for (int i = 0; i < values.length; i++) {
            values[i] = body.getFloat(recordStart + fieldOffset + 1 + 4 * i);
        }
        return values;
    }

    /**
     * Returns the position in the body at which a slice of the tail begins. The record has the
     * offset of the slice in the tail, followed by its length in units.
     *
     * @param fieldOffset offset of these two fields in the record
     * @param unitBytes bytes of one unit
     * @param content description of the slice for error messages
     */
    private int tailOffset(int fieldOffset, long unitBytes, String content) {
        long offset = body.getInt(recordStart + fieldOffset) & 0xffffffffL;
        long length = (body.getInt(recordStart + fieldOffset + 4) & 0xffffffffL) * unitBytes;
        long tailStart = (long) batch.count() * RECORD_BYTES;
        if (tailStart + offset + length > body.limit()) {
            throw malformed(
                    content
                            + " at offset "
                            + offset
                            + " with "
                            + length
                            + " bytes lies outside the tail");
        }
        return (int) (tailStart + offset);
    }

    private MalformedBatchException malformed(String problem) {
        return new MalformedBatchException(
                "batch " + batch.number() + ", record " + index + ": " + problem);
    }
}
