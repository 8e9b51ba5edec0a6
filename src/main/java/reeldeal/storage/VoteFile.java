package reeldeal.storage;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;

/**
 * The file {@code promise}, which contains the current term and the vote of the node in that term.
 */
final class VoteFile {
    private static final String FILE = "promise";

    private final DurableFiles files;
    private long term;
    private String vote;

    VoteFile(DurableFiles files) {
        this.files = files;
    }

    long term() {
        return term;
    }

    /** Returns the vote in the current term, or null. */
    String vote() {
        return vote;
    }

    /** Reads the file. Without a file, the term is 0 and there is no vote. */
    void recover() throws IOException {
        Path file = files.resolve(FILE);
        if (!Files.exists(file)) {
            return;
        }
        ChecksummedRecords.ReadResult result = ChecksummedRecords.read(Files.readAllBytes(file), 0);
        if (result.kind() != ChecksummedRecords.Kind.RECORD) {
            // The file was complete before it was renamed, so a crash cannot cause this.
            throw new CorruptDataException(
                    file, 0, "the file is incomplete or does not match its checksum");
        }
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(result.bytes()));
        term = in.readLong();
        vote = in.readBoolean() ? in.readUTF() : null;
    }

    /** Writes the term and vote if they changed; they are on disk once this returns. */
    void update(long newTerm, String newVote) throws IOException {
        if (newTerm == term && Objects.equals(newVote, vote)) {
            return;
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(newTerm);
        out.writeBoolean(newVote != null);
        if (newVote != null) {
            out.writeUTF(newVote);
        }
        files.replace(files.resolve(FILE), ChecksummedRecords.encode(bytes.toByteArray()));
        term = newTerm;
        vote = newVote;
    }
}
