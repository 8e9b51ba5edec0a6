package reeldeal.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.TreeMap;

/** The disk of a simulated node: its content, and the queue of pending disk requests. */
final class SimulatedDisk {
    private long term;
    private String vote;
    private Snapshot snapshot;
    private final TreeMap<Long, Entry> entries = new TreeMap<>();
    private final ArrayDeque<Ready.Persist> queue = new ArrayDeque<>();

    SimulatedDisk(GroupConfiguration configuration) {
        snapshot = new Snapshot(0, 0, configuration, new byte[0]);
    }

    Snapshot snapshot() {
        return snapshot;
    }

    RaftNode.PersistentState contents() {
        return new RaftNode.PersistentState(
                term, vote, snapshot, new ArrayList<>(entries.values()));
    }

    /** Queues a request; returns true if the disk was idle. */
    boolean enqueue(Ready.Persist request) {
        queue.add(request);
        return queue.size() == 1;
    }

    int queueLength() {
        return queue.size();
    }

    /** Carries out the next request and returns its number. */
    long writeNext() {
        Ready.Persist request = queue.poll();
        write(request);
        return request.number();
    }

    /**
     * Simulates a crash: the first {@code written} requests still reach the disk, the others are
     * lost.
     */
    void crash(int written) {
        for (int i = 0; i < written; i++) {
            writeNext();
        }
        queue.clear();
    }

    private void write(Ready.Persist request) {
        term = request.term();
        vote = request.vote();
        if (request.snapshot() != null) {
            snapshot = request.snapshot();
            if (request.discardsLog()) {
                entries.clear();
            }
            entries.headMap(snapshot.index(), true).clear();
        }
        if (!request.entries().isEmpty()) {
            entries.tailMap(request.firstIndex(), true).clear();
            request.entries().forEach(entry -> entries.put(entry.index(), entry));
        }
    }
}
