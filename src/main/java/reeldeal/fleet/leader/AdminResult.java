package reeldeal.fleet.leader;

import reeldeal.fleet.ConditionalWrite;

/** The outcome of an operator's request, decided on one node's copy of the fleet's state. */
public sealed interface AdminResult {

    /** A complete answer: lines of {@link reeldeal.fleet.FormAttributes}, or one sentence. */
    record Answer(String text) implements AdminResult {}

    /** A write that has to be committed, and the answer to send after its commit. */
    record Write(String answer, ConditionalWrite write) implements AdminResult {}

    /** A rejected request, with the reason and, where possible, the remedy in one sentence. */
    record Rejection(String reason) implements AdminResult {}
}
