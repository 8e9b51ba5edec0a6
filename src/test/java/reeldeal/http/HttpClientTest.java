package reeldeal.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against bytes after a response that are taken as the response to a later call. */
class HttpClientTest {
    private static final int TIMEOUT_MS = 10_000;

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private ServerSocket server;
    private HttpClient client;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        server.setSoTimeout(TIMEOUT_MS);
        client = new HttpClient(group, (InetSocketAddress) server.getLocalSocketAddress(), 1_000);
    }

    @AfterEach
    void close() throws IOException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        server.close();
    }

    private CompletableFuture<HttpClient.Result> call() {
        CompletableFuture<HttpClient.Result> result = new CompletableFuture<>();
        group.next()
                .execute(
                        () ->
                                client.call(
                                        "GET",
                                        "/",
                                        Map.of(),
                                        () -> new byte[0],
                                        TIMEOUT_MS,
                                        result::complete));
        return result;
    }

    private static String response(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static void readRequest(Socket socket) throws IOException {
        socket.setSoTimeout(TIMEOUT_MS);
        StringBuilder request = new StringBuilder();
        while (request.indexOf("\r\n\r\n") < 0) {
            request.append((char) socket.getInputStream().read());
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void assertBody(String body, CompletableFuture<HttpClient.Result> result)
            throws Exception {
        HttpClient.Responded responded =
                assertInstanceOf(
                        HttpClient.Responded.class, result.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(body, new String(responded.message().body(), StandardCharsets.US_ASCII));
    }

    /** Answers a first call with these bytes, and a second one, on a new connection, with "2". */
    private void assertSecondCallGetsItsOwnResponse(String firstBytes) throws Exception {
        CompletableFuture<HttpClient.Result> first = call();
        try (Socket connection = server.accept()) {
            write(connection, firstBytes);
            assertBody("1", first);
            assertSecondCall();
        }
    }

    private void assertSecondCall() throws Exception {
        CompletableFuture<HttpClient.Result> second = call();
        try (Socket connection = server.accept()) {
            write(connection, response("2"));
            assertBody("2", second);
        }
    }

    @Test
    void aResponseThatIsRepeatedInTheSameRead() throws Exception {
        assertSecondCallGetsItsOwnResponse(response("1") + response("1"));
    }

    @Test
    void theBeginningOfAnotherResponseInTheSameRead() throws Exception {
        assertSecondCallGetsItsOwnResponse(response("1") + "HTTP/1.1 200 OK\r\nContent-");
    }

    @Test
    void aRepeatedResponseInALaterRead() throws Exception {
        assertLaterBytesEndTheConnection(response("1"));
    }

    @Test
    void anIncompleteResponseInALaterRead() throws Exception {
        assertLaterBytesEndTheConnection("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n");
    }

    private void assertLaterBytesEndTheConnection(String bytes) throws Exception {
        CompletableFuture<HttpClient.Result> first = call();
        try (Socket connection = server.accept()) {
            write(connection, response("1"));
            assertBody("1", first);
            write(connection, bytes);
            connection.setSoTimeout(TIMEOUT_MS);
            connection.getInputStream().transferTo(OutputStream.nullOutputStream());
            assertSecondCall();
        }
    }

    @Test
    void anInterimResponseIsSkipped() throws Exception {
        CompletableFuture<HttpClient.Result> first = call();
        try (Socket connection = server.accept()) {
            write(connection, "HTTP/1.1 100 Continue\r\n\r\n" + response("1"));
            assertBody("1", first);
        }
    }

    @Test
    void aConnectionWithoutFurtherBytesIsKept() throws Exception {
        CompletableFuture<HttpClient.Result> first = call();
        try (Socket connection = server.accept()) {
            readRequest(connection);
            write(connection, response("1"));
            assertBody("1", first);
            CompletableFuture<HttpClient.Result> second = call();
            readRequest(connection);
            write(connection, response("2"));
            assertBody("2", second);
        }
    }
}
