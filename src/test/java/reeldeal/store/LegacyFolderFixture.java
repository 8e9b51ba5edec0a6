package reeldeal.store;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Writes a data directory in the format of program version 0.3. */
final class LegacyFolderFixture {
    private LegacyFolderFixture() {}

    static void write(Path folder, long promisedTerm, String promisedTo, List<LegacyEntry> entries)
            throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("term"), promisedTerm + " " + promisedTo + "\n");
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(log);
        for (LegacyEntry entry : entries) {
            byte[] bytes = encode(entry);
            out.writeInt(bytes.length);
            out.writeInt(LegacyLogFile.checksum(bytes));
            out.write(bytes);
        }
        Files.write(folder.resolve("log"), log.toByteArray());
    }

    private static byte[] encode(LegacyEntry entry) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(entry.term());
        out.writeLong(entry.version());
        out.writeInt(entry.changes().size());
        for (Change change : entry.changes()) {
            writeText(out, change.key());
            out.writeBoolean(change.value() != null);
            if (change.value() != null) {
                writeText(out, change.value());
            }
        }
        return bytes.toByteArray();
    }

    private static void writeText(DataOutputStream out, String text) throws IOException {
        byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(utf8.length);
        out.write(utf8);
    }
}
