/**
 * Connects the takeover of keyed requests ({@code reeldeal.fleet.takeover}) to the store, to the
 * broker and to its clients. {@link reeldeal.takeover.RecordingSubmitter} submits the fronts'
 * requests to the broker and owns the runs, on the broker's loop; {@code RequestRecordStore} owns
 * the records in flight, on the store's loop. Each calls the other only by tasks on the other's
 * loop.
 *
 * <p>Imports {@code core}, {@code decision}, {@code store} and the fleet's packages.
 */
package reeldeal.takeover;
