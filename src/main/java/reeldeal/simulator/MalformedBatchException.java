package reeldeal.simulator;

/**
 * Reports input that violates the simulator's format. The message gives the batch and the record,
 * where they are known, and the violation.
 */
final class MalformedBatchException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedBatchException(String message) {
        super(message);
    }
}
