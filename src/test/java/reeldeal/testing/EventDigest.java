package reeldeal.testing;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A running SHA-256 over events as text. Two programs that produce the same events in the same
 * order have the same digest, so a recorded digest shows that a change did not alter the behaviour
 * of a seeded simulation. The text of an event must not contain type names, since types may be
 * renamed.
 */
public final class EventDigest {
    private static final int SHOWN_BYTES = 12;
    private final MessageDigest digest;

    /** Creates a digest without events. */
    public EventDigest() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, though every Java platform must provide it", e);
        }
    }

    /** Adds the text of an event. */
    public void add(String event) {
        digest.update(event.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) '\n');
    }

    /**
     * Returns the digest of all events so far, in hexadecimal. Further events may be added
     * afterwards.
     */
    public String hex() {
        try {
            byte[] sum = ((MessageDigest) digest.clone()).digest();
            return HexFormat.of().formatHex(sum, 0, SHOWN_BYTES);
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException(
                    "the SHA-256 digest of the platform cannot be cloned", e);
        }
    }
}
