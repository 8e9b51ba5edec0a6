package reeldeal.opensearch;

/**
 * Thrown for a request that is malformed or uses an unsupported feature. The message is sent to the
 * client as the reason.
 */
final class UnsupportedRequestException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final String ILLEGAL_ARGUMENT = "illegal_argument_exception";
    private static final String PARSING = "parsing_exception";
    private static final String INDEX_NOT_FOUND = "index_not_found_exception";

    private final String type;

    private UnsupportedRequestException(String type, String reason) {
        super(reason);
        this.type = type;
    }

    /** Returns an exception for an invalid or unsupported argument. */
    static UnsupportedRequestException illegalArgument(String reason) {
        return new UnsupportedRequestException(ILLEGAL_ARGUMENT, reason);
    }

    /** Returns an exception for a body that cannot be parsed. */
    static UnsupportedRequestException parsing(String reason) {
        return new UnsupportedRequestException(PARSING, reason);
    }

    /** Returns an exception for an index that is not configured. */
    static UnsupportedRequestException indexNotFound(String name) {
        return new UnsupportedRequestException(INDEX_NOT_FOUND, "no such index [" + name + "]");
    }

    /** Returns the OpenSearch error type. */
    String type() {
        return type;
    }

    /** Returns the HTTP status for the error type. */
    int status() {
        return type.equals(INDEX_NOT_FOUND) ? 404 : 400;
    }
}
