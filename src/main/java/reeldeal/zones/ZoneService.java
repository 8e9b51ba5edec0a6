package reeldeal.zones;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import reeldeal.dns.TransferOut;
import reeldeal.dns.Zone;
import reeldeal.dns.ZoneFile;
import reeldeal.dns.ZoneSuccession;
import reeldeal.endpoints.EndpointFeed;
import reeldeal.store.Change;
import reeldeal.store.KeyValueState;
import reeldeal.store.StoreNode;

/**
 * Answers DNS messages from the zones in the store, applies committed changes to them, and passes
 * the changes to the endpoint feed and to secondaries. Runs on the state loop.
 */
public final class ZoneService {
    /**
     * The name below which TXT records of class CH give the endpoint view of the searchers, with
     * the reason for each state.
     */
    public static final String MEMBERS = "members.reeldeal.";

    private final ZonesConfig config;
    private final StoreNode store;
    private final ScheduledExecutorService loop;
    private final LongSupplier now;
    private final Consumer<String> log;
    private final EndpointFeed feed;
    private final DepartureStore departures;
    private final HostedZones zones = new HostedZones();
    private final List<SecondaryZoneClient> secondaryClients = new ArrayList<>();
    private final Notifier notifier;
    private final PeerLink.Connector connector;
    private final MessageHandler messageHandler;
    private boolean publishScheduled;
    private boolean feedRestored;

    /**
     * Creates the service for the configured zones.
     *
     * @param store holds the zones; must not be started yet
     * @param now Unix time in ms
     * @param feed gets the content of the zones, and at once the departures on this node's disk
     * @param departures saves the departures of the feed
     */
    public ZoneService(
            ZonesConfig config,
            StoreNode store,
            ScheduledExecutorService loop,
            PeerLink.Connector connector,
            Notifier notifier,
            LongSupplier now,
            EndpointFeed feed,
            DepartureStore departures,
            Consumer<String> log) {
        this.config = config;
        this.store = store;
        this.loop = loop;
        this.now = now;
        this.log = log;
        this.feed = feed;
        this.departures = departures;
        departures.textsOnDisk().forEach(feed::restore);
        this.notifier = notifier;
        this.connector = connector;
        for (ZonesConfig.Entry entry : config.zones()) {
            zones.add(new HostedZone(entry, store, loop, log));
        }
        messageHandler =
                new MessageHandler(
                        config,
                        zones,
                        store,
                        new EndpointViewRecords(feed),
                        this::onNotify,
                        now,
                        new RateLimitedLog(now, log));
        UpdateForwarder forwarder =
                new UpdateForwarder(
                        store,
                        loop,
                        (message, from, onResponse) ->
                                messageHandler.handle(
                                        message, from, true, responseOnly(onResponse)));
        messageHandler.setUpdateForwarder(forwarder);
        store.onChange(this::applyCommitted);
        store.whenLeading(this::becomeLeader);
        store.whenCurrent(
                () -> {
                    restoreDepartures();
                    publish();
                });
        store.whenServingStale(this::serveStale);
    }

    /**
     * Returns a reply channel for a forwarded message. Only updates are forwarded, and they are
     * answered with a single message, never with a transfer.
     */
    private static ReplyChannel responseOnly(Consumer<byte[]> onResponse) {
        return new ReplyChannel() {
            @Override
            public void send(byte[] message) {
                onResponse.accept(message);
            }

            @Override
            public void stream(TransferOut transfer, Runnable onEnd) {
                onEnd.run();
            }
        };
    }

    // ---- changes from the store ----

    private void applyCommitted(List<Change> changes) {
        Map<HostedZone, Map<Change, ZoneKeys.Parsed>> byZone = new LinkedHashMap<>();
        for (Change change : changes) {
            ZoneKeys.Parsed key = ZoneKeys.parse(change.key());
            HostedZone zone = key == null ? null : zones.get(key.origin());
            if (zone != null) {
                byZone.computeIfAbsent(zone, z -> new LinkedHashMap<>()).put(change, key);
            }
        }
        byZone.forEach((zone, zoneChanges) -> zone.applyCommitted(changes, zoneChanges));
        if (!byZone.isEmpty()) {
            if (store.isCurrent()) {
                publish();
            } else if (!publishScheduled) {
                // While the node catches up with the log, the zones have an outdated state. It
                // must not be published as the current one.
                publishScheduled = true;
                loop.execute(
                        () -> {
                            publishScheduled = false;
                            publish();
                        });
            }
        }
        // Updates are answered after the broker has received the change and will still know it
        // after a restart, so that a client can rely on it once it has the response.
        departures.whenSaved(
                () -> byZone.keySet().forEach(zone -> zone.answerCommittedUpdates(changes)));
    }

    /**
     * Passes the changed zones to the endpoint feed, and to the secondaries if this node accepts
     * writes. Does nothing until all committed writes have been applied.
     */
    private void publish() {
        if (!store.isCurrent()) {
            return;
        }
        if (!feedRestored) {
            restoreDepartures();
        }
        for (HostedZone zone : zones.all()) {
            var changedNames = zone.takeChangedNames();
            if (zone.zone().soa() == null || (changedNames != null && changedNames.isEmpty())) {
                continue;
            }
            if (zone.entry.searchers() && zone.expired()) {
                feed.expireZone(zone.entry.origin());
            } else if (zone.entry.searchers()) {
                feed.updateZone(zone.zone(), changedNames);
            }
            if (store.acceptsWrites()) {
                notifier.onZoneChanged(zone.zone(), zone.entry.secondaries());
            }
        }
    }

    /**
     * Passes the departures in the store to the endpoint feed: those of this node before a restart,
     * and those that the last leader saved.
     */
    private void restoreDepartures() {
        feedRestored = true;
        departures.savedTexts().forEach(feed::restore);
        departures.onRestored();
    }

    /**
     * Uses the searchers of this node's own copy of the zones, as the store's group is unreachable.
     */
    private void serveStale(KeyValueState copy) {
        departures.textsOnDisk().forEach(feed::restore);
        for (HostedZone zone : zones.all()) {
            Zone staleZone = ZoneKeys.readZone(zone.entry.origin(), copy);
            if (!zone.entry.searchers() || staleZone.soa() == null) {
                continue;
            }
            if (hasExpired(staleZone, copy)) {
                feed.expireZone(zone.entry.origin());
            } else {
                feed.useStaleZone(staleZone);
            }
        }
    }

    /** Returns whether the copy of a secondary zone was expired, or has expired since. */
    private boolean hasExpired(Zone staleZone, KeyValueState copy) {
        KeyValueState.Value state = copy.get(ZoneKeys.stateKey(staleZone.origin));
        return state != null
                && SecondaryState.parse(state.text()).isExpired(staleZone, now.getAsLong());
    }

    /**
     * Called when this node begins to accept writes: loads primary zones that the store does not
     * have yet from their files, and starts to follow the primaries of secondary zones.
     */
    private void becomeLeader() {
        secondaryClients.forEach(SecondaryZoneClient::stop);
        secondaryClients.clear();
        for (HostedZone zone : zones.all()) {
            zone.resetWriteState();
            if (zone.entry.secondary()) {
                SecondaryZoneClient client =
                        new SecondaryZoneClient(
                                zone,
                                connector,
                                loop,
                                now,
                                config.keys(),
                                store::acceptsWrites,
                                log);
                secondaryClients.add(client);
                client.start();
            } else if (zone.zone().isEmpty()) {
                loadZoneFile(zone);
            }
        }
        restoreDepartures();
        publish();
    }

    /** Reads the zone's file on a separate thread, since the time grows with the zone's size. */
    private void loadZoneFile(HostedZone zone) {
        CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return ZoneFileReader.read(zone.entry.file(), zone.entry.origin());
                            } catch (ZoneFile.Malformed | java.io.IOException e) {
                                log.accept("dns: zone file not loaded: " + e.getMessage());
                                return null;
                            }
                        },
                        task -> {
                            Thread thread = new Thread(task, "zone-file");
                            thread.setDaemon(true);
                            thread.start();
                        })
                .thenAcceptAsync(
                        loaded -> {
                            if (loaded != null) {
                                zone.replace(
                                        ZoneSuccession.Arrival.ZONE_FILE,
                                        loaded,
                                        committed ->
                                                log.accept(
                                                        "dns: "
                                                                + zone.entry.origin()
                                                                + ": zone file "
                                                                + zone.entry.file()
                                                                + (committed
                                                                        ? " loaded, serial "
                                                                                + loaded.serial()
                                                                                + ", "
                                                                                + loaded.size()
                                                                                + " records"
                                                                        : " was not committed")));
                            }
                        },
                        loop);
    }

    // ---- messages ----

    /** Handles a DNS message from this address; the response, if any, goes to the reply channel. */
    public void handle(byte[] bytes, InetSocketAddress from, boolean tcp, ReplyChannel reply) {
        messageHandler.handle(bytes, from, tcp, reply);
    }

    private void onNotify(HostedZone zone, long serial) {
        secondaryClients.stream()
                .filter(client -> client.zone() == zone)
                .forEach(client -> client.onNotify(serial));
    }
}
