package reeldeal.zones;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reeldeal.endpoints.EndpointFeed;
import reeldeal.store.Change;
import reeldeal.store.StoreNode;

/**
 * Keeps in the store what the sources said of searchers that are draining or gone, in the form of
 * {@link EndpointFeed#restore}. Each node saves its own text, since its connection to discovery is
 * its own. The node that accepts writes also saves it as the text that all nodes read. A write that
 * fails is repeated until the store has the latest text. Belongs to the state loop.
 */
public final class DepartureStore {
    private static final String SHARED_KEY = "members/left";
    private static final int RETRY_MS = 500;

    private final StoreNode store;
    private final ScheduledExecutorService loop;
    private final Consumer<String> log;
    private final String ownKey;
    private final List<Runnable> waitingForSave = new ArrayList<>();
    private String latest;
    private boolean restored;
    private boolean maySaveShared;
    private boolean writing;
    private boolean retryScheduled;
    private boolean failureLogged;

    /** Creates an object that writes nothing until {@link #onRestored} is called. */
    public DepartureStore(StoreNode store, ScheduledExecutorService loop, Consumer<String> log) {
        this.store = store;
        this.loop = loop;
        this.log = log;
        this.ownKey = SHARED_KEY + "/" + store.node();
    }

    /**
     * Returns the texts that this node's log has, whether committed or not. Texts from before a
     * restart never bring a searcher back, so that even old ones may be restored.
     */
    List<String> textsOnDisk() {
        List<String> texts = savedTexts();
        for (Change change : store.unappliedChanges()) {
            if (isSaved(change.key()) && change.value() != null) {
                texts.add(0, change.value());
            }
        }
        return texts;
    }

    /** Returns the texts that the store has, this node's own one first. */
    List<String> savedTexts() {
        List<String> texts = new ArrayList<>();
        for (String key : List.of(ownKey, SHARED_KEY)) {
            if (store.get(key) != null) {
                texts.add(store.get(key));
            }
        }
        return texts;
    }

    private boolean isSaved(String key) {
        return key.equals(ownKey) || key.equals(SHARED_KEY);
    }

    /**
     * Begins to write, because the texts of the store's present state have been restored. Must be
     * called again whenever this node becomes current, and whenever it begins to accept writes.
     */
    void onRestored() {
        restored = true;
        maySaveShared = store.acceptsWrites();
        writeIfNecessary();
    }

    /** Saves a text in place of the last one. */
    public void save(String text) {
        latest = text;
        writeIfNecessary();
    }

    /**
     * Runs an action once the latest text is in the store, or the attempt to write it has failed.
     */
    void whenSaved(Runnable action) {
        if (writing) {
            waitingForSave.add(action);
        } else {
            action.run();
        }
    }

    private void writeIfNecessary() {
        if (writing) {
            return;
        }
        List<Change> changes = dueChanges();
        if (changes.isEmpty()) {
            runWaitingActions();
            return;
        }
        writing = true;
        store.submit(List.of(), changes, this::onWritten);
    }

    private List<Change> dueChanges() {
        // Another leader may have saved a text since this node last accepted writes.
        maySaveShared &= store.acceptsWrites();
        List<Change> changes = new ArrayList<>();
        if (latest != null && restored && store.isCurrent()) {
            addIfChanged(ownKey, changes);
            if (maySaveShared) {
                addIfChanged(SHARED_KEY, changes);
            }
        }
        return changes;
    }

    private void addIfChanged(String key, List<Change> changes) {
        if (!latest.equals(Objects.requireNonNullElse(store.get(key), ""))) {
            changes.add(new Change(key, latest));
        }
    }

    private void onWritten(StoreNode.Result result) {
        writing = false;
        if (result instanceof StoreNode.Committed) {
            failureLogged = false;
            writeIfNecessary();
            return;
        }
        if (!failureLogged) {
            failureLogged = true;
            log.accept("members: departures were not confirmed as saved: " + result);
        }
        runWaitingActions();
        scheduleRetry();
    }

    private void scheduleRetry() {
        if (!retryScheduled) {
            retryScheduled = true;
            loop.schedule(this::retry, RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void retry() {
        retryScheduled = false;
        writeIfNecessary();
    }

    private void runWaitingActions() {
        List<Runnable> actions = List.copyOf(waitingForSave);
        waitingForSave.clear();
        actions.forEach(Runnable::run);
    }
}
