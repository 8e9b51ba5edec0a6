/**
 * The fleet's decisions on the node that leads the store, and operators' requests on any node.
 *
 * <p>{@link reeldeal.fleet.leader.FleetController} is the leader's state machine; {@link
 * reeldeal.fleet.leader.AdminRequestHandler} dispatches operators' requests to one handler per
 * operation. Imports the other packages of the fleet except {@code fleet.node} and {@code
 * fleet.takeover}. The controller owns its state, which is in memory and lasts for one leadership;
 * all classes are used on the state loop.
 */
package reeldeal.fleet.leader;
