/**
 * Implements OpenSearch's query API on both sides of the broker: a front that serves {@code
 * _search} and {@code _msearch}, and a transport to searchers that serve {@code _msearch}.
 *
 * <p>May import {@code core}, {@code config}, {@code http} and {@code searchers}. Unsupported
 * options are rejected with an error that names them, never ignored. All code runs on the broker's
 * event loop; {@link reeldeal.opensearch.IdempotencyCache} owns the idempotency keys that this
 * broker caches, {@link reeldeal.opensearch.OpenSearchTransport} owns the connections.
 */
package reeldeal.opensearch;
