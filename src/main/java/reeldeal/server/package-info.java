/**
 * The program's entry point: reads the arguments, assembles a broker from the other packages,
 * starts it and shuts it down.
 *
 * <p>May import every other package, and no other package may import it. {@link
 * reeldeal.server.BrokerServer} owns the event loop that serves queries; zones, the store and the
 * fleet run on separate event loops, and access the broker only through tasks submitted to its
 * loop.
 */
package reeldeal.server;
