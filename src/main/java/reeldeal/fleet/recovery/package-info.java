/**
 * Recovery of a whole fleet from a power outage: determines what was lost ({@link
 * reeldeal.fleet.recovery.OutageClassifier}), restores service in steps ({@link
 * reeldeal.fleet.recovery.RecoveryController}, {@link
 * reeldeal.fleet.recovery.BrokerRecoveryStatus}) and defines which earlier state is trusted ({@link
 * reeldeal.fleet.recovery.StateTrustPolicy}, {@link reeldeal.fleet.recovery.RollbackDetector}).
 *
 * <p>Does no I/O: {@code fleet.node} connects this package to the store and to timers. Imports
 * {@code reeldeal.fleet} and {@code reeldeal.fleet.rollout}. State is in the memory of one node;
 * used on the state loop.
 */
package reeldeal.fleet.recovery;
