/**
 * Rolling releases of a configuration or a program, as a state machine whose state is in the store.
 *
 * <p>{@link reeldeal.fleet.rollout.RolloutController} decides the next writes of the leader; {@link
 * reeldeal.fleet.rollout.RolloutOrders} creates the writes of operator orders. Imports {@code
 * reeldeal.fleet} and {@code reeldeal.fleet.disruption}. Only {@link
 * reeldeal.fleet.rollout.RolloutHealth} has state, in the memory of the leader, accessed on the
 * state loop.
 */
package reeldeal.fleet.rollout;
