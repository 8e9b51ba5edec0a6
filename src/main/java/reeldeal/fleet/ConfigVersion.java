package reeldeal.fleet;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes the version of a configuration: the first hexadecimal digits of the SHA-256 digest of
 * its text, so that equal texts have the same version.
 */
public final class ConfigVersion {
    private static final int DIGITS = 12;

    private ConfigVersion() {}

    /** Returns the version of a configuration text, 12 hexadecimal digits. */
    public static String of(String text) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest).substring(0, DIGITS);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, though every Java platform must provide it", e);
        }
    }
}
