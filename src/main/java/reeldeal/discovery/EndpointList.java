package reeldeal.discovery;

import java.util.List;
import reeldeal.core.Searcher;

/**
 * A complete endpoint list from discovery, or the changes to an earlier list.
 *
 * @param index discovery's version of the list; the next poll asks for changes after it
 * @param complete whether the list has all searchers rather than only those that changed
 * @param searchers the entries; removed searchers occur only in a list of changes
 */
public record EndpointList(long index, boolean complete, List<Searcher> searchers) {
    /** Creates a list with an immutable copy of the entries. */
    public EndpointList {
        searchers = List.copyOf(searchers);
    }
}
