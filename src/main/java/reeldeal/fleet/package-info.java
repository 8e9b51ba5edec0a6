/**
 * The replicated state of the fleet: {@link reeldeal.fleet.FleetView} is the stored state at one
 * version, {@link reeldeal.fleet.FleetCodec} encodes and decodes its values, and {@link
 * reeldeal.fleet.ConditionalWrite} is a change that is applied only at the versions it was based
 * on. The subpackages decide which changes to make.
 *
 * <p>The code does no I/O, reads no clock and starts no threads: time is passed as an argument, and
 * writes are returned as values. All packages except {@code fleet.node} import only other fleet
 * packages and the JDK. Instances belong to the thread that created them; the running program uses
 * them on the state loop.
 */
package reeldeal.fleet;
