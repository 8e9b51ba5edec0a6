package reeldeal.faultinjection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Free ports of a range of ports. The first port of the range stays bound until this is closed, so
 * that two concurrent runs never use the same range.
 */
public final class PortRange implements AutoCloseable {
    // Below the ephemeral ports of the operating system. Otherwise a connection could take the port
    // of a broker while that broker restarts.
    private static final int FIRST_PORT = 10_000;
    private static final int LAST_PORT = 32_000;
    private static final int RANGE_SIZE = 256;

    private final List<Integer> free = new ArrayList<>();
    private final ServerSocket guard;

    /**
     * Finds a range that no other process uses.
     *
     * @param count the number of ports, below 256
     * @throws IOException if no range has so many free ports
     */
    public PortRange(int count) throws IOException {
        for (int base = FIRST_PORT; base < LAST_PORT; base += RANGE_SIZE) {
            ServerSocket rangeGuard;
            try {
                rangeGuard = new ServerSocket(base, 1, InetAddress.getLoopbackAddress());
            } catch (IOException taken) {
                continue;
            }
            free.clear();
            for (int port = base + 1; port < base + RANGE_SIZE && free.size() < count; port++) {
                if (isFree(port)) {
                    free.add(port);
                }
            }
            if (free.size() == count) {
                guard = rangeGuard;
                return;
            }
            rangeGuard.close();
        }
        throw new IOException(
                "no range of "
                        + RANGE_SIZE
                        + " ports from "
                        + FIRST_PORT
                        + " on has "
                        + count
                        + " free ports below "
                        + LAST_PORT);
    }

    /** Returns the free ports, as many as asked for. */
    public List<Integer> ports() {
        return List.copyOf(free);
    }

    private static boolean isFree(int port) {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return probe.getLocalPort() == port;
        } catch (IOException taken) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        guard.close();
    }
}
