/**
 * Makes the decisions of one broker: the replica for each shard request, timeouts, retries and
 * hedged requests, outlier ejection, slow start, admission and load shedding, and the time at which
 * a query is answered.
 *
 * <p>{@link reeldeal.decision.DecisionModule} defines the events that it receives and the actions
 * with which it responds; {@link reeldeal.decision.DecisionEngine} implements it. The package
 * imports no other package of the project, reads no clock, does no I/O and starts no thread.
 *
 * <p>One {@code DecisionEngine} owns all state through the objects that it creates, each of which
 * owns one part: {@code ServerRegistry} the servers, {@code QueryTable} the queries in flight,
 * {@code RetryBudget} the retry counts, and so on. All state is confined to the thread that calls
 * the engine, which is the broker's event loop.
 */
package reeldeal.decision;
