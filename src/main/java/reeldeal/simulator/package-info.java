/**
 * The adapter to the operators' simulator. It reads batches of events from standard input, and
 * writes one reply with the decision module's actions to each to standard output. It hosts any
 * number of brokers, each with its own decision module, and runs on one thread.
 *
 * <p>May import {@code decision} and {@code config}; only the program's entry point imports it. The
 * simulator defines the record formats, which cannot change; only {@link
 * reeldeal.simulator.EventRecord} and {@link reeldeal.simulator.ActionWriter} depend on them.
 */
package reeldeal.simulator;
