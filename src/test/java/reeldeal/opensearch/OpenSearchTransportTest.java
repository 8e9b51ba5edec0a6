package reeldeal.opensearch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reeldeal.core.AttemptEnd;
import reeldeal.core.AttemptEnd.Reach;
import reeldeal.core.Effect;
import reeldeal.core.Event;
import reeldeal.core.Request;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.EndpointState;

/**
 * Guards against a repeated {@code _msearch} response that is taken as the response to a later
 * call, and against the report that an attempt has ended while its searcher still holds it.
 */
class OpenSearchTransportTest {
    private static final int TIMEOUT_S = 10;
    private static final int CALLS = 4;
    private static final int NO_EVENT_MS = 300;

    /** The text of a query that the searcher does not answer until it is told to. */
    private static final String SILENT = "silent";

    private static final Pattern TEXT = Pattern.compile("\"query_string\":\\{\"query\":\"(\\w+)\"");

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final BlockingQueue<Event> events = new ArrayBlockingQueue<>(100);
    private final OpenSearchTransport transport =
            new OpenSearchTransport(group, 1_000, () -> 0, events::add);
    private final BlockingQueue<Socket> silentCalls = new ArrayBlockingQueue<>(10);
    private final BlockingQueue<Socket> endedCalls = new ArrayBlockingQueue<>(10);
    private ServerSocket server;
    private Searcher searcher;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        String address = "127.0.0.1:" + server.getLocalPort();
        searcher = new Searcher("s", address, "a", "archive", 0, 0, 1, EndpointState.READY);
        startThread(
                () -> {
                    while (true) {
                        Socket connection = server.accept();
                        startThread(() -> serve(connection));
                    }
                });
    }

    @AfterEach
    void close() throws IOException {
        group.next().execute(transport::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        server.close();
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startThread(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                return; // the test or the broker has closed the socket
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Answers calls with their own text; repeats the last response once the next call arrives. */
    private void serve(Socket connection) throws IOException {
        byte[] lastResponse = {};
        while (true) {
            String call = readCall(new DataInputStream(connection.getInputStream()));
            Matcher text = TEXT.matcher(call);
            String value = text.find() ? text.group(1) : "probe";
            if (value.equals(SILENT)) {
                silentCalls.add(connection);
                awaitEnd(connection);
                endedCalls.add(connection);
                return;
            }
            connection.getOutputStream().write(lastResponse);
            lastResponse = response(value);
            connection.getOutputStream().write(lastResponse);
        }
    }

    private static void readUntilEnd(Socket connection) throws IOException {
        connection.getInputStream().transferTo(OutputStream.nullOutputStream());
    }

    private static void awaitEnd(Socket connection) {
        try {
            readUntilEnd(connection);
        } catch (IOException e) {
            return; // the broker has reset the connection, which ends the call as well
        }
    }

    private static String readCall(DataInputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.readByte());
        }
        Matcher length = Pattern.compile("(?i)content-length: *(\\d+)").matcher(head);
        byte[] body = new byte[length.find() ? Integer.parseInt(length.group(1)) : 0];
        in.readFully(body);
        return new String(body, StandardCharsets.UTF_8);
    }

    private static byte[] response(String value) {
        return response(List.of(value));
    }

    private static byte[] response(List<String> values) {
        String body =
                values.stream()
                        .map(
                                value ->
                                        "{\"hits\":{\"hits\":[{\"_id\":\""
                                                + value
                                                + "\"}]},\"status\":200}")
                        .collect(Collectors.joining(",", "{\"responses\":[", "]}"));
        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.UTF_8);
    }

    private static Effect.Send send(long id, String text) {
        Request request = new Request(id, "q" + id, 0, null, 5_000, false, text, List.of());
        return new Effect.Send(id, 0, request, 0, 5_000, Double.POSITIVE_INFINITY, null);
    }

    private void call(long id, String text) {
        call(send(id, text));
    }

    private void call(Effect.Send... sends) {
        group.next().execute(() -> transport.call(new Effect.Call(searcher, List.of(sends))));
    }

    private void abandon(long id) {
        group.next().execute(() -> transport.abandon(new Effect.Abandon(id, 0, false)));
    }

    /** Sends one call with two shard requests and returns its connection at the searcher. */
    private Socket callThatIsNotAnswered() throws InterruptedException {
        call(send(1, SILENT), send(2, SILENT));
        return silentCalls.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private void assertAbandoned(long id) throws InterruptedException {
        Event.AttemptEnded ended = nextEvent(Event.AttemptEnded.class);
        assertEquals(id, ended.shardRequestId());
        assertEquals(new AttemptEnd.Abandoned(Reach.SENT, false), ended.end());
    }

    private <T extends Event> T nextEvent(Class<T> type) throws InterruptedException {
        return assertInstanceOf(type, events.poll(TIMEOUT_S, TimeUnit.SECONDS));
    }

    @Test
    void aResponseRepeatedDuringTheNextCall() throws Exception {
        for (int id = 1; id <= CALLS; id++) {
            call(id, "text" + id);
            Event.AttemptEnded ended = nextEvent(Event.AttemptEnded.class);
            assertEquals(id, ended.shardRequestId());
            AttemptEnd.Served served = assertInstanceOf(AttemptEnd.Served.class, ended.end());
            assertEquals("text" + id, served.value());
        }
    }

    @Test
    void aResponseRepeatedDuringAProbe() throws Exception {
        call(1, "text1");
        nextEvent(Event.AttemptEnded.class);
        group.next().execute(() -> transport.probe(new Effect.Probe(searcher)));
        nextEvent(Event.Probed.class);
        call(2, "text2");
        Event.AttemptEnded ended = nextEvent(Event.AttemptEnded.class);
        assertEquals("text2", ((AttemptEnd.Served) ended.end()).value());
    }

    @Test
    void anAbandonedShardRequestIsInFlightWhileItsCallHasOthers() throws Exception {
        callThatIsNotAnswered();
        abandon(1);
        assertNull(events.poll(NO_EVENT_MS, TimeUnit.MILLISECONDS));
        assertTrue(endedCalls.isEmpty());
        abandon(2);
        assertAbandoned(1);
        assertAbandoned(2);
        assertInstanceOf(Socket.class, endedCalls.poll(TIMEOUT_S, TimeUnit.SECONDS));
    }

    @Test
    void anAbandonedShardRequestOfACallThatIsAnsweredIsServed() throws Exception {
        Socket connection = callThatIsNotAnswered();
        abandon(1);
        connection.getOutputStream().write(response(List.of("first", "second")));
        for (String value : List.of("first", "second")) {
            AttemptEnd end = nextEvent(Event.AttemptEnded.class).end();
            assertEquals(value, assertInstanceOf(AttemptEnd.Served.class, end).value());
        }
    }

    @Test
    void aShardRequestThatIsNoLongerNeededDoesNotKeepAnAbandonedOneInFlight() throws Exception {
        callThatIsNotAnswered();
        group.next().execute(() -> transport.withdraw(new Effect.Withdraw(1, 0)));
        abandon(2);
        nextEvent(Event.AttemptEnded.class);
        assertAbandoned(2);
        assertInstanceOf(Socket.class, endedCalls.poll(TIMEOUT_S, TimeUnit.SECONDS));
    }
}
