/**
 * Reassembles length-prefixed frames from the bytes that a connection receives.
 *
 * <p>Imports no other package of the program. Each connection owns its buffer and uses it on the
 * thread of its event loop.
 */
package reeldeal.frames;
