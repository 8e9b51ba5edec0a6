package reeldeal.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Flattens nested JSON into values by path, in the format of the simulator's wire protocol: an
 * array of scalars becomes one comma-separated value; an array of objects has its length stored
 * under {@code count}.
 */
public final class JsonPaths {
    private static final int MAX_DEPTH = 16;

    private JsonPaths() {}

    /** Reads the value at the parser's current token into {@code target}, under its path. */
    public static void read(JsonParser json, String path, Map<String, String> target, int depth)
            throws IOException {
        if (depth > MAX_DEPTH) {
            throw new IOException("nested more than " + MAX_DEPTH + " levels deep at " + path);
        }
        JsonToken token = json.currentToken();
        if (token == JsonToken.START_OBJECT) {
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String name = json.currentName();
                json.nextToken();
                read(json, path.isEmpty() ? name : path + "." + name, target, depth + 1);
            }
        } else if (token == JsonToken.START_ARRAY) {
            StringJoiner scalars = new StringJoiner(",");
            int count = 0;
            boolean hasObjects = false;
            while (json.nextToken() != JsonToken.END_ARRAY) {
                if (json.currentToken().isScalarValue()) {
                    // A comma inside an item would later split it into two items.
                    scalars.add(json.getText().replace(',', '_'));
                } else {
                    hasObjects = true;
                    read(json, path + "." + count, target, depth + 1);
                }
                count++;
            }
            target.put(
                    hasObjects ? path + ".count" : path,
                    hasObjects ? String.valueOf(count) : scalars.toString());
        } else if (token != JsonToken.VALUE_NULL) {
            target.put(path, json.getText());
        }
    }
}
