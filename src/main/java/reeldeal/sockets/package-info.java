/**
 * TCP channels that treat failing system calls as Linux documents them: a failed accept is tried
 * again soon, an interrupted read is no end of a stream, and a socket that cannot be opened fails
 * like any other connection.
 *
 * <p>Imports no other package of the program. Every TCP connection of the program is made here.
 */
package reeldeal.sockets;
