package reeldeal.dns;

import java.io.ByteArrayOutputStream;

/** Domain names as text: absolute, in lower case, with what is no letter, digit, - _ or * as {@code \DDD}. */
final class Names {
    static final int MAX_NAME = 255;
    static final int MAX_LABEL = 63;

    private Names() { }

    /** Adds one label of the wire to a name. */
    static void label(StringBuilder name, byte[] bytes, int from, int length) {
        for (int i = from; i < from + length; i++) {
            int c = bytes[i] & 0xff;
            c = c >= 'A' && c <= 'Z' ? c + 32 : c;
            if (c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '*') {
                name.append((char) c);
            } else {
                name.append(String.format("\\%03d", c));
            }
        }
        name.append('.');
    }

    /** The name that this text stands for under an origin, or null where it is none. */
    static String parse(String text, String origin) {
        if (text.equals("@")) {
            return origin;
        }
        byte[] wire = wire(text.endsWith(".") && !text.endsWith("\\.") ? text : text + "." + (origin.equals(".") ? ""
                : origin));
        return wire == null ? null : text(wire);
    }

    /** The name on the wire, without compression, or null where the text is no name. */
    static byte[] wire(String text) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream label = new ByteArrayOutputStream();
        if (text.equals(".")) {
            return new byte[1];
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '.') {
                if (label.size() == 0 || label.size() > MAX_LABEL) {
                    return null;
                }
                out.write(label.size());
                out.writeBytes(label.toByteArray());
                label.reset();
            } else if (c == '\\') {
                int code = escape(text, i);
                if (code < 0) {
                    return null;
                }
                label.write(code);
                i += Character.isDigit(text.charAt(i + 1)) ? 3 : 1;
            } else if (c > 32 && c < 127) {
                label.write(c);
            } else {
                return null;
            }
        }
        out.write(0);
        return label.size() > 0 || out.size() > MAX_NAME ? null : out.toByteArray();
    }

    /** What the escape at this place stands for, or -1. */
    static int escape(String text, int at) {
        if (at + 1 >= text.length()) {
            return -1;
        }
        if (!Character.isDigit(text.charAt(at + 1))) {
            return text.charAt(at + 1) < 128 ? text.charAt(at + 1) : -1;
        }
        if (at + 3 >= text.length() || !text.substring(at + 1, at + 4).matches("[0-9]{3}")) {
            return -1;
        }
        int code = Integer.parseInt(text.substring(at + 1, at + 4));
        return code > 255 ? -1 : code;
    }

    private static String text(byte[] wire) {
        StringBuilder name = new StringBuilder();
        for (int at = 0; wire[at] != 0; at += 1 + wire[at]) {
            label(name, wire, at + 1, wire[at]);
        }
        return name.length() == 0 ? "." : name.toString();
    }

    /** Whether a name lies in a zone. */
    static boolean within(String name, String origin) {
        return origin.equals(".") || name.equals(origin) || name.endsWith("." + origin);
    }
}
