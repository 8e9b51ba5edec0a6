/**
 * The commands for operators, based on picocli. {@code serve} loads none of these classes. The
 * commands reach a running daemon only over the network, as any other client does.
 */
package reeldeal.cli;
