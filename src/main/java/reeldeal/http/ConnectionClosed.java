package reeldeal.http;

import java.net.SocketAddress;

/**
 * The end of a server's connection.
 *
 * @param client the client's address, null if it is not known any more
 * @param reason why the connection was closed
 * @param unanswered whether a request waited for its response
 */
public record ConnectionClosed(SocketAddress client, CloseReason reason, boolean unanswered) {}
