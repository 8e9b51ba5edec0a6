package reeldeal.faultinjection.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;

/**
 * Makes system calls of one broker process fail at given rates, through a preloaded library. The
 * rates take effect at once, since the process and this JVM share a mapped file. Thread-safe.
 */
public final class SyscallFaults {
    /** A kind of failure, with its number in {@code enum fault} of syscall_faults.c. */
    public enum Kind {
        /** accept fails with ECONNABORTED, EMFILE, ENFILE, ENOBUFS or ENOMEM. */
        FAIL_ACCEPT(0),
        /** socket fails with EMFILE, ENFILE, ENOBUFS or ENOMEM. */
        FAIL_SOCKET(1),
        /** connect fails with EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH or ETIMEDOUT. */
        FAIL_CONNECT(2),
        /** A wait for events ends with EINTR. */
        INTERRUPT_WAIT(3),
        /** A socket gives fewer bytes than it has. */
        SHORT_READ(4),
        /** A socket takes fewer bytes than it is given. */
        SHORT_WRITE(5),
        /** A write to a file fails with ENOSPC or EIO. */
        FAIL_FILE_WRITE(6),
        /** A sync of a file fails with EIO. */
        FAIL_FILE_SYNC(7),
        /** A connection that the process opened breaks: ETIMEDOUT, EHOSTUNREACH or ECONNRESET. */
        BREAK_CONNECTION(8),
        /** A read from a socket ends with EINTR. */
        INTERRUPT_READ(9),
        /** A wait for events returns 30 ms late. */
        DELAY_WAIT(10),
        /**
         * Half of a write to a file happens, and its thread never goes on; for use before a kill.
         */
        TEAR_FILE_WRITE(11),
        /** A write to a file takes only the first bytes, and says so. */
        SHORT_FILE_WRITE(12);

        private final int index;

        Kind(int index) {
            this.index = index;
        }
    }

    private static final int MAX_FAULTS = 16;
    private static final int WALL_OFFSET_AT = 4 * MAX_FAULTS;
    private static final int INJECTED_AT = WALL_OFFSET_AT + 8;
    private static final int READ_BY_PORT_AT = INJECTED_AT + 4 * MAX_FAULTS + 4 * 30;
    private static final int PORTS = 65_536;
    private static final int WRITES_BY_PORT_AT = READ_BY_PORT_AT + 4 * PORTS;
    private static final int WRITES = 16;
    private static final int WRITE_BYTES = 16;
    private static final int CONTROL_BYTES = WRITES_BY_PORT_AT + WRITE_BYTES * WRITES * PORTS;
    private static final int MAX_PERMILLE = 1_000;

    private final Path library;
    private final Path controlFile;
    private final MappedByteBuffer control;

    private SyscallFaults(Path library, Path controlFile) throws IOException {
        this.library = library;
        this.controlFile = controlFile;
        try (FileChannel channel =
                FileChannel.open(
                        controlFile,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE)) {
            control = channel.map(FileChannel.MapMode.READ_WRITE, 0, CONTROL_BYTES);
        }
        control.order(ByteOrder.nativeOrder());
    }

    /**
     * Compiles the library with the machine's C compiler.
     *
     * @param folder an existing folder for the library and its source
     * @return the library's path
     * @throws IOException if there is no compiler or the compilation fails
     */
    public static Path compile(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve("syscall_faults.c");
        try (InputStream in = SyscallFaults.class.getResourceAsStream("syscall_faults.c")) {
            Files.write(source, in.readAllBytes());
        }
        Path library = folder.resolve("syscall_faults.so").toAbsolutePath();
        Process compiler =
                new ProcessBuilder(
                                List.of(
                                        "cc",
                                        "-O1",
                                        "-shared",
                                        "-fPIC",
                                        "-o",
                                        library.toString(),
                                        source.toString(),
                                        "-ldl"))
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve("cc.log").toFile())
                        .start();
        if (compiler.waitFor() != 0) {
            throw new IOException("cc failed: " + Files.readString(folder.resolve("cc.log")));
        }
        return library;
    }

    /** Creates the faults of a process that is not started yet, without any fault. */
    public static SyscallFaults create(Path library, Path controlFile) throws IOException {
        return new SyscallFaults(library, controlFile);
    }

    /** Returns the environment variables that the process must be started with. */
    public Map<String, String> environment(long seed) {
        return Map.of(
                "LD_PRELOAD", library.toString(),
                "REELDEAL_FAULT_CONTROL", controlFile.toAbsolutePath().toString(),
                "REELDEAL_FAULT_SEED", String.valueOf(seed));
    }

    /** Sets how many of a thousand calls of a kind fail, 0 to 1000. */
    public void setPermille(Kind kind, int permille) {
        if (permille < 0 || permille > MAX_PERMILLE) {
            throw new IllegalArgumentException("permille: expected 0 to 1000, found " + permille);
        }
        control.putInt(4 * kind.index, permille);
    }

    /** Sets how far the wall clock of the process is ahead, ms; negative if it is behind. */
    public void setWallOffsetMs(long offsetMs) {
        control.putLong(WALL_OFFSET_AT, offsetMs);
    }

    /** Ends all faults of system calls; the wall clock keeps its offset. */
    public void clear() {
        for (Kind kind : Kind.values()) {
            setPermille(kind, 0);
        }
    }

    /** Returns how many calls of a kind have failed so far. */
    public int injected(Kind kind) {
        return control.getInt(INJECTED_AT + 4 * kind.index);
    }

    /**
     * Returns how many bytes the process has read from accepted connections of this port of the
     * peer, modulo 2^32.
     */
    public int bytesRead(int peerPort) {
        return control.getInt(READ_BY_PORT_AT + 4 * peerPort);
    }

    /**
     * Returns when the process wrote the last of the first bytes of the connection that it opened
     * from this port, by {@link System#nanoTime}; 0 if that is not known any more.
     *
     * @param bytes the number of those bytes, at least 1
     */
    public long writtenAtNanos(int ownPort, long bytes) {
        long endOffset = Long.MAX_VALUE;
        long writtenAt = 0;
        for (int i = 0; i < WRITES; i++) {
            int at = WRITES_BY_PORT_AT + WRITE_BYTES * (WRITES * ownPort + i);
            long end = control.getLong(at);
            if (end >= bytes && end < endOffset) {
                endOffset = end;
                writtenAt = control.getLong(at + 8);
            }
        }
        return writtenAt;
    }
}
