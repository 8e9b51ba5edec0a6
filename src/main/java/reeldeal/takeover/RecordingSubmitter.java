package reeldeal.takeover;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import reeldeal.core.Effect;
import reeldeal.core.Reply;
import reeldeal.core.Request;
import reeldeal.core.RequestSubmitter;
import reeldeal.core.WallClock;
import reeldeal.decision.DecisionModule.Settings;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.takeover.InFlightRequests;
import reeldeal.fleet.takeover.KeyedRequest;
import reeldeal.fleet.takeover.RequestAction;
import reeldeal.fleet.takeover.RequestRecord;
import reeldeal.store.StoreNode;
import reeldeal.takeover.RequestCounters.Counter;
import reeldeal.takeover.TakeoverConfig.Mode;

/**
 * Submits the fronts' requests to the broker. It has keyed requests recorded before they run, runs
 * requests that this broker has taken over, and checks before each shard request is sent that this
 * broker still owns the request's record.
 *
 * <p>Owns the waiting clients and the runs, on the broker's loop; its methods are called on that
 * loop unless their comments name another. The records are kept on the store's loop, in {@link
 * RequestRecordStore}.
 */
public final class RecordingSubmitter implements RequestSubmitter, RequestRecordStore.Runner {
    /** The maximum length of a request's text whose record fits into the store, in characters. */
    private static final int MAX_TEXT_LENGTH = 40_000;

    /** Only outcomes shorter than this fit into the store, in characters. */
    private static final int OUTCOME_LENGTH_LIMIT = MAX_TEXT_LENGTH * 4;

    private static final String CLIENT_LEFT = "its client has left";

    /** A client that waits while its request is being recorded or runs under a record. */
    private record WaitingClient(Request request, String key, Consumer<Reply> reply) {}

    /** The run of a request at the broker. */
    private static final class Run {
        private final long requestId;
        private final boolean isRecorded;
        private boolean wasSent;

        Run(long requestId, boolean isRecorded) {
            this.requestId = requestId;
            this.isRecorded = isRecorded;
        }
    }

    private final RequestSubmitter broker;
    private final Settings settings;
    private final QueryClassPolicies classPolicies;
    private final TakeoverConfig config;
    private final EventLoop loop;
    private final RequestRecordStore recordStore;
    private final BooleanSupplier holdsLease;
    private final Map<Long, WaitingClient> clients = new HashMap<>();
    private final Map<String, Run> runs = new HashMap<>();
    private final Map<Long, String> keysByRequest = new HashMap<>();
    private final SplittableRandom random;

    /**
     * Creates a submitter in front of a broker.
     *
     * @param loop the broker's loop
     * @param storeLoop the store's loop
     * @param classes the names of the query classes, in the order of the settings
     * @param holdsLease returns whether this broker certainly holds its lease; called on the
     *     broker's loop
     * @param wallClockErrorMs returns a lower bound of this node's wall clock error, ms, negative
     *     while unknown; called on the store's loop
     */
    public RecordingSubmitter(
            RequestSubmitter broker,
            EventLoop loop,
            EventLoop storeLoop,
            StoreNode store,
            Settings settings,
            List<String> classes,
            TakeoverConfig config,
            BooleanSupplier holdsLease,
            LongSupplier wallClockErrorMs,
            Consumer<String> log) {
        this.broker = broker;
        this.loop = loop;
        this.settings = settings;
        this.config = config;
        this.holdsLease = holdsLease;
        random = new SplittableRandom(settings.seed());
        classPolicies = new QueryClassPolicies(classes, settings.classes(), config);
        recordStore =
                new RequestRecordStore(
                        storeLoop, store, config, classPolicies::window, wallClockErrorMs, log);
    }

    /**
     * Sets the check that returns whether the searchers of the given shards can be shown to drop
     * repeats of a request that was first sent at the given Unix ms. Called on the store's loop, as
     * is the check.
     */
    public void setDeduplicationCheck(BiPredicate<List<Integer>, Long> isDeduplicated) {
        recordStore.setDeduplicationCheck(
                record ->
                        isDeduplicated.test(
                                RequestRecordCodec.shards(record.body()), record.firstSentAtMs()));
    }

    /** Starts the record store. Called on the store's loop. */
    public void start() {
        recordStore.start(this);
    }

    /**
     * Passes on a changed view of the fleet; {@code self} is this process as a member, or null.
     * Called on the store's loop.
     */
    public void onFleetChanged(FleetView fleet, FleetView.Member self) {
        recordStore.onFleetChanged(fleet, self);
    }

    /**
     * Whether a shard request may be sent now. If its request runs under a record, this broker must
     * hold its lease, and must own the record according to this node's copy of the log.
     */
    public boolean maySend(Effect.Send send) {
        String key = keysByRequest.get(send.request().id());
        Run run = key == null ? null : runs.get(key);
        if (run == null) {
            return true;
        }
        if (run.isRecorded && !(holdsLease.getAsBoolean() && recordStore.owns(key))) {
            recordStore.count(Counter.FENCED);
            return false;
        }
        if (run.wasSent) {
            Failpoint.BETWEEN_SHARD_REQUESTS.reach();
        }
        if (send.queryPhase() != null) {
            Failpoint.BEFORE_FETCH_PHASE.reach();
        }
        run.wasSent = true;
        return true;
    }

    // ---- RequestSubmitter, called by the fronts ----

    @Override
    public double now() {
        return broker.now();
    }

    @Override
    public long nextRequestId() {
        return broker.nextRequestId();
    }

    @Override
    public void schedule(double delayMs, Runnable task) {
        broker.schedule(delayMs, task);
    }

    @Override
    public boolean ready() {
        return broker.ready();
    }

    /** Whether another broker could take a request that has ended here for one still to be run. */
    @Override
    public boolean hasUnfinishedRecords() {
        return recordStore.hasUnfinished();
    }

    @Override
    public boolean deduplicates(int queryClass) {
        return classPolicies.mode(queryClass) != Mode.OFF;
    }

    @Override
    public void submit(Request request, Consumer<Reply> reply) {
        submit(request, null, reply);
    }

    @Override
    public void submit(Request received, String clientKey, Consumer<Reply> reply) {
        Request request = broker.limitDeadline(received);
        Mode mode = classPolicies.mode(request.classIndex());
        if (mode == Mode.OFF) {
            broker.submit(request, reply);
        } else if (request.text().length() <= MAX_TEXT_LENGTH) {
            submitRecorded(request, clientKey, mode == Mode.REQUIRED, reply);
        } else if (mode == Mode.REQUIRED) {
            recordStore.count(Counter.REJECTED);
            reply.accept(
                    new Reply.Invalid(
                            "the text is too long to be recorded: "
                                    + MAX_TEXT_LENGTH
                                    + " characters at the most"));
        } else {
            recordStore.count(Counter.UNRECORDED);
            broker.submit(request, reply);
        }
    }

    private void submitRecorded(
            Request request, String clientKey, boolean isRequired, Consumer<Reply> reply) {
        String queryClass = classPolicies.name(request.classIndex());
        String key = queryClass + " " + (clientKey == null ? request.name() : clientKey);
        long id = request.id();
        clients.put(id, new WaitingClient(request, key, reply));
        double remainingMs = request.deadlineMs() - broker.now();
        KeyedRequest keyedRequest =
                new KeyedRequest(
                        id,
                        key,
                        new KeyedRequest.Content(
                                RequestRecordCodec.digest(request),
                                RequestRecordCodec.body(request)),
                        queryClass,
                        settings.classes().get(request.classIndex()).priorityWeight(),
                        WallClock.now() + (long) remainingMs,
                        isRequired);
        // Answers the client before its deadline even if there is no outcome yet.
        broker.schedule(Math.max(0, remainingMs - 2 * settings.tickMs()), () -> timeOut(id, key));
        recordStore.execute(
                () -> {
                    Failpoint.BEFORE_RECORD.reach();
                    recordStore.submit(keyedRequest);
                });
    }

    private void timeOut(long client, String key) {
        if (clients.containsKey(client)) {
            answer(client, new Reply.Failed("not known yet; ask again with the same key"));
            recordStore.execute(() -> recordStore.clientDisconnected(key, client));
        }
    }

    @Override
    public void clientDisconnected(long id) {
        WaitingClient client = clients.remove(id);
        if (client != null) {
            recordStore.execute(() -> recordStore.clientDisconnected(client.key(), id));
            endRunWithoutClients(client.key());
            return;
        }
        String key = keysByRequest.get(id);
        Run run = key == null ? null : runs.get(key);
        boolean isRunOfClient = run != null && run.requestId == id;
        if (isRunOfClient && run.isRecorded) {
            return; // a recorded request continues; its client has been answered
        }
        broker.clientDisconnected(id);
        if (isRunOfClient) {
            runEnded(key, run, new Reply.Failed(CLIENT_LEFT));
        }
    }

    /**
     * Ends the run of a key whose last client has left: nothing may be sent for a client that is
     * gone. A later try of the key runs again within the deduplication window.
     */
    private void endRunWithoutClients(String key) {
        Run run = runs.get(key);
        if (run != null && run.isRecorded && !isWaitedFor(key)) {
            broker.clientDisconnected(run.requestId);
            runEnded(key, run, new Reply.Failed(CLIENT_LEFT));
        }
    }

    private void answer(long id, Reply reply) {
        WaitingClient client = clients.remove(id);
        if (client != null) {
            client.reply().accept(reply);
        }
    }

    // ---- RequestRecordStore.Runner, called on the store's loop ----

    @Override
    public void run(RequestAction.Run run) {
        loop.execute(() -> startRun(run));
    }

    @Override
    public void stop(String key) {
        loop.execute(
                () -> {
                    Run run = runs.remove(key);
                    if (run != null) {
                        keysByRequest.remove(run.requestId);
                        broker.clientDisconnected(run.requestId);
                    }
                });
    }

    @Override
    public void reply(RequestAction.ClientAction action) {
        loop.execute(() -> performClientAction(action));
    }

    // ---- runs ----

    private void performClientAction(RequestAction.ClientAction action) {
        if (action instanceof RequestAction.Reply reply) {
            Failpoint.AFTER_OUTCOME.reach();
            answer(reply.client(), replyOf(reply));
        } else if (action instanceof RequestAction.Conflict) {
            answer(
                    action.client(),
                    new Reply.Invalid("the idempotency key belongs to another request"));
        } else if (action instanceof RequestAction.Reject) {
            // Jitter, so that clients rejected at the same time do not retry at the same time.
            double jitter = 0.5 + 0.5 * random.nextDouble();
            double retryAfterMs = settings.limits().maxRetryAfterMs() * jitter;
            answer(action.client(), new Reply.Rejected(retryAfterMs));
        } else if (action instanceof RequestAction.ProceedUnrecorded proceed) {
            runUnrecorded(proceed.client(), proceed.key());
        }
    }

    private static Reply replyOf(RequestAction.Reply reply) {
        return reply.state() == RequestRecord.State.UNKNOWN
                ? new Reply.Invalid(
                        "an earlier try may have taken effect, and repeats of it are no longer"
                                + " dropped")
                : RequestRecordCodec.reply(reply.outcome());
    }

    private void runUnrecorded(long id, String key) {
        WaitingClient client = clients.remove(id);
        if (client == null) {
            if (!runs.containsKey(key)) {
                runEnded(key, new Run(id, false), new Reply.Failed(CLIENT_LEFT));
            }
            return;
        }
        Run run = new Run(id, false);
        runs.putIfAbsent(client.key(), run);
        keysByRequest.put(id, client.key());
        broker.submit(
                client.request(),
                reply -> {
                    runEnded(client.key(), run, reply);
                    client.reply().accept(reply);
                });
    }

    private void startRun(RequestAction.Run action) {
        RequestRecord record = action.record();
        boolean isFirstRun = action.isFirstRun();
        (isFirstRun ? Failpoint.AFTER_RECORD : Failpoint.AFTER_CLAIM).reach();
        int classIndex = classPolicies.indexOf(record.queryClass());
        if (classIndex < 0) {
            // The class is not in this configuration: the record stays open while this broker owns
            // it.
            return;
        }
        if (action.isForClient() && !isWaitedFor(record.key())) {
            Run unsent = new Run(broker.nextRequestId(), true);
            runEnded(record.key(), unsent, new Reply.Failed(CLIENT_LEFT));
            return;
        }
        Request clientRequest = isFirstRun ? waitingRequest(record) : null;
        Request request =
                clientRequest != null ? clientRequest : requestOf(record, classIndex, isFirstRun);
        Run run = new Run(request.id(), true);
        runs.put(record.key(), run);
        keysByRequest.put(request.id(), record.key());
        broker.submit(request, reply -> runEnded(record.key(), run, reply));
    }

    private boolean isWaitedFor(String key) {
        return clients.values().stream().anyMatch(client -> client.key().equals(key));
    }

    /** Returns the request of a client that waits for this record, or null if there is none. */
    private Request waitingRequest(RequestRecord record) {
        return clients.values().stream()
                .filter(client -> client.key().equals(record.key()))
                .map(WaitingClient::request)
                .filter(request -> RequestRecordCodec.digest(request).equals(record.digest()))
                .findFirst()
                .orElse(null);
    }

    private Request requestOf(RequestRecord record, int classIndex, boolean isFirstRun) {
        double wallClockAheadMs = WallClock.now() - broker.now();
        double firstSentAtMs =
                isFirstRun
                        ? Double.POSITIVE_INFINITY
                        : record.firstSentAtMs() - config.clockErrorMs() - wallClockAheadMs;
        return RequestRecordCodec.request(
                record,
                broker.nextRequestId(),
                classIndex,
                record.deadlineMs() - wallClockAheadMs,
                firstSentAtMs);
    }

    private void runEnded(String key, Run run, Reply reply) {
        Failpoint.AFTER_ANSWERS.reach();
        keysByRequest.remove(run.requestId);
        runs.remove(key, run);
        String outcome = RequestRecordCodec.outcome(reply);
        if (outcome.length() < OUTCOME_LENGTH_LIMIT) {
            reportEnd(key, outcomeOf(run, reply), outcome);
        } else {
            reportEnd(
                    key,
                    InFlightRequests.RunOutcome.FAILED,
                    RequestRecordCodec.outcome(
                            new Reply.Failed("the answer is too large to be kept")));
        }
    }

    private static InFlightRequests.RunOutcome outcomeOf(Run run, Reply reply) {
        if (reply instanceof Reply.Served) {
            return InFlightRequests.RunOutcome.DONE;
        }
        return run.wasSent
                ? InFlightRequests.RunOutcome.FAILED
                : InFlightRequests.RunOutcome.UNSENT;
    }

    private void reportEnd(String key, InFlightRequests.RunOutcome outcome, String text) {
        recordStore.execute(() -> recordStore.runEnded(key, outcome, text));
    }
}
