package reeldeal.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Writes the files of one directory. A file is replaced by writing the new content under a
 * temporary name, flushing it and renaming it, so that after a crash the file has either the old or
 * the new content.
 */
final class DurableFiles {
    /**
     * The suffix of files that are not renamed yet; such files are deleted when a directory is
     * opened.
     */
    static final String TEMPORARY_SUFFIX = ".new";

    private final Path directory;
    private long writableBytes = Long.MAX_VALUE;

    DurableFiles(Path directory) {
        this.directory = directory;
    }

    Path resolve(String name) {
        return directory.resolve(name);
    }

    Path directory() {
        return directory;
    }

    /** Simulates, for tests, a disk that is full after this many more bytes. */
    void limitWritableBytes(long bytes) {
        writableBytes = bytes;
    }

    /** Writes the content of a new file. */
    interface ContentWriter {
        void writeTo(FileChannel channel) throws IOException;
    }

    /** Replaces a file durably: the new content is on disk once this returns. */
    void replace(Path file, byte[] bytes) throws IOException {
        replace(file, channel -> write(channel, bytes, 0));
    }

    /** Replaces a file durably by what a writer writes to the new file. */
    void replace(Path file, ContentWriter content) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
        writeNew(temporary, content);
        rename(temporary, file);
    }

    /** Writes and flushes a file, but not its directory entry. */
    void writeNew(Path file, ContentWriter content) throws IOException {
        try (FileChannel channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            content.writeTo(channel);
            channel.force(true);
        }
    }

    /** Renames a flushed file durably: the new name is on disk once this returns. */
    void rename(Path from, Path to) throws IOException {
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        flushDirectory();
    }

    /** Flushes the directory; a new or changed file name is on disk only after that. */
    void flushDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /** Writes all bytes at an offset of a file, without a flush. */
    void write(FileChannel channel, byte[] bytes, long offset) throws IOException {
        write(channel, bytes, bytes.length, offset);
    }

    /** Writes the first {@code length} bytes of an array at an offset of a file, unflushed. */
    void write(FileChannel channel, byte[] bytes, int length, long offset) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes, 0, length);
        writableBytes -= buffer.remaining();
        if (writableBytes < 0) {
            // Writes the bytes that still fit.
            buffer.limit((int) Math.max(0, buffer.limit() + writableBytes));
        }
        long position = offset;
        while (buffer.hasRemaining()) {
            position += channel.write(buffer, position);
        }
        if (writableBytes < 0) {
            throw new IOException("no space left in " + directory);
        }
    }
}
