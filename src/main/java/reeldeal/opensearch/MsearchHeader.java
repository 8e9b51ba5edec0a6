package reeldeal.opensearch;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Parses the metadata line that precedes each search of an {@code _msearch} body. Its only
 * supported key is {@code index}.
 */
final class MsearchHeader {
    private static final JsonFactory JSON = new JsonFactory();

    private MsearchHeader() {}

    /** Returns the index named in the line, or the default if the line names none. */
    static String index(byte[] line, String defaultIndex) throws UnsupportedRequestException {
        if (new String(line, StandardCharsets.UTF_8).isBlank()) {
            return defaultIndex;
        }
        String index = defaultIndex;
        try (JsonParser json = JSON.createParser(line)) {
            boolean isObject = json.nextToken() == JsonToken.START_OBJECT;
            while (isObject && json.nextToken() == JsonToken.FIELD_NAME) {
                String field = json.currentName();
                if (!field.equals("index") || json.nextToken() != JsonToken.VALUE_STRING) {
                    throw UnsupportedRequestException.illegalArgument(
                            "key [" + field + "] is not supported in the metadata section");
                }
                index = json.getText();
            }
            if (!isObject || json.nextToken() != null) {
                throw UnsupportedRequestException.parsing("malformed metadata line");
            }
        } catch (IOException e) {
            throw UnsupportedRequestException.parsing("malformed metadata line");
        }
        return index;
    }
}
