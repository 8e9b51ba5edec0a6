/**
 * The disruption budget: limits how many brokers and searchers may be out of service at the same
 * time, grants permits to go out, and releases them on evidence that the holder has returned.
 *
 * <p>The rules are functions of {@link reeldeal.fleet.FleetView} and the leader's observations, and
 * import {@code reeldeal.fleet} only. They have no state, so that any thread may call them.
 */
package reeldeal.fleet.disruption;
