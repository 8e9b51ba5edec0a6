/**
 * Lets keyed requests survive the failure of their broker: a request is recorded before its first
 * shard request is sent, is claimed by one other broker once its owner's lease has ended, and has
 * one outcome.
 *
 * <p>{@link reeldeal.fleet.takeover.InFlightRequests} is the state machine of one broker, {@link
 * reeldeal.fleet.takeover.TakeoverPolicy} has the rules. The package does no I/O; {@code
 * reeldeal.takeover} connects it to the store and the broker. Imports {@code reeldeal.fleet} and
 * {@code reeldeal.fleet.disruption}. The state is in the memory of one broker and is used on the
 * store's loop.
 */
package reeldeal.fleet.takeover;
