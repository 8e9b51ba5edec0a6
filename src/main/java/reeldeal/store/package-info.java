/**
 * The replicated key-value store. It wires {@code reeldeal.consensus} and {@code reeldeal.storage}
 * to sockets and threads, and provides committed values, writes, and messages between nodes to the
 * other packages. {@link reeldeal.store.StoreNode} is the entry point.
 *
 * <p>The package imports {@code reeldeal.consensus}, {@code reeldeal.storage} and {@code
 * reeldeal.frames}; it does not interpret the values.
 *
 * <p>All state belongs to the node's event loop, which also applies the committed entries ({@code
 * LogApplier}). Two more threads do the blocking work: {@code store-disk} writes the log ({@code
 * DiskQueue}), and {@code store-snapshot} creates snapshots and backups ({@code
 * SnapshotScheduler}). Both receive immutable copies and pass their results to the event loop.
 */
package reeldeal.store;
