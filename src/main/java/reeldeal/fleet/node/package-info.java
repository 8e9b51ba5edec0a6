/**
 * One node of the fleet: connects the fleet's state machines to the store, to timers and to the
 * broker. {@link reeldeal.fleet.node.FleetNode} owns the membership of this process, {@code
 * FleetLeadership} performs a leader's duties, {@code RecoveryProgress} tracks the recovery after a
 * start, {@code FleetAdminEndpoint} handles operators' requests, and {@code HeartbeatCodec} encodes
 * and decodes heartbeats.
 *
 * <p>Imports the fleet's packages, {@code store} and {@code core}. All state is used on the state
 * loop, which is the store's; the imported packages make the decisions.
 */
package reeldeal.fleet.node;
