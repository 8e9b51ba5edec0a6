package reeldeal.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** A server's bound on the memory of what it reads. */
public class HttpServerTest {
    private static final String HEAD = "POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n";

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final HttpServer server = new HttpServer(8, 100_000, (message, exchange) -> {
        if (message.path().equals("/fault")) {
            throw new IllegalStateException("a front's fault");
        }
        exchange.respond(200, Map.of(), String.valueOf(message.body().length).getBytes(StandardCharsets.US_ASCII));
    });

    @Before
    public void listen() throws Exception {
        server.listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync();
    }

    @After
    public void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Socket client() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.address().getPort());
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static void write(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String start(Socket from) throws IOException {
        return new String(from.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
    }

    @Test
    public void aMessageBeyondTheBoundIsTurnedAwayAndTheOthersGoOn() throws Exception {
        try (Socket first = client(); Socket second = client()) {
            write(first, HEAD + "x".repeat(59_999));
            while (group.next().submit(server::heldBytes).sync().getNow() < 60_000) {
                Thread.sleep(1);
            }
            write(second, HEAD + "x".repeat(59_000));
            assertEquals("HTTP/1.1 503", start(second));
            write(first, "x");
            assertEquals("HTTP/1.1 200", start(first));
        }
    }

    @Test
    public void anOversizeBodyGetsItsAnswerThoughItIsNotRead() throws Exception {
        try (Socket socket = client()) {
            write(socket, HEAD.replace("60000", "70000") + "x".repeat(70_000));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(answer, answer.startsWith("HTTP/1.1 413 ") && answer.indexOf("HTTP/1.1", 1) < 0);
        }
    }

    @Test
    public void aFaultOfTheFrontIsAnsweredAndStopsAtItsConnection() throws Exception {
        try (Socket bad = client(); Socket good = client()) {
            write(bad, "GET /fault HTTP/1.1\r\n\r\n");
            assertEquals("HTTP/1.1 500", start(bad));
            write(good, "GET / HTTP/1.1\r\n\r\n");
            assertEquals("HTTP/1.1 200", start(good));
        }
    }
}
