package reeldeal.fleet.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import reeldeal.fleet.FleetCodec;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FormAttributes;
import reeldeal.fleet.recovery.RollbackDetector;
import reeldeal.store.Change;
import reeldeal.store.StoreNode;

/**
 * Asks all other nodes, before this node votes, how many of its starts they know of, and marks its
 * data directory as untrusted if an answer proves a rollback. Also answers the same question for
 * other nodes. Used on the state loop.
 */
public final class RollbackCheck {
    private static final char TOPIC = 'V';
    private static final int POLL_INTERVAL_MS = 50;

    /** Must be shorter than the time after which a node would start an election. */
    private static final int MAX_WAIT_MS = 500;

    private static final String QUESTION = "asks";
    private static final String ANSWER = "knows";

    private final EventLoop loop;
    private final StoreNode store;
    private final long starts;
    private RollbackDetector detector;
    private Set<String> otherVoters = Set.of();
    private ScheduledFuture<?> polling;

    /**
     * Creates a check for a store that has not been started.
     *
     * @param starts the number of starts that the node's data directory counts, including this one
     */
    public RollbackCheck(EventLoop loop, StoreNode store, long starts) {
        this.loop = loop;
        this.store = store;
        this.starts = starts;
    }

    /** Begins the check and withholds this node's votes; must be called before the store starts. */
    public void begin() {
        store.onPeerMessage(TOPIC, this::onPeerMessage);
        Set<String> voters = new TreeSet<>(store.configuration().voters());
        boolean isVoter = voters.remove(store.node());
        if (isVoter && !voters.isEmpty()) {
            otherVoters = voters;
            detector = new RollbackDetector(starts, voters, MAX_WAIT_MS);
            store.withholdVotes(true);
            polling =
                    loop.scheduleAtFixedRate(
                            this::poll, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /**
     * Asks all other nodes; learners' answers count too, although the check does not wait for them.
     */
    private void poll() {
        if (otherVoters.stream().anyMatch(voter -> store.levelOf(voter) > 0)) {
            detector.onPeerHeard(nowMs());
        }
        Set<String> others = new TreeSet<>(store.configuration().all());
        others.remove(store.node());
        others.forEach(node -> send(node, QUESTION, starts));
        decide();
    }

    private void send(String node, String attribute, long value) {
        String message = new FormAttributes().with(attribute, value).toString();
        store.sendToPeer(node, TOPIC, message.getBytes(StandardCharsets.UTF_8));
    }

    private void decide() {
        RollbackDetector.Verdict verdict = detector.verdict(nowMs());
        if (verdict == RollbackDetector.Verdict.WAIT || polling.isCancelled()) {
            return;
        }
        polling.cancel(false);
        if (verdict == RollbackDetector.Verdict.ROLLED_BACK) {
            store.markFolderUntrusted(detector.reason(store.node()));
        } else {
            store.withholdVotes(false);
        }
    }

    private void onPeerMessage(String from, byte[] bytes) {
        FormAttributes message = FormAttributes.of(new String(bytes, StandardCharsets.UTF_8));
        if (!message.get(QUESTION).isEmpty()) {
            send(from, ANSWER, startsKnown(from));
        } else if (detector != null && !message.get(ANSWER).isEmpty()) {
            detector.onStartsReported(nowMs(), from, message.number(ANSWER, 0));
            decide();
        }
    }

    /** Returns the number of a node's starts in this node's log, including unapplied entries. */
    private long startsKnown(String node) {
        String key = FleetView.REGISTRATION + node;
        long mostStartsKnown = FleetCodec.decodeStarts(store.get(key));
        for (Change change : store.unappliedChanges()) {
            if (change.key().equals(key)) {
                mostStartsKnown =
                        Math.max(mostStartsKnown, FleetCodec.decodeStarts(change.value()));
            }
        }
        return mostStartsKnown;
    }
}
