package reeldeal.fleet;

/**
 * An enum constant that is written to the replicated store. Its identifier is part of the stored
 * data and must not change, even if the constant is renamed in the code.
 */
public interface StoredIdentifier {

    /** Returns the text that represents this constant in stored values. */
    String stored();

    /**
     * Returns the constant with this identifier; if there is none, throws an
     * IllegalArgumentException with the type and the identifier.
     */
    static <E extends Enum<E> & StoredIdentifier> E parse(Class<E> type, String stored) {
        for (E constant : type.getEnumConstants()) {
            if (constant.stored().equals(stored)) {
                return constant;
            }
        }
        throw new IllegalArgumentException(
                "unknown stored identifier of " + type.getName() + ": " + stored);
    }
}
