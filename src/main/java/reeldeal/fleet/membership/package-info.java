/**
 * Membership of brokers by leases: the leases as the leader tracks them ({@link
 * reeldeal.fleet.membership.LeaseTable}), the lease at its holder ({@link
 * reeldeal.fleet.membership.Lease}), the member of the local process ({@link
 * reeldeal.fleet.membership.LocalMember}) and the common wall clock of the fleet ({@link
 * reeldeal.fleet.membership.ClockMedian}).
 *
 * <p>Imports {@code reeldeal.fleet} and {@code reeldeal.fleet.disruption}. State is held in the
 * memory of one node, owned by the class that changes it, and accessed on the state loop only.
 */
package reeldeal.fleet.membership;
