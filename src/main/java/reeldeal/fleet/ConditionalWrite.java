package reeldeal.fleet;

import java.util.Map;
import java.util.TreeMap;

/**
 * A write to the store that is applied only if every key it was based on is still at the version
 * that was read. Mutable while the deciding thread builds it; must not be changed once it has been
 * passed to the store.
 *
 * @param expectedVersions the required version of each key, 0 for a key that must not exist
 * @param changes the new value of each key, null to delete the key
 * @param reason why the write is made, one line for the log
 */
public record ConditionalWrite(
        Map<String, Long> expectedVersions, Map<String, String> changes, String reason) {

    /** Returns a write without expectations or changes, to which both can be added. */
    public static ConditionalWrite withReason(String reason) {
        return new ConditionalWrite(new TreeMap<>(), new TreeMap<>(), reason);
    }

    /** Adds the precondition that a key is at a version; returns this write. */
    public ConditionalWrite expect(String key, long version) {
        expectedVersions.put(key, version);
        return this;
    }

    /**
     * Adds a change that sets a key to the text of a value, or deletes it if the value is null;
     * returns this write.
     */
    public ConditionalWrite put(String key, Object value) {
        changes.put(key, value == null ? null : value.toString());
        return this;
    }

    /** Adds the preconditions and changes of another write; returns this write. */
    public ConditionalWrite include(ConditionalWrite other) {
        expectedVersions.putAll(other.expectedVersions);
        changes.putAll(other.changes);
        return this;
    }
}
