/**
 * The state machine of a broker, which turns events into effects, in ticks of the event loop.
 *
 * <p>{@link reeldeal.core.Reducer} is the only place where the state of requests and searchers
 * changes. It hosts the decision module and owns all state of this package through the objects that
 * it creates; it reads no clock, does no I/O and is confined to the broker's event-loop thread. The
 * server creates the {@link reeldeal.core.Event}s, and performs the {@link reeldeal.core.Effect}s.
 * Fronts submit requests through {@link reeldeal.core.RequestSubmitter}.
 *
 * <p>Apart from the Java library the package imports only {@code reeldeal.decision}.
 */
package reeldeal.core;
