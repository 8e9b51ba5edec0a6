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
 * Collects, after this node's start, what proves that its data directory was rolled back, and halts
 * the store if the proof is complete; {@link RollbackDetector} decides what a proof is. Until the
 * check has ended the node neither votes nor registers. Also answers the same question for other
 * nodes. Used on the state loop.
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
    private final RollbackDetector detector;
    private boolean peersAsked;
    private boolean ownCopyRead;

    /** Whether the check has ended, and what peers know is evidence no longer. */
    private boolean ended;

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
        detector = new RollbackDetector(starts, otherVoters(), MAX_WAIT_MS);
    }

    private Set<String> otherVoters() {
        Set<String> voters = new TreeSet<>(store.configuration().voters());
        voters.remove(store.node());
        return voters;
    }

    /**
     * Begins the check and, if this node votes, withholds its votes; must be called before the
     * store starts. A learner asks as well: one whose directory was emptied may never become
     * current, as the leader knows of entries that it had acknowledged.
     */
    public void begin() {
        store.onPeerMessage(TOPIC, this::onPeerMessage);
        peersAsked = otherVoters().isEmpty();
        if (!peersAsked) {
            store.withholdVotes(store.configuration().voters().contains(store.node()));
            polling =
                    loop.scheduleAtFixedRate(
                            this::poll, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Returns whether the check has ended well, so that this process may register and write. The
     * check ends once the node's copy is current and the other voters were asked.
     */
    boolean isPassed() {
        if (!ended && store.isCurrent()) {
            readOwnCopy();
            ended = peersAsked && store.isCurrent();
        }
        return ended;
    }

    private void readOwnCopy() {
        if (!ownCopyRead) {
            ownCopyRead = true;
            detector.onOwnCopyRead(startsKnown(store.node()));
            haltIfRolledBack();
        }
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /**
     * Asks all other nodes; learners' answers count too, although the check does not wait for them.
     */
    private void poll() {
        if (store.isFrozen()) {
            polling.cancel(false);
            return;
        }
        Set<String> voters = otherVoters();
        detector.setOtherVoters(voters);
        if (voters.stream().anyMatch(voter -> store.levelOf(voter) > 0)) {
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
        haltIfRolledBack();
        if (!peersAsked && detector.verdict(nowMs()) == RollbackDetector.Verdict.SOUND) {
            peersAsked = true;
            polling.cancel(false);
            store.withholdVotes(false);
        }
    }

    private void haltIfRolledBack() {
        if (detector.verdict(nowMs()) == RollbackDetector.Verdict.ROLLED_BACK) {
            store.markFolderUntrusted(detector.reason(store.node()));
            if (polling != null) {
                polling.cancel(false);
            }
        }
    }

    private void onPeerMessage(String from, byte[] bytes) {
        FormAttributes message = FormAttributes.of(new String(bytes, StandardCharsets.UTF_8));
        if (!message.get(QUESTION).isEmpty()) {
            send(from, ANSWER, startsKnown(from));
        } else if (!ended && !message.get(ANSWER).isEmpty()) {
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
