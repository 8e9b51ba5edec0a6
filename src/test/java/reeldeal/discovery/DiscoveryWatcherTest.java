package reeldeal.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import reeldeal.core.Event;
import reeldeal.faultinjection.TextCodec;

/** Tests polls on connections that become silent, close without an answer, or close within one. */
public class DiscoveryWatcherTest {

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private ServerSocket server;
    private DiscoveryWatcher watcher;

    @Before
    public void listen() throws Exception {
        server = new ServerSocket(0, 9, InetAddress.getLoopbackAddress());
        server.setSoTimeout(20_000);
        watcher =
                new DiscoveryWatcher(
                        group,
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(), server.getLocalPort()),
                        7,
                        events::add,
                        line -> {},
                        () -> {},
                        300);
        group.next().submit(watcher::start).sync();
    }

    @After
    public void stop() throws Exception {
        group.next().submit(watcher::stop).sync();
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String list(int index, boolean complete, String name) {
        return String.format(
                "{\"index\":%d,\"snapshot\":%b,\"endpoints\":[\n  {\"name\":\"%s\",\"address\":\"h:1\","
                        + "\"zone\":\"a\",\"type\":\"\",\"group\":0,\"status\":\"ready\"}\n]}",
                index, complete, name);
    }

    private static void answer(Socket to, String body) throws IOException {
        write(to, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private static void write(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readTarget(Socket from) throws IOException {
        from.setSoTimeout(20_000);
        return TextCodec.readHead(from.getInputStream()).split(" ")[1];
    }

    private String nextName() throws InterruptedException {
        Event event = events.poll(20, TimeUnit.SECONDS);
        return event instanceof Event.EndpointsChanged changed
                ? changed.entries().get(0).name()
                : String.valueOf(event);
    }

    @Test
    public void aPollThatIsNotAnsweredIsRepeatedOnANewConnectionWithAShortWait() throws Exception {
        try (Socket silent = server.accept()) {
            assertEquals("/catalog/members", readTarget(silent));
            answer(silent, list(3, true, "s"));
            assertEquals("s", nextName());
            // This poll is never answered, although the connection stays open.
            String target = readTarget(silent);
            assertTrue(target, target.startsWith("/catalog/members?since=3&timeout_ms="));
            try (Socket fresh = server.accept()) {
                assertEquals("/catalog/members?since=3&timeout_ms=100", readTarget(fresh));
                answer(fresh, list(4, false, "t"));
                assertEquals("t", nextName());
                assertTrue(readTarget(fresh).startsWith("/catalog/members?since=4&timeout_ms=2"));
            }
        }
    }

    @Test
    public void evenAfterTwoLostPollsAChangeArrivesBeforeItsDeadline() {
        assertTrue(
                DiscoveryWatcher.POLL_WAIT_MS
                                + DiscoveryWatcher.ANSWER_TIMEOUT_MS
                                + DiscoveryWatcher.RETRY_DELAY_MS
                                + DiscoveryWatcher.ANSWER_TIMEOUT_MS
                                + DiscoveryWatcher.RETRY_DELAY_MS
                        < DiscoveryWatcher.CHANGE_DEADLINE_MS);
    }

    @Test
    public void anAnswerWithoutLengthIsCompleteAtTheEndOfItsConnectionUnlessThatIsReset()
            throws Exception {
        try (Socket reset = server.accept()) {
            readTarget(reset);
            write(reset, "HTTP/1.1 200 OK\r\n\r\n" + list(3, true, "lost"));
            group.next().submit(() -> {}).sync();
            reset.setSoLinger(true, 0);
        }
        try (Socket complete = server.accept()) {
            assertEquals("/catalog/members", readTarget(complete));
            write(complete, "HTTP/1.1 200 OK\r\n\r\n" + list(4, true, "s"));
        }
        assertEquals("s", nextName());
        try (Socket next = server.accept()) {
            assertTrue(readTarget(next).startsWith("/catalog/members?since=4&"));
        }
    }

    @Test
    public void aPollWhoseConnectionEndsIsRepeatedFromTheSameIndex() throws Exception {
        try (Socket first = server.accept()) {
            readTarget(first);
            answer(first, list(3, true, "s"));
            assertEquals("s", nextName());
            readTarget(first);
        }
        try (Socket second = server.accept()) {
            assertEquals("/catalog/members?since=3&timeout_ms=100", readTarget(second));
            answer(second, list(9, true, "t"));
            assertEquals("t", nextName());
        }
    }
}
