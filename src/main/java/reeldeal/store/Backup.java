package reeldeal.store;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import java.util.zip.CheckedInputStream;
import reeldeal.consensus.GroupConfiguration;
import reeldeal.consensus.Ready;
import reeldeal.consensus.Snapshot;
import reeldeal.consensus.SnapshotData;
import reeldeal.storage.DataDirectory;

/**
 * Reads and writes backups: a copy of the state in one file, which holds a line that names the
 * format, a CRC32C checksum, and the state. A backup contains no term, vote or log of its group, so
 * a group restored from it shares none of these with the original group. The methods block; they
 * keep no state of their own.
 */
public final class Backup {
    private static final byte[] FORMAT = "reeldeal-backup 1\n".getBytes(StandardCharsets.US_ASCII);

    private static final int BUFFER_BYTES = 64 * 1024;

    private Backup() {}

    /**
     * Writes a state to a file, which it replaces atomically: the new file is complete and flushed
     * to disk before it gets its final name.
     */
    public static void write(Path file, KeyValueState.Frozen state) throws IOException {
        ByteArrayOutputStream header = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(header);
        out.write(FORMAT);
        out.writeLong(checksum(state));
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel channel =
                FileChannel.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            writeAll(channel, header.toByteArray());
            writeState(channel, state);
            channel.force(true);
        }
        Files.move(
                temporary,
                file,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    private static void writeAll(FileChannel channel, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
    }

    private static void writeState(FileChannel channel, SnapshotData state) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (InputStream in = state.open()) {
            for (int count = in.readNBytes(buffer, 0, BUFFER_BYTES);
                    count > 0;
                    count = in.readNBytes(buffer, 0, BUFFER_BYTES)) {
                writeAll(channel, Arrays.copyOf(buffer, count));
            }
        }
    }

    private static long checksum(SnapshotData state) throws IOException {
        CheckedInputStream in = new CheckedInputStream(state.open(), new CRC32C());
        in.transferTo(OutputStream.nullOutputStream());
        return in.getChecksum().getValue();
    }

    private static long checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return crc.getValue();
    }

    /**
     * Reads the state from a backup; throws an IOException that names the file and the defect if it
     * is not a valid backup.
     */
    public static KeyValueState read(Path file) throws IOException {
        return KeyValueState.fromBytes(readBytes(file));
    }

    private static byte[] readBytes(Path file) throws IOException {
        try (DataInputStream in = new DataInputStream(Files.newInputStream(file))) {
            byte[] format = in.readNBytes(FORMAT.length);
            if (!Arrays.equals(format, FORMAT)) {
                throw new IOException(
                        file + ": expected a file that begins with \"reeldeal-backup 1\"");
            }
            long checksum = in.readLong();
            byte[] bytes = in.readAllBytes();
            if (checksum(bytes) != checksum) {
                throw new IOException(
                        file + ": checksum mismatch: the file was truncated or modified");
            }
            return bytes;
        }
    }

    /**
     * Creates the data directory of one node of a new group from a backup, and returns the version
     * of the state. Every node of the group must be restored from the same file with the same set
     * of node names.
     *
     * @param folder the data directory to create; must not exist or must be empty
     * @param nodes the names of all nodes of the group; all of them are voters
     */
    public static long restore(Path file, Path folder, String group, String node, Set<String> nodes)
            throws IOException {
        byte[] bytes = readBytes(file);
        KeyValueState state = KeyValueState.fromBytes(bytes);
        checkEmpty(folder);
        GroupConfiguration configuration = new GroupConfiguration(nodes, Set.of());
        Snapshot snapshot = new Snapshot(Math.max(1, state.version()), 1, configuration, bytes);
        try (DataDirectory directory =
                DataDirectory.open(
                        folder, group + " " + node, configuration, StoreNode.SEGMENT_BYTES)) {
            directory.write(
                    List.of(
                            new Ready.Persist(
                                    1, 1, null, Long.MAX_VALUE, List.of(), snapshot, true)));
        }
        return state.version();
    }

    private static void checkEmpty(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> files = Files.list(folder)) {
            if (files.findAny().isPresent()) {
                throw new IOException(
                        folder + ": expected a folder that does not exist or is empty");
            }
        }
    }
}
