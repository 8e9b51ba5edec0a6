package reeldeal.searchers;

/**
 * The end of a connection to a searcher.
 *
 * @param address the searcher's address
 * @param reason why the connection was closed
 * @param openAttempts the number of attempts that end with it
 */
public record SearcherConnectionClosed(String address, String reason, int openAttempts) {}
