package reeldeal.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Reads the log of program version 0.3, a single file in which a length and a checksum precede each
 * entry. A torn write at the end of the file is truncated when the file is opened. The methods
 * block.
 */
final class LegacyLogFile implements AutoCloseable {
    static final int HEADER_BYTES = 8;

    private final FileChannel file;
    private final List<LegacyEntry> entries = new ArrayList<>();
    private final long promisedTerm;

    /**
     * Opens and reads the log in a data directory; throws IOException if another process has locked
     * it.
     */
    LegacyLogFile(Path folder) throws IOException {
        Files.createDirectories(folder);
        file =
                FileChannel.open(
                        folder.resolve("log"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        if (file.tryLock() == null) {
            throw new IOException("another process has locked the data directory " + folder);
        }
        promisedTerm = readPromisedTerm(folder.resolve("term"));
        recover();
    }

    /**
     * Reads the term from its file, which contains the term, a space, and the node to which the
     * term was promised.
     */
    private static long readPromisedTerm(Path termFile) throws IOException {
        return Files.exists(termFile)
                ? Long.parseLong(Files.readString(termFile).trim().split(" ", 2)[0])
                : 0;
    }

    /**
     * Reads the entries up to the first incomplete, corrupt or out-of-order one, and truncates the
     * file there.
     */
    private void recover() throws IOException {
        long size = file.size();
        long offset = 0;
        LegacyEntry entry = readEntry(offset, size);
        while (entry != null && entry.version() == entries.size() + 1) {
            entries.add(entry);
            offset += HEADER_BYTES + read(offset, HEADER_BYTES).getInt();
            entry = readEntry(offset, size);
        }
        if (offset < size) {
            file.truncate(offset);
            file.force(true);
        }
    }

    /** Returns the entry at an offset, or null if there is no complete and valid one. */
    private LegacyEntry readEntry(long offset, long size) throws IOException {
        if (offset + HEADER_BYTES > size) {
            return null;
        }
        ByteBuffer header = read(offset, HEADER_BYTES);
        int length = header.getInt();
        int checksum = header.getInt();
        if (length <= 0
                || length > LegacyEntry.MAX_BYTES
                || offset + HEADER_BYTES + length > size) {
            return null;
        }
        byte[] bytes = read(offset + HEADER_BYTES, length).array();
        try {
            return checksum == checksum(bytes) ? LegacyEntry.fromBytes(bytes) : null;
        } catch (IOException e) {
            return null; // malformed although the checksum matches
        }
    }

    private ByteBuffer read(long offset, int length) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(length);
        while (bytes.hasRemaining() && file.read(bytes, offset + bytes.position()) >= 0) {
            // reads until the buffer is full or the file ends
        }
        return bytes.flip();
    }

    static int checksum(byte[] bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    /** Returns all entries, in order of their versions, which start at 1. */
    List<LegacyEntry> entries() {
        return Collections.unmodifiableList(entries);
    }

    /** Returns the term of the last entry, or 0 if the log is empty. */
    long lastTerm() {
        return entries.isEmpty() ? 0 : entries.get(entries.size() - 1).term();
    }

    /** Returns the term that this node promised to a writer, or 0 if it promised none. */
    long promisedTerm() {
        return promisedTerm;
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
