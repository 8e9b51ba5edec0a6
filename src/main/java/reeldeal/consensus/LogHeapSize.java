package reeldeal.consensus;

/**
 * The approximate heap size of a log's entries after its snapshot, in bytes.
 *
 * @param allBytes the size of all entries
 * @param deliveredBytes the size of the entries that were delivered as committed
 */
public record LogHeapSize(long allBytes, long deliveredBytes) {}
