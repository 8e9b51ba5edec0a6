package reeldeal.takeover;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import reeldeal.core.WallClock;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FormAttributes;
import reeldeal.fleet.node.StoreWrites;
import reeldeal.fleet.takeover.GroupCommit;
import reeldeal.fleet.takeover.InFlightRequests;
import reeldeal.fleet.takeover.KeyedRequest;
import reeldeal.fleet.takeover.RequestAction;
import reeldeal.fleet.takeover.RequestRecord;
import reeldeal.fleet.takeover.TakeoverPolicy;
import reeldeal.store.AdminReply;
import reeldeal.store.Change;
import reeldeal.store.KeyValueState;
import reeldeal.store.StoreNode;
import reeldeal.takeover.RequestCounters.Counter;

/**
 * Connects one broker's request records to the store. Owns the {@link InFlightRequests} and their
 * writes, on the store's loop, and passes actions for the broker to the {@link Runner}. Methods are
 * called on that loop unless their comments say otherwise.
 */
final class RequestRecordStore {
    private static final int TICK_MS = 50;
    private static final int MAX_BATCH_WRITES = 64;
    private static final int MAX_BATCH_LENGTH = 128 * 1024;
    private static final int MAX_BATCHES = 3;
    private static final int RETRY_MS = 300;

    /** Runs requests and answers clients at the broker. Called on the store's loop. */
    interface Runner {
        /** Runs a request under its record. */
        void run(RequestAction.Run run);

        /** Stops the run of a request whose record this broker no longer owns. */
        void stop(String key);

        /** Answers a client, or runs its request without a record. */
        void reply(RequestAction.ClientAction action);
    }

    /**
     * The keys of a batch that is committed at a version that this node may not have applied yet.
     */
    private record CommittedBatch(long version, Set<String> keys) {}

    private final EventLoop loop;
    private final StoreNode store;
    private final TakeoverConfig config;
    private final LongSupplier wallClockErrorMs;
    private final Consumer<String> log;
    private final InFlightRequests requests;
    private final GroupCommit groupCommit =
            new GroupCommit(MAX_BATCH_WRITES, MAX_BATCH_LENGTH, MAX_BATCHES);
    private final RecordCapacity capacity;
    private final RecordSweeper sweeper;
    private final RequestCounters counters = new RequestCounters();

    /**
     * The keys of the requests that this broker runs and whose records it owns; read from any
     * thread.
     */
    private final Set<String> ownedKeys = ConcurrentHashMap.newKeySet();

    private final Set<String> changedKeys = new LinkedHashSet<>();

    /** The times at which the batches in progress were sent, by batch id. */
    private final Map<Long, Long> batchSentAtMs = new HashMap<>();

    private final List<CommittedBatch> committedBatches = new ArrayList<>();
    private volatile boolean unfinished;

    /** Inputs that wait for the store's loop; their requests count as unfinished. */
    private final AtomicInteger queuedInputs = new AtomicInteger();

    private Runner runner;
    private boolean applyScheduled;

    /** Whether the wall clock is known to be off by more than is allowed. */
    private boolean isClockOff;

    /** Whether the wall clock's error is known and not more than is allowed. */
    private boolean isClockAccurate;

    RequestRecordStore(
            EventLoop loop,
            StoreNode store,
            TakeoverConfig config,
            Function<String, TakeoverPolicy.Window> windows,
            LongSupplier wallClockErrorMs,
            Consumer<String> log) {
        this.loop = loop;
        this.store = store;
        this.config = config;
        this.wallClockErrorMs = wallClockErrorMs;
        this.log = log;
        capacity = new RecordCapacity(store, config.maxBytes(), log);
        sweeper = new RecordSweeper(store, config, capacity);
        requests =
                new InFlightRequests(
                        store.node(),
                        new TakeoverPolicy(),
                        windows,
                        new InFlightRequests.Bounds(
                                config.maxClaims(),
                                config.maxOpenRecords(),
                                config.recordTimeoutMs(),
                                RETRY_MS),
                        this::read);
    }

    /**
     * Sets the check that returns whether the searchers that may have run a request can be shown to
     * drop repeats.
     */
    void setDeduplicationCheck(Predicate<RequestRecord> check) {
        requests.setDeduplicationCheck(check);
    }

    /**
     * Starts listening to the store and schedules the periodic tasks. Called before the store
     * reports any change.
     */
    void start(Runner newRunner) {
        runner = newRunner;
        store.onChange(this::onChanges);
        store.onAdminRequest("work", this::onAdminRequest);
        store.valuesUnder(RequestRecord.ROOT)
                .forEach((key, value) -> changedKeys.add(RequestRecord.requestKey(key)));
        loop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(
                () -> sweeper.sweep(isClockAccurate),
                RecordSweeper.INTERVAL_MS,
                RecordSweeper.INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    private static long now() {
        return WallClock.now();
    }

    private RequestRecord read(String key) {
        String storeKey = RequestRecord.storeKey(key);
        KeyValueState.Value value = store.value(storeKey);
        return value == null ? null : RequestRecord.parse(storeKey, value.text(), value.version());
    }

    // ---- inputs ----

    /**
     * Applies a changed fleet in this node's copy; {@code self} is this process as a member, or
     * null.
     */
    void onFleetChanged(FleetView fleet, FleetView.Member self) {
        updateCapacity();
        requests.onFleetChanged(now(), fleet, self);
        performActions();
    }

    void submit(KeyedRequest request) {
        updateCapacity();
        requests.submit(now(), request);
        performActions();
    }

    void clientDisconnected(String key, long client) {
        requests.clientDisconnected(key, client);
    }

    void runEnded(String key, InFlightRequests.RunOutcome outcome, String text) {
        requests.runEnded(now(), key, outcome, text);
        performActions();
    }

    /**
     * Whether this broker owns the record of a key, according to this node's copy of the log.
     * Thread-safe.
     */
    boolean owns(String key) {
        return ownedKeys.contains(key);
    }

    /**
     * Whether some request is not recorded as ended, or an input that may begin one is not handled.
     * Thread-safe.
     */
    boolean hasUnfinished() {
        return queuedInputs.get() > 0 || unfinished;
    }

    /** Runs a task with inputs of this store on the store's loop. Thread-safe. */
    void execute(Runnable inputs) {
        queuedInputs.incrementAndGet();
        loop.execute(
                () -> {
                    try {
                        inputs.run();
                    } finally {
                        queuedInputs.decrementAndGet();
                    }
                });
    }

    /** Increments a counter. Thread-safe. */
    void count(Counter counter) {
        counters.increment(counter);
    }

    private void onChanges(List<Change> changes) {
        for (Change change : changes) {
            if (change.key().startsWith(RequestRecord.ROOT)) {
                changedKeys.add(RequestRecord.requestKey(change.key()));
            }
        }
        if (!applyScheduled && !changedKeys.isEmpty()) {
            applyScheduled = true;
            loop.execute(
                    () -> {
                        applyScheduled = false;
                        applyChanges();
                        performActions();
                    });
        }
    }

    private void applyChanges() {
        Set<String> keys = new LinkedHashSet<>(changedKeys);
        changedKeys.clear();
        requests.recordsChanged(now(), keys);
        for (CommittedBatch batch : List.copyOf(committedBatches)) {
            if (store.version() >= batch.version()) {
                committedBatches.remove(batch);
                batch.keys().forEach(key -> requests.writeEnded(now(), key, true));
            }
        }
    }

    private void tick() {
        updateCapacity();
        applyChanges();
        requests.tick(now());
        performActions();
    }

    /**
     * Updates whether further records may be made. Records made by a wall clock that is wrong, or
     * not yet known to be accurate, would have times that mislead other brokers. While a write
     * takes longer than the record timeout, further writes would only queue behind it until they
     * time out.
     */
    private void updateCapacity() {
        long errorMs = wallClockErrorMs.getAsLong();
        boolean isOff = errorMs > config.clockErrorMs();
        isClockAccurate = errorMs >= 0 && !isOff;
        if (isOff != isClockOff) {
            isClockOff = isOff;
            log.accept(
                    isOff
                            ? "work: this node's wall clock is at least "
                                    + errorMs
                                    + " ms off the fleet's: the node makes no request records and takes over none"
                            : "work: this node's wall clock is within the allowed error of the fleet's again");
        }
        requests.setClockInDoubt(!isClockAccurate);
        requests.setStoreFull(capacity.isFull(groupCommit.valueLength()) || isStoreSlow());
    }

    private boolean isStoreSlow() {
        if (batchSentAtMs.isEmpty()) {
            return false;
        }
        long oldestSentAtMs = Long.MAX_VALUE;
        for (long sentAtMs : batchSentAtMs.values()) {
            oldestSentAtMs = Math.min(oldestSentAtMs, sentAtMs);
        }
        return now() - oldestSentAtMs > config.recordTimeoutMs();
    }

    // ---- actions ----

    private void performActions() {
        requests.drainActions().forEach(this::perform);
        ownedKeys.removeIf(key -> !requests.owns(key));
        unfinished = requests.hasUnfinished();
        sendBatches();
    }

    private void perform(RequestAction action) {
        if (action instanceof RequestAction.Propose propose) {
            queueWrite(propose);
        } else if (action instanceof RequestAction.Drop drop) {
            if (groupCommit.drop(drop.key())) {
                requests.writeEnded(now(), drop.key(), true);
            }
        } else if (action instanceof RequestAction.Run run) {
            counters.increment(Counter.RECORDED);
            ownedKeys.add(run.record().key());
            runner.run(run);
        } else if (action instanceof RequestAction.Stop stop) {
            ownedKeys.remove(stop.key());
            runner.stop(stop.key());
        } else if (action instanceof RequestAction.ClientAction clientAction) {
            counters.increment(clientAction);
            runner.reply(clientAction);
        }
    }

    private void queueWrite(RequestAction.Propose propose) {
        switch (propose.purpose()) {
            case TAKE_OVER -> {
                log.accept("work: " + propose.write().reason());
                counters.increment(Counter.TAKEN_OVER);
            }
            case CLOSE_ORPHAN -> {
                log.accept("work: " + propose.write().reason());
                counters.increment(Counter.ENDED_FOR_OTHERS);
            }
            default -> {}
        }
        groupCommit.add(propose.key(), propose.write());
    }

    private void sendBatches() {
        for (GroupCommit.Batch batch : groupCommit.dueBatches()) {
            batchSentAtMs.put(batch.id(), now());
            StoreWrites.submit(
                    store, batch.write(), result -> loop.execute(() -> batchEnded(batch, result)));
        }
    }

    private void batchEnded(GroupCommit.Batch batch, StoreNode.Result result) {
        batchSentAtMs.remove(batch.id());
        Set<String> keys = groupCommit.batchEnded(batch.id(), result instanceof StoreNode.Rejected);
        if (result instanceof StoreNode.Committed committed) {
            committedBatches.add(new CommittedBatch(committed.version(), keys));
            applyChanges();
        } else {
            keys.forEach(key -> requests.writeEnded(now(), key, false));
        }
        performActions();
    }

    // ---- admin requests ----

    /** Answers {@code work [KEY]} with the counts, or with one record without its body. */
    private void onAdminRequest(String text, AdminReply reply) {
        String key = text.substring("work".length()).trim();
        if (key.isEmpty()) {
            reply.answer(status());
            return;
        }
        RequestRecord record = read(key);
        if (record == null) {
            reply.reject("no record of " + key);
        } else {
            reply.answer(
                    record.toAttributes()
                            .with("version", record.version())
                            .with("body", record.body().length() + " characters")
                            .toString());
        }
    }

    private String status() {
        FormAttributes status =
                new FormAttributes()
                        .with("node", store.node())
                        .with("in_hand", ownedKeys.size())
                        .with("open_in_all", requests.openRecordCount())
                        .with("bytes", store.bytesUnder(RequestRecord.ROOT))
                        .with("max_bytes", capacity.maxBytes())
                        .with("writes_waiting", groupCommit.size());
        counters.addTo(status);
        return status.toString();
    }
}
