/**
 * A replicated log for a group of nodes, by the Raft consensus algorithm as published by Ongaro and
 * Ousterhout (In Search of an Understandable Consensus Algorithm, 2014) and in Ongaro's thesis
 * (2014), cited as "thesis" by section. docs/design/store.md describes where this implementation
 * differs and why.
 *
 * <p>{@link reeldeal.consensus.RaftNode} is a deterministic state machine: messages, ticks and disk
 * completions are its inputs; a {@link reeldeal.consensus.Ready} with messages, disk requests and
 * committed entries is its output. It delegates to {@code Election}, {@code LogReplication}, {@code
 * SnapshotTransfer}, {@code ReadIndex}, {@code MembershipChange} and {@code LeadershipTransfer},
 * each of which owns its state. {@code RaftRules} holds the safety rules as pure predicates.
 *
 * <p>The package imports no other package of this program, and uses no sockets, files, threads or
 * clocks. It has no locks: the thread of the {@code StoreNode} makes all calls.
 */
package reeldeal.consensus;
