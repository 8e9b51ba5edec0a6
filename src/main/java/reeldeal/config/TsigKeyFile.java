package reeldeal.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Base64;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import reeldeal.config.BrokerConfig.InvalidConfigException;
import reeldeal.dns.Names;
import reeldeal.dns.Tsig;

/**
 * Reads and writes files with one TSIG key each: {@code {"name": "...", "algorithm": "hmac-sha256",
 * "secret": "base64"}}. Only the owner may have access to such a file.
 */
public final class TsigKeyFile {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int MIN_SECRET_BYTES = 16;

    private TsigKeyFile() {}

    /** Reads the key in a file; rejects a file to which others than its owner have access. */
    public static Tsig.Key read(Path file) throws InvalidConfigException {
        return read(file, true);
    }

    /** Reads the key in a file and checks the file's mode only if {@code checkMode} is set. */
    static Tsig.Key read(Path file, boolean checkMode) throws InvalidConfigException {
        Map<String, String> values = new HashMap<>();
        try {
            if (checkMode && Files.getFileStore(file).supportsFileAttributeView("posix")) {
                Set<PosixFilePermission> otherPermissions =
                        EnumSet.copyOf(Files.getPosixFilePermissions(file));
                otherPermissions.removeAll(PosixFilePermissions.fromString("rwx------"));
                if (!otherPermissions.isEmpty()) {
                    throw new InvalidConfigException(
                            file
                                    + ": expected mode 600 or 400, found "
                                    + PosixFilePermissions.toString(
                                            Files.getPosixFilePermissions(file))
                                    + "; run chmod 600 "
                                    + file);
                }
            }
            if (!Files.isRegularFile(file, LinkOption.NOFOLLOW_LINKS)) {
                throw new InvalidConfigException(file + ": expected a regular file");
            }
            try (JsonParser json = JSON.createParser(Files.readAllBytes(file))) {
                if (json.nextToken() != JsonToken.START_OBJECT) {
                    throw new InvalidConfigException(file + ": expected a JSON object");
                }
                JsonPaths.read(json, "", values, 0);
            }
        } catch (IOException e) {
            // The message of a JSON error may quote the secret, so it is not passed on.
            throw new InvalidConfigException(
                    file
                            + ": cannot be read: "
                            + (e instanceof java.nio.file.FileSystemException
                                    ? e.getMessage()
                                    : "not JSON"));
        }
        String name = Names.parse(values.getOrDefault("name", ""), ".");
        String algorithm = values.getOrDefault("algorithm", "hmac-sha256");
        if (name == null || name.equals(".")) {
            throw new InvalidConfigException(file + ": name: expected a domain name");
        }
        try {
            byte[] secret = Base64.getDecoder().decode(values.getOrDefault("secret", ""));
            if (secret.length < MIN_SECRET_BYTES) {
                throw new InvalidConfigException(
                        file
                                + ": secret: expected at least "
                                + MIN_SECRET_BYTES
                                + " bytes in base64");
            }
            return new Tsig.Key(
                    name, algorithm.endsWith(".") ? algorithm : algorithm + ".", secret);
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException(
                    file
                            + (e.getMessage().startsWith("expected")
                                    ? ": algorithm: " + e.getMessage()
                                    : ": secret: expected base64"));
        }
    }

    /** Writes a key to a new file that only its owner can read and write. */
    public static void write(Path file, Tsig.Key key) throws IOException {
        String text =
                "{\"name\": \""
                        + key.name()
                        + "\", \"algorithm\": \""
                        + key.algorithm().substring(0, key.algorithm().length() - 1)
                        + "\",\n \"secret\": \""
                        + Base64.getEncoder().encodeToString(key.secret())
                        + "\"}\n";
        try (var out =
                Files.newByteChannel(
                        file,
                        Set.of(
                                java.nio.file.StandardOpenOption.CREATE_NEW,
                                java.nio.file.StandardOpenOption.WRITE),
                        PosixFilePermissions.asFileAttribute(
                                PosixFilePermissions.fromString("rw-------")))) {
            out.write(
                    java.nio.ByteBuffer.wrap(
                            text.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
        }
    }
}
