package reeldeal.store;

/** An answer to an operator; {@code leader} is the address to ask instead, or empty. */
public record AdminAnswer(boolean ok, String text, String leader) {}
