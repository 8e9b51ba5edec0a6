package reeldeal.fleet;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Form-encoded attributes, the encoding of all stored values and messages of the fleet: {@code
 * key=value} pairs separated by single spaces, with each value escaped as in a URL query. Keeps the
 * order in which attributes were added. Mutable, for use by one thread at a time.
 */
public final class FormAttributes {
    private static final Pattern INTEGER = Pattern.compile("-?[0-9]{1,18}");

    private final Map<String, String> attributes = new LinkedHashMap<>();

    /**
     * Parses attributes. Text without {@code =} is ignored, so that a later version of the program
     * can extend the format.
     */
    public static FormAttributes of(String text) {
        FormAttributes parsed = new FormAttributes();
        for (String attribute : text.split(" ")) {
            int equals = attribute.indexOf('=');
            if (equals > 0) {
                String key = attribute.substring(0, equals);
                parsed.attributes.put(key, unescape(attribute.substring(equals + 1)));
            }
        }
        return parsed;
    }

    private static String unescape(String value) {
        try {
            return URLDecoder.decode(value, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return value; // typed by hand, with a % that does not begin an escape
        }
    }

    /** Sets an attribute to the text of a value; returns this object. */
    public FormAttributes with(String key, Object value) {
        attributes.put(key, String.valueOf(value));
        return this;
    }

    /** Returns the value of an attribute, or "" if it is missing. */
    public String get(String key) {
        return attributes.getOrDefault(key, "");
    }

    /** Returns an attribute as an integer, or the default if it is missing or not an integer. */
    public long number(String key, long defaultValue) {
        String value = get(key);
        return INTEGER.matcher(value).matches() ? Long.parseLong(value) : defaultValue;
    }

    /** Returns a copy of all attributes. */
    public Map<String, String> all() {
        return Map.copyOf(attributes);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        attributes.forEach((key, value) -> append(text, key, value));
        return text.toString();
    }

    private static void append(StringBuilder text, String key, String value) {
        if (text.length() > 0) {
            text.append(' ');
        }
        text.append(key).append('=').append(URLEncoder.encode(value, StandardCharsets.UTF_8));
    }
}
