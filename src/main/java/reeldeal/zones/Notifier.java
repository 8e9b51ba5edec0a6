package reeldeal.zones;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import reeldeal.dns.Message;
import reeldeal.dns.MessageWriter;
import reeldeal.dns.Rr;
import reeldeal.dns.Tsig;
import reeldeal.dns.Zone;

/**
 * Notifies secondaries of zone changes (RFC 1996): at once, then repeatedly with exponential
 * backoff until they answer or the attempts are used up.
 */
public final class Notifier {
    private static final int MAX_ATTEMPTS = 5;
    private static final long INITIAL_BACKOFF_MS = 1_000;
    private static final int AUTHORITATIVE_FLAG = 0x0400;

    private final EventLoopGroup group;
    private final ScheduledExecutorService loop;
    private final Map<String, Tsig.Key> keys;
    private final LongSupplier now;
    private final Consumer<String> log;
    private final Map<String, Notification> openNotifications = new HashMap<>();
    private final Map<String, Long> notifiedSerials = new HashMap<>();

    /**
     * Creates a notifier.
     *
     * @param keys the keys by name, which sign notifications to secondaries that have a key
     * @param now Unix time in ms
     */
    public Notifier(
            EventLoopGroup group,
            ScheduledExecutorService loop,
            Map<String, Tsig.Key> keys,
            LongSupplier now,
            Consumer<String> log) {
        this.group = group;
        this.loop = loop;
        this.keys = keys;
        this.now = now;
        this.log = log;
    }

    /**
     * Notifies the secondaries of a zone's new serial. An open notification of an earlier serial is
     * replaced; nothing is sent if the serial is the same as at the last call.
     */
    void onZoneChanged(Zone zone, List<ZonesConfig.Peer> peers) {
        Long lastSerial = notifiedSerials.put(zone.origin, zone.serial());
        if (peers.isEmpty() || (lastSerial != null && lastSerial == zone.serial())) {
            return;
        }
        for (ZonesConfig.Peer peer : peers) {
            String notificationId = zone.origin + " " + peer.address();
            Notification previous = openNotifications.get(notificationId);
            if (previous != null) {
                previous.end();
            }
            Notification notification = new Notification(notificationId, zone, peer);
            openNotifications.put(notificationId, notification);
            notification.start();
        }
    }

    /** Notifies one secondary of one serial, with retries, from its own port. */
    private final class Notification extends SimpleChannelInboundHandler<DatagramPacket> {
        private final String notificationId;
        private final Zone zone;
        private final ZonesConfig.Peer peer;
        private final int messageId = new SecureRandom().nextInt(65_536);
        private Channel channel;
        private int attempts;
        private boolean ended;

        Notification(String notificationId, Zone zone, ZonesConfig.Peer peer) {
            this.notificationId = notificationId;
            this.zone = zone;
            this.peer = peer;
        }

        void start() {
            // A connected socket receives datagrams from the secondary only.
            var connecting =
                    new Bootstrap()
                            .group(group)
                            .channel(NioDatagramChannel.class)
                            .handler(this)
                            .connect(peer.address());
            channel = connecting.channel();
            connecting.addListener(f -> loop.execute(this::sendAttempt));
        }

        private void sendAttempt() {
            if (ended) {
                return;
            }
            if (attempts == MAX_ATTEMPTS) {
                log.accept(
                        "dns: "
                                + zone.origin
                                + ": "
                                + peer.address()
                                + " did not answer "
                                + MAX_ATTEMPTS
                                + " notifications of serial "
                                + zone.serial());
                end();
                return;
            }
            MessageWriter writer =
                    new MessageWriter(messageId, Message.NOTIFY << 11 | AUTHORITATIVE_FLAG, 512)
                            .question(zone.origin, Rr.SOA, Rr.IN);
            writer.add(1, zone.soa());
            byte[] bytes = writer.toBytes();
            Tsig.Key key = peer.key() == null ? null : keys.get(peer.key());
            if (key != null) {
                bytes = Tsig.sign(bytes, key, now.getAsLong() / 1_000, null, false).bytes();
            }
            channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
            loop.schedule(this::sendAttempt, INITIAL_BACKOFF_MS << attempts, TimeUnit.MILLISECONDS);
            attempts++;
        }

        void end() {
            ended = true;
            openNotifications.remove(notificationId, this);
            channel.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            byte[] bytes = new byte[packet.content().readableBytes()];
            packet.content().readBytes(bytes);
            try {
                Message message = Message.parse(bytes);
                if (message.response
                        && message.id == messageId
                        && message.opcode == Message.NOTIFY
                        && !ended) {
                    if (message.rcode() != 0) {
                        log.accept(
                                "dns: "
                                        + zone.origin
                                        + ": "
                                        + peer.address()
                                        + " refused the notification: "
                                        + reeldeal.dns.Rcode.name(message.rcode()));
                    }
                    end();
                }
            } catch (Message.Malformed e) {
                log.accept(
                        "dns: " + peer.address() + " sent a malformed response to a notification");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Usually the secondary is not listening at the moment (port unreachable). The retries
            // go on.
            log.accept(
                    "dns: "
                            + zone.origin
                            + ": failed to notify "
                            + peer.address()
                            + ": "
                            + cause.getMessage());
        }
    }
}
