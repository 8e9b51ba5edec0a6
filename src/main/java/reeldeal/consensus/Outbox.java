package reeldeal.consensus;

/** Collects the output of a node until the caller takes it. */
final class Outbox {
    private Ready ready = new Ready();

    void send(Message message) {
        ready.messages.add(message);
    }

    void persist(Ready.Persist request) {
        ready.persists.add(request);
    }

    void deliver(Entry entry) {
        ready.committed.add(entry);
    }

    /**
     * Outputs a snapshot that replaces the state, and drops committed entries not yet taken, which
     * it includes.
     */
    void install(Snapshot snapshot) {
        ready.committed.clear();
        ready.install = snapshot;
    }

    void readReady(long readId, long index) {
        ready.reads.add(new Ready.ReadReady(readId, index));
    }

    void readFailed(long readId) {
        ready.failedReads.add(readId);
    }

    void logLine(String line) {
        ready.logLines.add(line);
    }

    /** Returns the output collected since the last call. */
    Ready take() {
        Ready taken = ready;
        ready = new Ready();
        return taken;
    }
}
