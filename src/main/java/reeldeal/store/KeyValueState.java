package reeldeal.store;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.pcollections.TreePMap;
import reeldeal.consensus.SnapshotData;

/**
 * The replicated state: values by key, each with the version that wrote it, and the result of the
 * last write of each session. A version is the index of the log entry that produced it. The state
 * is deterministic: it reads no clock, disk or network, so that the same commands in the same order
 * lead to the same state on every node.
 *
 * <p>Not thread-safe, except that a {@link Frozen} copy may be used on any thread.
 */
public final class KeyValueState {
    /** The maximum length of a key, in bytes of UTF-8. */
    public static final int MAX_KEY_BYTES = 1_024;

    /** The maximum length of a value, in bytes of UTF-8. */
    public static final int MAX_VALUE_BYTES = 256 * 1024;

    /**
     * The quota, in bytes, of a prefix without a quota of its own. A prefix is the part of a key up
     * to its first slash.
     */
    public static final long DEFAULT_QUOTA_BYTES = 256L << 20;

    /**
     * The prefix of the keys of quotas: the value of {@code quota/PREFIX} limits the bytes stored
     * under the keys with that prefix.
     */
    public static final String QUOTA_PREFIX = "quota/";

    /**
     * The key of the feature level, which determines the commands and rules in effect; the level is
     * 1 if the key has no value.
     */
    public static final String LEVEL_KEY = "feature/level";

    /**
     * The prefix of the keys that pin sessions: if {@code session/NAME} exists, the sessions {@code
     * NAME:SLOT} are not evicted, from feature level 2 on.
     */
    public static final String PINNED_SESSION_PREFIX = "session/";

    private static final int MAX_SESSIONS = 1_000;
    private static final int MAX_HISTORY = 20_000;
    static final long DEFAULT_MAX_HISTORY_BYTES = 1 << 20;
    private static final int PINNED_SESSIONS_LEVEL = 2;
    private static final int MAX_QUOTED_KEY_CHARS = 40;

    /**
     * Thrown for a command in a format that only a newer version of the program supports. Neither
     * its effect nor that of any later command can be determined.
     */
    public static final class UnsupportedFormatException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        UnsupportedFormatException(int format) {
            super("form " + format);
        }
    }

    /**
     * A condition for a command: the key must be at this version, or must not exist if the version
     * is 0.
     */
    public record Precondition(String key, long version) {}

    /**
     * Changes that are applied together or not at all.
     *
     * @param session the name of the writer's session, or "" for none; together with {@code number}
     *     it makes the command idempotent, since each number of a session is applied once
     * @param number the number of the command, ascending within the session
     */
    public record Command(
            String session, long number, List<Precondition> preconditions, List<Change> changes) {
        /** Returns a command without preconditions or session. */
        public static Command of(List<Change> changes) {
            return new Command("", 0, List.of(), changes);
        }
    }

    /**
     * The result of a command: the version of its changes, or the reason why it was rejected, else
     * null.
     */
    public record Outcome(long version, String rejection) {
        /** Whether the changes were applied. */
        public boolean isApplied() {
            return rejection == null;
        }
    }

    /** A value, and the version in which it was written. */
    public record Value(String text, long version) {}

    /** The changes that were written in one version. */
    public record ChangeSet(long version, List<Change> changes) {}

    /** The number of a session's last command, its result, and the version of its entry. */
    record Session(long number, Outcome outcome, long lastVersion) {}

    private TreePMap<String, Value> values = TreePMap.empty();
    private TreePMap<String, Session> sessions = TreePMap.empty();
    private TreePMap<String, Long> bytesByPrefix = TreePMap.empty();
    private final ArrayDeque<ChangeSet> history = new ArrayDeque<>();
    private TreePMap<String, Long> heapBytesByPrefix = TreePMap.empty();
    private long heapBytes;
    private long historyBytes;
    private long maxHistoryBytes = DEFAULT_MAX_HISTORY_BYTES;
    private long version;
    private long historyStart;

    /** Returns the index of the last entry that was applied. */
    public long version() {
        return version;
    }

    /** Returns the value of a key with its version, or null if the key does not exist. */
    public Value get(String key) {
        return values.get(key);
    }

    /** Returns a view of the values whose keys begin with a prefix, ordered by key. */
    public Map<String, Value> valuesUnder(String prefix) {
        return values.subMap(prefix, true, prefix + Character.MAX_VALUE, false);
    }

    /**
     * Returns the first values whose keys begin with a prefix and are greater than {@code
     * afterKey}, ordered by key.
     *
     * @param limit the maximum number of values
     * @param maxLength the total length of the values, in characters, after which no further one is
     *     added
     */
    public Map<String, Value> page(String prefix, String afterKey, int limit, int maxLength) {
        Map<String, Value> page = new TreeMap<>();
        long length = 0;
        for (Map.Entry<String, Value> entry :
                values.subMap(afterKey, false, prefix + Character.MAX_VALUE, false).entrySet()) {
            if (page.size() >= limit || length >= maxLength) {
                break;
            }
            length += entry.getValue().text().length();
            page.put(entry.getKey(), entry.getValue());
        }
        return page;
    }

    /**
     * Returns the bytes stored under the keys with a prefix, the part of a key up to its first
     * slash.
     */
    public long bytesUnder(String prefix) {
        return bytesByPrefix.getOrDefault(prefix, 0L);
    }

    /** Returns the approximate heap size of all values, in bytes. */
    public long heapBytes() {
        return heapBytes;
    }

    /** Returns the approximate heap size of the change history, in bytes. */
    public long historyBytes() {
        return historyBytes;
    }

    /**
     * Limits the approximate heap size of the change history. The history is not part of the
     * replicated state, so that the limit may differ between nodes.
     */
    void limitHistory(long bytes) {
        maxHistoryBytes = bytes;
    }

    /** Returns the approximate heap size of the values under a prefix, in bytes. */
    long heapBytesUnder(String prefix) {
        return heapBytesByPrefix.getOrDefault(prefix, 0L);
    }

    /**
     * Returns by how many bytes changes would grow the heap size of the values under each prefix;
     * negative if they shrink it.
     */
    Map<String, Long> heapGrowthOf(List<Change> changes) {
        Map<String, Long> growthByPrefix = new TreeMap<>();
        for (Change change : changes) {
            growthByPrefix.merge(prefixOf(change.key()), heapGrowthOf(change), Long::sum);
        }
        return growthByPrefix;
    }

    private long heapGrowthOf(Change change) {
        Value before = values.get(change.key());
        return HeapSizes.ofValue(change.key(), change.value())
                - (before == null ? 0 : HeapSizes.ofValue(change.key(), before.text()));
    }

    /**
     * Returns the changes that were written after a version, or null if the history does not reach
     * back that far; then the caller must read the values again.
     */
    public List<ChangeSet> changeSetsSince(long afterVersion) {
        return afterVersion < historyStart
                ? null
                : history.stream().filter(changeSet -> changeSet.version() > afterVersion).toList();
    }

    /** Returns the feature level, which determines the commands and rules in effect. */
    public int level() {
        Value value = values.get(LEVEL_KEY);
        return value != null && value.text().matches("[0-9]{1,9}")
                ? Integer.parseInt(value.text())
                : 1;
    }

    /**
     * Applies the entry at an index, and adds its changes to {@code appliedChanges}. Empty data
     * only advances the version. Throws UnsupportedFormatException, and leaves the state as it is,
     * if only a newer version of the program supports the entry's format.
     */
    public Outcome apply(long index, byte[] data, List<Change> appliedChanges) {
        if (data.length == 0) {
            version = index;
            return new Outcome(index, null);
        }
        Command command;
        try {
            command = KeyValueCodec.decode(data);
            version = index;
        } catch (IOException e) {
            version = index;
            // Every node rejects the command in the same way.
            return new Outcome(index, "malformed command: " + e.getMessage());
        }
        Session session = command.session().isEmpty() ? null : sessions.get(command.session());
        if (session != null && command.number() == session.number()) {
            return session.outcome(); // a duplicate: the command was already applied
        }
        if (session != null && command.number() < session.number()) {
            return new Outcome(index, "number " + command.number() + " of this session is past");
        }
        Outcome outcome = validate(index, command);
        if (outcome.isApplied()) {
            for (Change change : command.changes()) {
                applyChange(index, change);
            }
            appliedChanges.addAll(command.changes());
            addToHistory(new ChangeSet(index, command.changes()));
        }
        if (!command.session().isEmpty()) {
            Session updated = new Session(command.number(), outcome, index);
            sessions = sessions.plus(command.session(), updated);
            evictSession();
        }
        return outcome;
    }

    private void evictSession() {
        if (sessions.size() <= MAX_SESSIONS) {
            return;
        }
        boolean keepPinned = level() >= PINNED_SESSIONS_LEVEL;
        sessions.entrySet().stream()
                .filter(entry -> !keepPinned || !isPinned(entry.getKey()))
                .min(Comparator.comparingLong(entry -> entry.getValue().lastVersion()))
                .ifPresent(entry -> sessions = sessions.minus(entry.getKey()));
    }

    private boolean isPinned(String session) {
        int colon = session.lastIndexOf(':');
        return colon > 0 && values.containsKey(PINNED_SESSION_PREFIX + session.substring(0, colon));
    }

    private Outcome validate(long index, Command command) {
        String rejection = checkPreconditions(command.preconditions());
        if (rejection == null) {
            rejection = checkSizes(command.changes());
        }
        if (rejection == null) {
            rejection = checkQuotas(command.changes());
        }
        return new Outcome(index, rejection);
    }

    private String checkPreconditions(List<Precondition> preconditions) {
        for (Precondition precondition : preconditions) {
            Value value = values.get(precondition.key());
            long actual = value == null ? 0 : value.version();
            if (actual != precondition.version()) {
                return precondition.key()
                        + " is at version "
                        + actual
                        + ", not "
                        + precondition.version();
            }
        }
        return null;
    }

    private static String checkSizes(List<Change> changes) {
        for (Change change : changes) {
            String key = change.key();
            if (key.isEmpty()
                    || utf8Length(key) > MAX_KEY_BYTES
                    || (change.value() != null && utf8Length(change.value()) > MAX_VALUE_BYTES)) {
                return "a key or value is too large: "
                        + key.substring(0, Math.min(MAX_QUOTED_KEY_CHARS, key.length()));
            }
        }
        return null;
    }

    private String checkQuotas(List<Change> changes) {
        Map<String, Long> growthByPrefix = new TreeMap<>();
        for (Change change : changes) {
            growthByPrefix.merge(prefixOf(change.key()), growthOf(change), Long::sum);
        }
        for (Map.Entry<String, Long> growth : growthByPrefix.entrySet()) {
            String prefix = growth.getKey();
            long quota = quotaOf(prefix);
            if (growth.getValue() > 0 && bytesUnder(prefix) + growth.getValue() > quota) {
                return "quota: " + prefix + " may hold " + quota + " bytes";
            }
        }
        return null;
    }

    private long quotaOf(String prefix) {
        Value quota = values.get(QUOTA_PREFIX + prefix);
        return quota != null && quota.text().matches("[0-9]{1,15}")
                ? Long.parseLong(quota.text())
                : DEFAULT_QUOTA_BYTES;
    }

    private static String prefixOf(String key) {
        int slash = key.indexOf('/');
        return slash < 0 ? key : key.substring(0, slash);
    }

    private static int utf8Length(String text) {
        int bytes = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            bytes += c < 0x80 ? 1 : c < 0x800 ? 2 : Character.isSurrogate(c) ? 2 : 3;
        }
        return bytes;
    }

    private static int size(String key, String value) {
        return value == null ? 0 : utf8Length(key) + utf8Length(value);
    }

    /**
     * Returns the number of bytes by which a change grows its prefix, negative if the prefix
     * shrinks.
     */
    private long growthOf(Change change) {
        Value before = values.get(change.key());
        return (long) size(change.key(), change.value())
                - (before == null ? 0 : size(change.key(), before.text()));
    }

    private void applyChange(long index, Change change) {
        String prefix = prefixOf(change.key());
        long bytes = bytesUnder(prefix) + growthOf(change);
        long heapGrowth = heapGrowthOf(change);
        heapBytes += heapGrowth;
        heapBytesByPrefix = heapBytesByPrefix.plus(prefix, heapBytesUnder(prefix) + heapGrowth);
        bytesByPrefix =
                bytes == 0 ? bytesByPrefix.minus(prefix) : bytesByPrefix.plus(prefix, bytes);
        values =
                change.value() == null
                        ? values.minus(change.key())
                        : values.plus(change.key(), new Value(change.value(), index));
    }

    private void addToHistory(ChangeSet changeSet) {
        history.add(changeSet);
        historyBytes += HeapSizes.of(changeSet);
        while (history.size() > MAX_HISTORY || historyBytes > maxHistoryBytes) {
            ChangeSet dropped = history.poll();
            historyBytes -= HeapSizes.of(dropped);
            historyStart = dropped.version();
        }
    }

    /** Encodes a command as the data of a log entry. */
    public static byte[] encode(Command command) {
        return KeyValueCodec.encode(command);
    }

    /**
     * An immutable copy of the state, created in constant time. It may be encoded on any thread. It
     * shares the values that the state still holds, and encodes them while it is read.
     */
    public final class Frozen implements SnapshotData {
        private final TreePMap<String, Value> frozenValues = values;
        private final TreePMap<String, Session> frozenSessions = sessions;
        private final TreePMap<String, Long> frozenBytesByPrefix = bytesByPrefix;
        private final TreePMap<String, Long> frozenHeapBytesByPrefix = heapBytesByPrefix;
        private final long frozenHeapBytes = heapBytes;
        private final long frozenVersion = version;
        private volatile int encodedLength;

        /** Returns the version of the state at the time of the copy. */
        public long version() {
            return frozenVersion;
        }

        @Override
        public int length() {
            if (encodedLength == 0) {
                encodedLength = SnapshotEncoder.length(frozenVersion, frozenValues, frozenSessions);
            }
            return encodedLength;
        }

        @Override
        public InputStream open() {
            return new SnapshotEncoder(frozenVersion, frozenValues, frozenSessions, length());
        }

        /** Returns a state with the content of this copy, which shares its values. */
        KeyValueState thaw() {
            KeyValueState state = new KeyValueState();
            state.values = frozenValues;
            state.sessions = frozenSessions;
            state.bytesByPrefix = frozenBytesByPrefix;
            state.heapBytesByPrefix = frozenHeapBytesByPrefix;
            state.heapBytes = frozenHeapBytes;
            state.version = frozenVersion;
            state.historyStart = frozenVersion;
            return state;
        }
    }

    /** Returns an immutable copy of the present state. */
    public Frozen freeze() {
        return new Frozen();
    }

    /**
     * Decodes a state from a snapshot; no bytes yield an empty state. Throws IOException if the
     * bytes are malformed or were written by a newer version of the program.
     */
    public static KeyValueState fromSnapshot(SnapshotData data) throws IOException {
        KeyValueState state = new KeyValueState();
        if (data.length() > 0) {
            try (InputStream in = data.open()) {
                KeyValueCodec.decodeSnapshot(in, state.new Loader());
            }
        }
        return state;
    }

    /** Decodes a state from the bytes of a snapshot, like {@link #fromSnapshot}. */
    public static KeyValueState fromBytes(byte[] bytes) throws IOException {
        return fromSnapshot(SnapshotData.of(bytes));
    }

    /** Fills an empty state with the content of a snapshot. */
    private final class Loader implements KeyValueCodec.SnapshotReader {
        @Override
        public void version(long snapshotVersion) {
            version = snapshotVersion;
            historyStart = snapshotVersion;
        }

        @Override
        public void value(String key, Value value) {
            applyChange(value.version(), new Change(key, value.text()));
        }

        @Override
        public void session(String name, Session session) {
            sessions = sessions.plus(name, session);
        }
    }
}
