package reeldeal.store;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Reads and writes byte arrays and UTF-8 text with a length prefix, the encoding used in the
 * store's commands, snapshots and messages.
 */
final class ByteBlocks {
    private ByteBlocks() {}

    static void write(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    static void writeText(DataOutputStream out, String text) throws IOException {
        write(out, text.getBytes(StandardCharsets.UTF_8));
    }

    static byte[] read(DataInputStream in) throws IOException {
        return in.readNBytes(readCount(in));
    }

    static String readText(DataInputStream in) throws IOException {
        return new String(read(in), StandardCharsets.UTF_8);
    }

    /**
     * Reads a length or a number of elements; throws IOException if it is negative or exceeds the
     * number of bytes that follow, so that malformed input cannot cause a huge allocation.
     */
    static int readCount(DataInputStream in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > in.available()) {
            throw new IOException("impossible count " + count);
        }
        return count;
    }
}
