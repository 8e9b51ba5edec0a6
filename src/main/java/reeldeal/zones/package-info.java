/**
 * Serves DNS zones from the replicated store: sockets, batched updates, outgoing and incoming zone
 * transfers, and notifications of secondaries.
 *
 * <p>This package determines the order in which zones change: a zone changes only when the store
 * delivers a committed write. The content of answers, updates, transfers and signatures is computed
 * in {@code dns}, and the list of searchers in {@code endpoints}. All code here runs on the state
 * loop, never on the loop that serves queries for searchers.
 */
package reeldeal.zones;
