/**
 * The front for the platform's clients: converts each HTTP request to a request of the core, and
 * each reply of the core to an HTTP response.
 *
 * <p>May import {@code core}, {@code decision} and {@code http}. It owns the HTTP exchanges with a
 * pending reply, and is used on the thread of the broker's event loop.
 */
package reeldeal.platform;
