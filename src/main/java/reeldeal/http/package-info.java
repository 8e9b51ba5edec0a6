/**
 * HTTP/1.1 over Netty's channels: a bounded parser, a server and a client.
 *
 * <p>The package depends on no other package of the program, and of Netty it uses only buffers,
 * channels and transport. {@link reeldeal.http.HttpServer} owns its connections, and each
 * connection owns its parser and its current exchange; all of them are used only on the event loop
 * that the server was given. {@link reeldeal.http.HttpClient} makes one call at a time on its
 * connection, on the event loop of its caller.
 */
package reeldeal.http;
