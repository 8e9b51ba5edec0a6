package reeldeal.consensus;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;

/**
 * The encoded state of a snapshot, in a form that consensus does not interpret. The bytes need not
 * exist as one array: an implementation may encode them while they are read. Immutable, so that it
 * may be read on any thread, by several readers at once.
 */
public interface SnapshotData {
    /** Returns the number of bytes. The first call may take time in proportion to the state. */
    int length();

    /**
     * Opens a reader at the first byte. It yields exactly {@link #length} bytes, does no I/O and
     * does not throw; {@code available} returns the number of bytes that are left.
     */
    InputStream open();

    /** Returns a copy of all bytes, for small states, tools and tests. */
    default byte[] toBytes() {
        try (InputStream in = open()) {
            return in.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // a reader of memory does not throw
        }
    }

    /** Returns data that consists of the given bytes, which must not be changed afterwards. */
    static SnapshotData of(byte[] bytes) {
        return new SnapshotData() {
            @Override
            public int length() {
                return bytes.length;
            }

            @Override
            public InputStream open() {
                return new ByteArrayInputStream(bytes);
            }
        };
    }
}
