/**
 * The front for the platform's clients: maps HTTP exchanges to requests of the core, and replies to
 * responses.
 *
 * <p>May import {@code core}, {@code decision} and {@code http}. It owns the HTTP exchanges with a
 * pending reply, and is used on the thread of the broker's event loop.
 */
package reeldeal.platform;
