/**
 * Storage of a node's data directory: the log in segments, a snapshot, the term and vote, and a
 * mark that records up to which entry the log was flushed. {@link reeldeal.storage.DataDirectory}
 * is the entry point. {@code SegmentedLog}, {@code SnapshotFiles}, {@code VoteFile} and {@code
 * MarkFile} each own one kind of file; {@code ChecksummedRecords} defines the record format that
 * all of them share.
 *
 * <p>The package imports {@code reeldeal.consensus} for the types that it stores, and no other
 * package of this program. It does not interpret the entries' data, and uses no sockets or clocks.
 * Its calls block on the disk, so they must run on a thread of their own, one at a time; only
 * {@code DataDirectory.prepare} may run concurrently with the others.
 */
package reeldeal.storage;
