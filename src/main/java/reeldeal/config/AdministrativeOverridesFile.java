package reeldeal.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import reeldeal.config.BrokerConfig.InvalidConfigException;
import reeldeal.endpoints.EndpointView.AdministrativeOverride;

/**
 * Reads the file of the operator's administrative overrides: a JSON object that maps searcher names
 * to ready, draining or gone.
 */
public final class AdministrativeOverridesFile {
    private static final JsonFactory JSON = new JsonFactory();

    private AdministrativeOverridesFile() {}

    /** Returns the overrides by searcher name; a missing file has no overrides. */
    public static Map<String, AdministrativeOverride> read(Path file)
            throws InvalidConfigException, IOException {
        Map<String, AdministrativeOverride> overrides = new HashMap<>();
        if (!Files.exists(file)) {
            return overrides;
        }
        try (JsonParser json = JSON.createParser(Files.readAllBytes(file))) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidConfigException(file + ": expected a JSON object");
            }
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String name = json.currentName();
                json.nextToken();
                String value = json.getText();
                AdministrativeOverride override = parse(value);
                if (name.isBlank() || override == null) {
                    throw new InvalidConfigException(
                            file
                                    + ": "
                                    + name
                                    + ": expected ready, draining or gone, found "
                                    + value);
                }
                overrides.put(name, override);
            }
        }
        return overrides;
    }

    private static AdministrativeOverride parse(String value) {
        return switch (value) {
            case "ready" -> AdministrativeOverride.READY;
            case "draining" -> AdministrativeOverride.DRAINING;
            case "gone" -> AdministrativeOverride.REMOVED;
            default -> null;
        };
    }
}
