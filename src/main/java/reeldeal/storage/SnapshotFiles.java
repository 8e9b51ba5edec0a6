package reeldeal.storage;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;
import reeldeal.consensus.GroupConfiguration;
import reeldeal.consensus.Snapshot;

/**
 * The files {@code snapshot-INDEX}, of which only the latest is valid, and the log's epoch, which
 * the snapshot contains. The epoch is 0 at first and grows by 1 when a snapshot replaces the whole
 * log, including entries after the snapshot's index.
 *
 * <p>{@link #prepare} may run on another thread than the other methods; this object's monitor
 * guards the state that they share.
 */
final class SnapshotFiles {
    private static final String PREFIX = "snapshot-";
    private static final String PREPARED = "prepared" + DurableFiles.TEMPORARY_SUFFIX;

    private final DurableFiles files;
    private long epoch;
    private Snapshot prepared;
    private long preparedEpoch;

    SnapshotFiles(DurableFiles files) {
        this.files = files;
    }

    synchronized long epoch() {
        return epoch;
    }

    /** Begins the next epoch, after a snapshot that replaces the log was written. */
    synchronized void beginEpoch() {
        epoch++;
    }

    static boolean isSnapshot(String fileName) {
        return fileName.matches(PREFIX + "[0-9]+");
    }

    private static long indexOf(String fileName) {
        return Long.parseLong(fileName.substring(PREFIX.length()));
    }

    /** Reads the latest of these files and deletes the others. Returns null if there are none. */
    Snapshot recover(List<Path> snapshotFiles) throws IOException {
        TreeMap<Long, Path> byIndex = new TreeMap<>();
        for (Path file : snapshotFiles) {
            byIndex.put(indexOf(file.getFileName().toString()), file);
        }
        if (byIndex.isEmpty()) {
            return null;
        }
        Snapshot latest = read(byIndex.lastEntry().getValue(), byIndex.lastKey());
        for (Path earlier : byIndex.headMap(byIndex.lastKey()).values()) {
            Files.delete(earlier);
        }
        return latest;
    }

    private synchronized Snapshot read(Path file, long index) throws IOException {
        Snapshot snapshot;
        try (InputStream fileIn = new BufferedInputStream(Files.newInputStream(file))) {
            RecordInputStream record = new RecordInputStream(fileIn, Files.size(file));
            snapshot = decode(record);
            if (!record.matchesChecksum()) {
                throw new IOException("the checksum does not match");
            }
        } catch (IOException e) {
            throw new CorruptDataException(
                    file, 0, "the snapshot is incomplete or does not match its checksum");
        }
        if (snapshot.index() != index) {
            throw new CorruptDataException(
                    file, 0, "the file contains the snapshot of index " + snapshot.index());
        }
        return snapshot;
    }

    private synchronized Snapshot decode(RecordInputStream record) throws IOException {
        DataInputStream in = new DataInputStream(record);
        epoch = in.readLong();
        long index = in.readLong();
        long term = in.readLong();
        GroupConfiguration configuration = GroupConfiguration.readFrom(in);
        byte[] data = new byte[record.available()];
        in.readFully(data);
        return new Snapshot(index, term, configuration, data);
    }

    private void encode(Snapshot snapshot, long snapshotEpoch, FileChannel channel)
            throws IOException {
        RecordOutputStream record = new RecordOutputStream(files, channel);
        DataOutputStream out = new DataOutputStream(record);
        out.writeLong(snapshotEpoch);
        out.writeLong(snapshot.index());
        out.writeLong(snapshot.term());
        snapshot.configuration().writeTo(out);
        try (InputStream data = snapshot.data().open()) {
            data.transferTo(out);
        }
        record.finish();
    }

    /** Writes a snapshot's file under a temporary name, before the request for it. */
    void prepare(Snapshot snapshot) throws IOException {
        long snapshotEpoch = beginPreparation();
        files.writeNew(
                files.resolve(PREPARED), channel -> encode(snapshot, snapshotEpoch, channel));
        synchronized (this) {
            prepared = snapshot;
        }
    }

    private synchronized long beginPreparation() {
        prepared = null;
        preparedEpoch = epoch;
        return epoch;
    }

    /** Whether the prepared file contains this snapshot. A prepared file can be used only once. */
    private synchronized boolean takePrepared(Snapshot snapshot, boolean discardsLog) {
        boolean matches =
                !discardsLog
                        && prepared != null
                        && preparedEpoch == epoch
                        && prepared.index() == snapshot.index()
                        && prepared.term() == snapshot.term()
                        && prepared.configuration().equals(snapshot.configuration())
                        && prepared.data() == snapshot.data();
        prepared = null;
        return matches;
    }

    /**
     * Writes a snapshot durably: it is on disk once this returns.
     *
     * @param discardsLog whether the snapshot replaces the whole log: also the entries after its
     *     index, as in a snapshot from the leader whose last entry this log does not have. The file
     *     then contains the next epoch, which makes all existing log files invalid. If false, the
     *     entries after the snapshot's index remain valid, and the file contains the current epoch.
     */
    void write(Snapshot snapshot, boolean discardsLog) throws IOException {
        Path file = files.resolve(PREFIX + snapshot.index());
        if (takePrepared(snapshot, discardsLog)) {
            files.rename(files.resolve(PREPARED), file);
        } else {
            long snapshotEpoch = discardsLog ? epoch() + 1 : epoch();
            files.replace(file, channel -> encode(snapshot, snapshotEpoch, channel));
        }
    }

    void deleteBefore(long index) throws IOException {
        try (Stream<Path> allFiles = Files.list(files.directory())) {
            for (Path file : allFiles.toList()) {
                String name = file.getFileName().toString();
                if (isSnapshot(name) && indexOf(name) < index) {
                    Files.delete(file);
                }
            }
        }
    }
}
