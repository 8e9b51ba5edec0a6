package reeldeal.store;

/** The new value of one key; a null value deletes the key. */
public record Change(String key, String value) {}
