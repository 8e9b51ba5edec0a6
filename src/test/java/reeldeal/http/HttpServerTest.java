package reeldeal.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** A server's bound on the memory of what it reads. */
public class HttpServerTest {
    private static final String HEAD = "POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n";

    @Test
    public void aMessageBeyondTheBoundIsTurnedAwayAndTheOthersGoOn() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        HttpServer server = new HttpServer(8, 100_000, (message, exchange) ->
                exchange.respond(200, Map.of(), String.valueOf(message.body().length)
                        .getBytes(StandardCharsets.US_ASCII)));
        server.listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync();
        try (Socket first = new Socket(InetAddress.getLoopbackAddress(), server.address().getPort());
                Socket second = new Socket(InetAddress.getLoopbackAddress(), server.address().getPort())) {
            first.setSoTimeout(20_000);
            second.setSoTimeout(20_000);
            first.getOutputStream().write((HEAD + "x".repeat(59_999)).getBytes(StandardCharsets.US_ASCII));
            while (group.next().submit(server::heldBytes).sync().getNow() < 60_000) {
                Thread.sleep(1);
            }
            // Its reset may come before its answer is read; either way it is not served.
            second.getOutputStream().write((HEAD + "x".repeat(59_000)).getBytes(StandardCharsets.US_ASCII));
            ByteArrayOutputStream got = new ByteArrayOutputStream();
            try {
                second.getInputStream().transferTo(got);
            } catch (java.net.SocketException e) {
                got.writeBytes(new byte[0]);
            }
            assertTrue(got.toString(), got.size() == 0 || got.toString().startsWith("HTTP/1.1 503 "));
            first.getOutputStream().write('x');
            byte[] answer = first.getInputStream().readNBytes("HTTP/1.1 200 OK".length());
            assertEquals("HTTP/1.1 200 OK", new String(answer, StandardCharsets.US_ASCII));
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
