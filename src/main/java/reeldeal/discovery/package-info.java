/**
 * Discovery of searchers over HTTP: watches the discovery service's catalogue and parses its
 * endpoint lists.
 *
 * <p>May import {@code core}, {@code decision} and {@code http}. {@link
 * reeldeal.discovery.DiscoveryWatcher} owns the index of the watch and its retries, on the thread
 * of its event loop; the parser is stateless.
 */
package reeldeal.discovery;
