package reeldeal.store;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * An entry of a log of program version 0.3: changes that are applied together, with the term of the
 * node that wrote them.
 */
record LegacyEntry(long term, long version, List<Change> changes) {
    static final int MAX_BYTES = 256 * 1024;
    private static final int MAX_KEY_BYTES = 1_024;

    /** Decodes an entry; throws IOException if the bytes are malformed. */
    static LegacyEntry fromBytes(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        long term = in.readLong();
        long version = in.readLong();
        int count = in.readInt();
        if (count < 0 || count > bytes.length) {
            throw new IOException(
                    "invalid number of changes in a log entry of version 0.3: " + count);
        }
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String key = readText(in, MAX_KEY_BYTES);
            changes.add(new Change(key, in.readBoolean() ? readText(in, MAX_BYTES) : null));
        }
        if (in.available() > 0) {
            throw new IOException("unexpected bytes after a log entry of version 0.3");
        }
        return new LegacyEntry(term, version, List.copyOf(changes));
    }

    private static String readText(DataInputStream in, int maxBytes) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > maxBytes || length > in.available()) {
            throw new IOException("invalid text length in a log entry of version 0.3: " + length);
        }
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }
}
