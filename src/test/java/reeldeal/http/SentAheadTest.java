package reeldeal.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Guards against clients that send much ahead: what is sent on after they left, and memory. */
class SentAheadTest {
    private static final int TURN_BYTES = 64 * 1024;
    private static final int SENT_AHEAD_BYTES = 144 * 1024;
    private static final int OUTDATED_MS = 51;
    private static final int HANDLING_NANOS = 20_000;
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    private final AtomicLong now = new AtomicLong();
    private final List<Exchange> handled = new ArrayList<>();
    private final AtomicInteger disconnects = new AtomicInteger();
    private final ServerConnection connection =
            new ServerConnection(
                    new MemoryBudget(1 << 20), this::handle, now::get, 0, new OpenServer());
    private final EmbeddedChannel channel = new EmbeddedChannel(connection);

    private void handle(HttpMessage message, Exchange exchange) {
        exchange.onDisconnect(disconnects::incrementAndGet);
        handled.add(exchange);
    }

    /** A server that stays open and on time. */
    private static final class OpenServer implements ServerConnection.Listener {
        @Override
        public boolean admit(ServerConnection admitted) {
            return true;
        }

        @Override
        public void responseWritten() {}

        @Override
        public boolean isServerClosing() {
            return false;
        }

        @Override
        public long lagMs() {
            return 0;
        }

        @Override
        public void disconnected(ServerConnection disconnected, ConnectionClosed closed) {}
    }

    private static String request(String path) {
        return "GET " + path + " HTTP/1.1\r\n\r\n";
    }

    /** Lets the connection read a text in one turn. */
    private void read(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        channel.runPendingTasks();
    }

    private String written() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            text.append(part.toString(StandardCharsets.US_ASCII));
        }
        return text.toString();
    }

    private void respond(int request) {
        handled.get(request).respond(200, Map.of(), new byte[0]);
        channel.runPendingTasks();
    }

    @Test
    void aRequestWaitsUntilItIsKnownThatItsClientHasNotLeft() {
        read(request("/first"));
        read(request("/second") + "\r\n".repeat(TURN_BYTES / 2));
        now.addAndGet(OUTDATED_MS);
        respond(0);
        assertEquals(1, handled.size(), "passed on although input is left that was not read");
        read("\r\n");
        assertEquals(2, handled.size());
    }

    @Test
    void theRequestOfAClientThatSendsFasterThanItIsReadIsGivenUp() {
        read(request("/first"));
        for (int bytes = 0; bytes <= SENT_AHEAD_BYTES; bytes += TURN_BYTES) {
            read(request("/next").repeat(TURN_BYTES / request("/next").length() + 1));
        }
        assertEquals(0, disconnects.get());
        now.addAndGet(OUTDATED_MS);
        read(request("/next").repeat(TURN_BYTES / request("/next").length() + 1));
        assertEquals(1, disconnects.get());
        assertTrue(written().startsWith("HTTP/1.1 500 "));
        assertEquals(1, handled.size(), "a request was passed on that may have no client");
    }

    @Test
    void aClientThatSendsMuchAtOnceIsReadInTurnsWithOthers() {
        String emptyLines = "\r\n".repeat(TURN_BYTES / 2);
        ByteBuf input = Unpooled.copiedBuffer(emptyLines, StandardCharsets.US_ASCII);
        channel.pipeline().fireChannelRead(input);
        assertFalse(channel.config().isAutoRead());
        channel.pipeline().fireChannelReadComplete();
        assertFalse(channel.config().isAutoRead());
        channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertTrue(channel.config().isAutoRead());
    }

    @Test
    void requestsThatAreAnsweredAtOnceAreNotReadFarAhead() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        HttpServer server = new HttpServer(8, 8 << 20, SentAheadTest::respondSlowly);
        server.listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync();
        int requests = 60_000;
        try (Socket client =
                new Socket(InetAddress.getLoopbackAddress(), server.address().getPort())) {
            client.setSoTimeout(20_000);
            new Thread(() -> write(client, request("/").repeat(requests))).start();
            long mostBytes = 0;
            for (int answered = 0; answered < requests; answered += 100) {
                client.getInputStream().skipNBytes(100L * RESPONSE.length());
                long bytes = group.next().submit(server::usedMemoryBytes).sync().getNow();
                mostBytes = Math.max(mostBytes, bytes);
            }
            int doubled = 2 * (SENT_AHEAD_BYTES + TURN_BYTES);
            assertTrue(mostBytes <= doubled, mostBytes + " bytes buffered");
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static void respondSlowly(HttpMessage message, Exchange exchange) {
        long until = System.nanoTime() + HANDLING_NANOS;
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        exchange.respond(200, Map.of(), new byte[0]);
    }

    private static void write(Socket client, String text) {
        try {
            client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            throw new AssertionError("the server has closed the connection", e);
        }
    }
}
