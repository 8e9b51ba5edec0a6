/**
 * Transports to searchers: send attempts and health checks, and report how each ended.
 *
 * <p>May import {@code core} and {@code decision} (events, effects and their values) and {@code
 * frames}; it makes no routing decisions. {@link reeldeal.searchers.ConnectionPool} owns the
 * connections, and each connection owns the attempts that are queued or in flight on it; both are
 * used on the thread of the broker's event loop only. {@code FrameCodec} and {@code LoadReport} are
 * stateless.
 */
package reeldeal.searchers;
