package reeldeal.dns;

import java.io.ByteArrayOutputStream;

/**
 * Converts domain names between wire form and text. Text is absolute and in lower case; every byte
 * other than a letter, a digit, {@code -}, {@code _} or {@code *} is written as {@code \DDD}.
 */
public final class Names {
    static final int MAX_NAME = 255;
    static final int MAX_LABEL = 63;

    private Names() {}

    /** Appends one label in wire form to a name in text form. */
    static void appendLabel(StringBuilder name, byte[] bytes, int from, int length) {
        for (int i = from; i < from + length; i++) {
            int character = bytes[i] & 0xff;
            character = character >= 'A' && character <= 'Z' ? character + 32 : character;
            if ((character >= 'a' && character <= 'z')
                    || (character >= '0' && character <= '9')
                    || character == '-'
                    || character == '_'
                    || character == '*') {
                name.append((char) character);
            } else {
                name.append('\\')
                        .append((char) ('0' + character / 100))
                        .append((char) ('0' + character / 10 % 10))
                        .append((char) ('0' + character % 10));
            }
        }
        name.append('.');
    }

    /**
     * Parses a name that may be relative to an origin. Returns null if the text is not a valid
     * name.
     */
    public static String parse(String text, String origin) {
        if (text.equals("@")) {
            return origin;
        }
        byte[] wire =
                wire(isAbsolute(text) ? text : text + "." + (origin.equals(".") ? "" : origin));
        return wire == null ? null : text(wire, 0);
    }

    /** Returns whether the text ends in an unescaped dot. */
    static boolean isAbsolute(String text) {
        int backslashes = 0;
        for (int i = text.length() - 2; i >= 0 && text.charAt(i) == '\\'; i--) {
            backslashes++;
        }
        return text.endsWith(".") && backslashes % 2 == 0;
    }

    /** Returns the uncompressed wire form of a name, or null if the text is not a valid name. */
    public static byte[] wire(String text) {
        if (text.equals(".")) {
            return new byte[1];
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream(text.length() + 2);
        ByteArrayOutputStream label = new ByteArrayOutputStream(MAX_LABEL);
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character == '.') {
                if (label.size() == 0 || label.size() > MAX_LABEL) {
                    return null;
                }
                out.write(label.size());
                out.writeBytes(label.toByteArray());
                label.reset();
            } else if (character == '\\') {
                int code = decodeEscape(text, i);
                if (code < 0) {
                    return null;
                }
                label.write(code);
                i += Character.isDigit(text.charAt(i + 1)) ? 3 : 1;
            } else if (character > 32 && character < 127) {
                label.write(character);
            } else {
                return null;
            }
        }
        out.write(0);
        return label.size() > 0 || out.size() > MAX_NAME ? null : out.toByteArray();
    }

    /**
     * Returns the byte that the escape at this offset stands for, or -1 if the escape is invalid.
     */
    static int decodeEscape(String text, int offset) {
        if (offset + 1 >= text.length()) {
            return -1;
        }
        if (!isDigit(text.charAt(offset + 1))) {
            return text.charAt(offset + 1) < 128 ? text.charAt(offset + 1) : -1;
        }
        if (offset + 3 >= text.length()
                || !isDigit(text.charAt(offset + 2))
                || !isDigit(text.charAt(offset + 3))) {
            return -1;
        }
        int code = Integer.parseInt(text.substring(offset + 1, offset + 4));
        return code > 255 ? -1 : code;
    }

    static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }

    /** Returns the text of the uncompressed name that starts at {@code from}. */
    public static String text(byte[] wire, int from) {
        StringBuilder name = new StringBuilder();
        for (int offset = from; wire[offset] != 0; offset += 1 + wire[offset]) {
            appendLabel(name, wire, offset + 1, wire[offset]);
        }
        return name.length() == 0 ? "." : name.toString();
    }

    /** Returns whether a name is equal to {@code origin} or below it. */
    public static boolean within(String name, String origin) {
        return origin.equals(".")
                || name.equals(origin)
                || (name.endsWith(origin)
                        && name.charAt(name.length() - origin.length() - 1) == '.');
    }

    /** Returns the name without its first label; the parent of the root is the root. */
    public static String parent(String name) {
        int dot = name.indexOf('.');
        return dot < 0 || dot == name.length() - 1 ? "." : name.substring(dot + 1);
    }

    /** Returns the number of labels in a name, 0 for the root. */
    public static int labels(String name) {
        int labels = 0;
        for (int i = 0; i < name.length(); i++) {
            labels += name.charAt(i) == '.' ? 1 : 0;
        }
        return name.equals(".") ? 0 : labels;
    }

    /**
     * Returns the key by which a zone sorts a name: its labels from the root down, each followed by
     * a byte that sorts before all others, so that a name sorts directly before the names below it
     * (as in RFC 4034, section 6.1).
     */
    static String sortKey(String name) {
        StringBuilder key = new StringBuilder(name.length() + 1);
        int end = name.length() - 1;
        while (end > 0) {
            int dot = name.lastIndexOf('.', end - 1);
            key.append(name, dot + 1, end).append('\u0001');
            end = dot;
        }
        return key.toString();
    }
}
