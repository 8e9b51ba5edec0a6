package reeldeal.store;

import java.util.List;

/**
 * Estimates how many bytes of the heap the store's objects take, on a 64-bit JVM with compressed
 * pointers and compact strings. Pure functions.
 */
final class HeapSizes {
    private static final long STRING_BYTES = 48;
    private static final int MAP_ENTRY_BYTES = 96;
    private static final int CHANGE_SET_BYTES = 112;
    private static final int CHANGE_BYTES = 32;
    private static final char MAX_LATIN_1 = 0xff;

    private HeapSizes() {}

    /** Returns the size of a text, 0 for null. */
    static long of(String text) {
        if (text == null) {
            return 0;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) > MAX_LATIN_1) {
                return STRING_BYTES + 2L * text.length();
            }
        }
        return STRING_BYTES + text.length();
    }

    /** Returns the size of a value in the state with its key, 0 if there is no value. */
    static long ofValue(String key, String value) {
        return value == null ? 0 : MAP_ENTRY_BYTES + of(key) + of(value);
    }

    /** Returns the size of changes, including the texts that the state may hold as well. */
    static long of(List<Change> changes) {
        long bytes = 0;
        for (Change change : changes) {
            bytes += CHANGE_BYTES + of(change.key()) + of(change.value());
        }
        return bytes;
    }

    /** Returns the size of a change set, including the texts that the state may hold as well. */
    static long of(KeyValueState.ChangeSet changeSet) {
        return CHANGE_SET_BYTES + of(changeSet.changes());
    }
}
