package reeldeal.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import reeldeal.dns.Message;
import reeldeal.dns.MessageWriter;
import reeldeal.dns.Rcode;
import reeldeal.dns.Rr;
import reeldeal.dns.TransferIn;
import reeldeal.dns.Tsig;
import reeldeal.dns.Zone;
import reeldeal.zones.PeerLink;

/**
 * A blocking DNS client with one TCP connection to a name server. It has one request in flight at a
 * time, signed if there is a key. Used by one thread; the connection's events arrive on another.
 */
final class DnsClient implements AutoCloseable, PeerLink.Listener {
    private static final int MAX_TRANSFER_RECORDS = 10_000_000;

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final LinkedBlockingQueue<Object> events = new LinkedBlockingQueue<>();
    private final InetSocketAddress server;
    private final Tsig.Key key;
    private final long timeoutMs;
    private final PeerLink link;
    private byte[] requestMac;

    DnsClient(InetSocketAddress server, Tsig.Key key, long timeoutMs)
            throws Commands.CommandFailedException {
        this.server = server;
        this.key = key;
        this.timeoutMs = timeoutMs;
        this.link = PeerLink.connector(group).connect(server, this);
        try {
            awaitEvent();
        } catch (Commands.CommandFailedException e) {
            close();
            throw e;
        }
    }

    @Override
    public void connected(PeerLink opened) {
        events.add(opened);
    }

    @Override
    public void message(PeerLink source, byte[] message) {
        events.add(message);
    }

    @Override
    public void ended(String reason) {
        events.add(reason);
    }

    /**
     * Waits for the next event: the opened connection or a message; fails if the link has ended.
     */
    private Object awaitEvent() throws Commands.CommandFailedException {
        try {
            Object event = events.poll(timeoutMs, TimeUnit.MILLISECONDS);
            if (event == null || event instanceof String) {
                throw new Commands.CommandFailedException(
                        Commands.EXIT_FAILURE,
                        server
                                + ": "
                                + (event == null
                                        ? "no response within " + timeoutMs + " ms"
                                        : event)
                                + "; check that the daemon is running, with dns in its store configuration file");
            }
            return event;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new Commands.CommandFailedException(Commands.EXIT_FAILURE, "interrupted");
        }
    }

    private void send(MessageWriter writer) {
        byte[] bytes = writer.toBytes();
        if (key != null) {
            Tsig.Signed signed =
                    Tsig.sign(bytes, key, System.currentTimeMillis() / 1_000, null, false);
            bytes = signed.bytes();
            requestMac = signed.mac();
        }
        link.send(bytes);
    }

    static int randomId() {
        return new SecureRandom().nextInt(65_536);
    }

    /** Sends a message and returns the response. If there is a key, its signature is verified. */
    Message request(MessageWriter writer, int id) throws Commands.CommandFailedException {
        send(writer);
        byte[] bytes = (byte[]) awaitEvent();
        try {
            Message answer = Message.parse(bytes);
            if (answer.id != id || !answer.response) {
                throw new Commands.CommandFailedException(
                        Commands.EXIT_FAILURE,
                        server + ": the message received is not a response to the request");
            }
            if (key != null) {
                Tsig.CheckResult checked =
                        !Tsig.isSigned(answer)
                                ? null
                                : Tsig.check(
                                        answer,
                                        Map.of(key.name(), key),
                                        System.currentTimeMillis() / 1_000,
                                        requestMac,
                                        new byte[0],
                                        false);
                if (checked == null || !checked.isValid()) {
                    throw new Commands.CommandFailedException(
                            Commands.EXIT_FAILURE,
                            server
                                    + ": "
                                    + Rcode.name(answer.rcode())
                                    + ", expected a valid TSIG signature, found "
                                    + (checked == null ? "none" : Rcode.name(checked.error())));
                }
            }
            return answer;
        } catch (Message.Malformed e) {
            throw new Commands.CommandFailedException(
                    Commands.EXIT_FAILURE,
                    server + ": received a malformed DNS message: " + e.getMessage());
        }
    }

    /** Fetches a whole zone by AXFR. */
    Zone fetchZone(String origin) throws Commands.CommandFailedException {
        int id = randomId();
        send(new MessageWriter(id, 0, 512).question(origin, Rr.AXFR, Rr.IN));
        TransferIn transfer =
                new TransferIn(
                        id,
                        Zone.empty(origin),
                        false,
                        key,
                        requestMac,
                        System.currentTimeMillis() / 1_000,
                        MAX_TRANSFER_RECORDS);
        while (true) {
            TransferIn.State state = transfer.accept((byte[]) awaitEvent());
            if (state == TransferIn.State.FAILED) {
                throw new Commands.CommandFailedException(
                        Commands.EXIT_FAILURE,
                        server + ": " + origin + ": " + transfer.failureReason());
            } else if (state != TransferIn.State.MORE) {
                return transfer.zone();
            }
        }
    }

    @Override
    public void close() {
        link.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
