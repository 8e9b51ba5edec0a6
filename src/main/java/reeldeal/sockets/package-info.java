/**
 * TCP channels that treat failing system calls as Linux documents them: a failed accept is tried
 * again soon.
 *
 * <p>Imports no other package of the program.
 */
package reeldeal.sockets;
