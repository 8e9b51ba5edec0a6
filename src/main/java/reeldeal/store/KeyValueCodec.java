package reeldeal.store;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import reeldeal.consensus.Entry;

/** Encodes and decodes the commands and snapshots of the {@link KeyValueState}. */
final class KeyValueCodec {
    private static final int COMMAND_FORMAT = 1;
    private static final int SNAPSHOT_FORMAT = 1;

    private KeyValueCodec() {}

    /** Returns the changes of log entries, up to the first entry that this program cannot read. */
    static List<Change> changesOf(List<Entry> entries) {
        List<Change> changes = new ArrayList<>();
        for (Entry entry : entries) {
            try {
                if (entry.data().length > 0) {
                    changes.addAll(decode(entry.data()).changes());
                }
            } catch (IOException | KeyValueState.UnsupportedFormatException e) {
                break; // of a newer program version; later entries may depend on it
            }
        }
        return changes;
    }

    /** Receives the content of a snapshot while it is decoded. */
    interface SnapshotReader {
        void version(long version);

        void value(String key, KeyValueState.Value value);

        void session(String name, KeyValueState.Session session);
    }

    /** Encodes a command as the data of a log entry. */
    static byte[] encode(KeyValueState.Command command) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        try {
            out.writeByte(COMMAND_FORMAT);
            ByteBlocks.writeText(out, command.session());
            out.writeLong(command.number());
            out.writeInt(command.preconditions().size());
            for (KeyValueState.Precondition precondition : command.preconditions()) {
                ByteBlocks.writeText(out, precondition.key());
                out.writeLong(precondition.version());
            }
            out.writeInt(command.changes().size());
            for (Change change : command.changes()) {
                ByteBlocks.writeText(out, change.key());
                out.writeBoolean(change.value() != null);
                if (change.value() != null) {
                    ByteBlocks.writeText(out, change.value());
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e); // a ByteArrayOutputStream does not throw
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a command; throws IOException if the bytes are malformed, and
     * UnsupportedFormatException if a newer version of the program wrote them in a format that this
     * one does not support.
     */
    static KeyValueState.Command decode(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        int format = in.readByte();
        if (format > COMMAND_FORMAT) {
            throw new KeyValueState.UnsupportedFormatException(format);
        } else if (format < COMMAND_FORMAT) {
            throw new IOException("no such form: " + format);
        }
        String session = ByteBlocks.readText(in);
        long number = in.readLong();
        List<KeyValueState.Precondition> preconditions = new ArrayList<>();
        for (int count = ByteBlocks.readCount(in); count > 0; count--) {
            preconditions.add(
                    new KeyValueState.Precondition(ByteBlocks.readText(in), in.readLong()));
        }
        List<Change> changes = new ArrayList<>();
        for (int count = ByteBlocks.readCount(in); count > 0; count--) {
            String key = ByteBlocks.readText(in);
            changes.add(new Change(key, in.readBoolean() ? ByteBlocks.readText(in) : null));
        }
        return new KeyValueState.Command(session, number, preconditions, List.copyOf(changes));
    }

    /** Writes what precedes the values of a snapshot. */
    static void writeSnapshotHeader(DataOutputStream out, long version, int values)
            throws IOException {
        out.writeByte(SNAPSHOT_FORMAT);
        out.writeLong(version);
        out.writeInt(values);
    }

    /** Writes one value of a snapshot. */
    static void writeValue(DataOutputStream out, String key, KeyValueState.Value value)
            throws IOException {
        ByteBlocks.writeText(out, key);
        ByteBlocks.writeText(out, value.text());
        out.writeLong(value.version());
    }

    /** Writes one session of a snapshot; the number of sessions precedes the first. */
    static void writeSession(DataOutputStream out, String name, KeyValueState.Session session)
            throws IOException {
        ByteBlocks.writeText(out, name);
        writeSession(out, session);
    }

    private static void writeSession(DataOutputStream out, KeyValueState.Session session)
            throws IOException {
        KeyValueState.Outcome outcome = session.outcome();
        out.writeLong(session.number());
        out.writeLong(session.lastVersion());
        out.writeLong(outcome.version());
        ByteBlocks.writeText(out, outcome.isApplied() ? "" : outcome.rejection());
    }

    /**
     * Decodes a snapshot; throws IOException if the bytes are malformed or were written by a newer
     * version of the program.
     */
    static void decodeSnapshot(InputStream bytes, SnapshotReader reader) throws IOException {
        DataInputStream in = new DataInputStream(bytes);
        if (in.readByte() != SNAPSHOT_FORMAT) {
            throw new IOException(
                    "the snapshot does not have format "
                            + SNAPSHOT_FORMAT
                            + ": it was written by a newer version of the program");
        }
        reader.version(in.readLong());
        for (int count = ByteBlocks.readCount(in); count > 0; count--) {
            String key = ByteBlocks.readText(in);
            String text = ByteBlocks.readText(in);
            reader.value(key, new KeyValueState.Value(text, in.readLong()));
        }
        for (int count = ByteBlocks.readCount(in); count > 0; count--) {
            reader.session(ByteBlocks.readText(in), readSession(in));
        }
    }

    private static KeyValueState.Session readSession(DataInputStream in) throws IOException {
        long number = in.readLong();
        long lastVersion = in.readLong();
        long version = in.readLong();
        String rejection = ByteBlocks.readText(in);
        return new KeyValueState.Session(
                number,
                new KeyValueState.Outcome(version, rejection.isEmpty() ? null : rejection),
                lastVersion);
    }
}
