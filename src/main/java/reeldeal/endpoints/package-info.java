/**
 * The list of searchers: merges the reports of all sources (zones, discovery, administrative
 * overrides) into one view, with a reason for each entry.
 *
 * <p>Owns the rules by which a name is listed, held, drained, damped and dropped; it does not
 * select searchers for queries. May import {@code core}, {@code decision} (events and their values)
 * and {@code dns}. {@link reeldeal.endpoints.EndpointView} owns the state and gets the time as a
 * parameter; only {@link reeldeal.endpoints.EndpointFeed} depends on an event loop, on which all of
 * the state is used.
 */
package reeldeal.endpoints;
