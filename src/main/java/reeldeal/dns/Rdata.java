package reeldeal.dns;

import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressString;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import reeldeal.dns.Types.Field;

/**
 * Converts record data between text form (RFC 1035, section 5; RFC 3597, section 5) and wire form.
 */
public final class Rdata {
    private static final long MAX_TTL = 0x7fffffffL;
    private static final int MAX_DATA_BYTES = 65_535;

    /** A token of a zone file, without its quotation marks. */
    record Token(String text, boolean quoted, int line, int column) {}

    /**
     * Thrown for record data that cannot be parsed. The message says what was expected; {@code
     * token} is the token at fault, or null if no single token is, as when data is missing. Without
     * a token {@link ZoneFile} reports the start of the entry.
     */
    static final class InvalidRdata extends Exception {
        private static final long serialVersionUID = 1L;
        final transient Token token;

        InvalidRdata(Token token, String expected) {
            super(expected);
            this.token = token;
        }
    }

    private Rdata() {}

    // ---- text to wire form ----

    /**
     * Parses the data of a record from its tokens and returns it in wire form; names are relative
     * to the origin.
     */
    static byte[] parse(int type, List<Token> tokens, String origin) throws InvalidRdata {
        if (!tokens.isEmpty() && tokens.get(0).text().equals("\\#") && !tokens.get(0).quoted()) {
            return parseGeneric(type, tokens);
        }
        Field[] fields = Types.fields(type);
        if (fields == null) {
            throw new InvalidRdata(
                    tokens.isEmpty() ? null : tokens.get(0),
                    "expected \\# and the data in hexadecimal, since type "
                            + Types.name(type)
                            + " is opaque");
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int i = 0;
        for (Field field : fields) {
            if (i >= tokens.size()) {
                throw new InvalidRdata(
                        null,
                        "expected "
                                + expectedInput(field)
                                + " (field "
                                + (i + 1)
                                + " of "
                                + Types.name(type)
                                + ")");
            }
            i = parseField(field, tokens, i, origin, out);
        }
        if (i < tokens.size()) {
            throw new InvalidRdata(
                    tokens.get(i), "expected the end of the " + Types.name(type) + " record");
        }
        if (out.size() > MAX_DATA_BYTES) {
            throw new InvalidRdata(null, "expected at most " + MAX_DATA_BYTES + " bytes of data");
        }
        return out.toByteArray();
    }

    private static byte[] parseGeneric(int type, List<Token> tokens) throws InvalidRdata {
        if (tokens.size() < 2) {
            throw new InvalidRdata(null, "expected the length of the data");
        }
        int length = (int) parseNumber(tokens.get(1), MAX_DATA_BYTES);
        StringBuilder digits = new StringBuilder();
        tokens.subList(2, tokens.size()).forEach(w -> digits.append(w.text()));
        byte[] data = parseHex(tokens.get(tokens.size() - 1), digits.toString());
        if (data.length != length) {
            throw new InvalidRdata(
                    tokens.get(1), "expected " + length + " bytes, found " + data.length);
        }
        // RFC 3597, section 5: data in generic form must still be valid for a known type.
        byte[] canonical = Message.canonicalData(type, data);
        if (canonical == null) {
            throw new InvalidRdata(
                    tokens.get(1), "expected data that is valid for type " + Types.name(type));
        }
        return canonical;
    }

    private static String expectedInput(Field field) {
        return switch (field) {
            case NAME, PLAIN_NAME -> "a domain name";
            case U8 -> "a number up to 255";
            case U16 -> "a number up to 65535";
            case U32 -> "a number up to 4294967295";
            case TIME -> "a time in seconds or with units, such as 1h30m";
            case IPV4 -> "an IPv4 address";
            case IPV6 -> "an IPv6 address";
            case STRING, STRINGS -> "a string of up to 255 bytes";
            case HEX -> "hexadecimal digits";
            case BASE64 -> "base64";
            case TEXT -> "text";
            case SERVICES -> "a protocol (tcp, udp or a number) and ports";
        };
    }

    private static int parseField(
            Field field, List<Token> tokens, int index, String origin, ByteArrayOutputStream out)
            throws InvalidRdata {
        Token token = tokens.get(index);
        switch (field) {
            case NAME, PLAIN_NAME -> {
                String name = Names.parse(token.text(), origin);
                if (name == null || token.quoted()) {
                    throw new InvalidRdata(token, "expected a domain name, found " + token.text());
                }
                out.writeBytes(Names.wire(name));
            }
            case U8 -> out.write((int) parseNumber(token, 255));
            case U16 -> writeNumber(out, parseNumber(token, 65_535), 2);
            case U32 -> writeNumber(out, parseNumber(token, 0xffffffffL), 4);
            case TIME -> writeNumber(out, parseTime(token), 4);
            case IPV4 -> out.writeBytes(parseAddress(token, false));
            case IPV6 -> out.writeBytes(parseAddress(token, true));
            case STRING -> writeString(token, out);
            case STRINGS -> {
                for (Token w : tokens.subList(index, tokens.size())) {
                    writeString(w, out);
                }
                return tokens.size();
            }
            case HEX, BASE64 -> {
                StringBuilder digits = new StringBuilder();
                tokens.subList(index, tokens.size()).forEach(w -> digits.append(w.text()));
                try {
                    out.writeBytes(
                            field == Field.HEX
                                    ? parseHex(token, digits.toString())
                                    : Base64.getDecoder().decode(digits.toString()));
                } catch (IllegalArgumentException e) {
                    throw new InvalidRdata(token, "expected base64, found " + digits);
                }
                return tokens.size();
            }
            case TEXT -> out.writeBytes(unescapedBytes(token));
            case SERVICES -> {
                out.write(
                        switch (token.text().toLowerCase(Locale.ROOT)) {
                            case "tcp" -> 6;
                            case "udp" -> 17;
                            default -> (int) parseNumber(token, 255);
                        });
                byte[] portBitmap = new byte[0];
                for (Token w : tokens.subList(index + 1, tokens.size())) {
                    int port = (int) parseNumber(w, 65_535);
                    portBitmap =
                            port / 8 < portBitmap.length
                                    ? portBitmap
                                    : Arrays.copyOf(portBitmap, port / 8 + 1);
                    portBitmap[port / 8] |= (byte) (0x80 >> port % 8);
                }
                out.writeBytes(portBitmap);
                return tokens.size();
            }
            default -> throw new IllegalStateException(field.name());
        }
        return index + 1;
    }

    private static void writeNumber(ByteArrayOutputStream out, long number, int bytes) {
        for (int i = bytes - 1; i >= 0; i--) {
            out.write((int) (number >> (8 * i)) & 0xff);
        }
    }

    static long parseNumber(Token token, long max) throws InvalidRdata {
        if (!token.text().matches("[0-9]{1,10}") || Long.parseLong(token.text()) > max) {
            throw new InvalidRdata(
                    token, "expected a number up to " + max + ", found " + token.text());
        }
        return Long.parseLong(token.text());
    }

    /**
     * Parses a number of seconds or a sum with units such as {@code 1h30m}, at most 2^31 - 1
     * seconds.
     */
    static long parseTime(Token token) throws InvalidRdata {
        long sum = 0;
        long number = -1;
        boolean valid = !token.text().isEmpty();
        for (char c : token.text().toUpperCase(Locale.ROOT).toCharArray()) {
            int unit = "SMHDW".indexOf(c);
            if (Names.isDigit(c)) {
                number = Math.max(0, number) * 10 + c - '0';
            } else if (unit >= 0 && number >= 0) {
                sum += number * new long[] {1, 60, 3_600, 86_400, 604_800}[unit];
                number = -1;
            } else {
                valid = false;
            }
            valid &= number <= MAX_TTL && sum + Math.max(0, number) <= MAX_TTL;
            if (!valid) {
                throw new InvalidRdata(
                        token,
                        "expected a time of at most " + MAX_TTL + " s, found " + token.text());
            }
        }
        return sum + Math.max(0, number);
    }

    private static byte[] parseAddress(Token token, boolean ipv6) throws InvalidRdata {
        IPAddress address =
                !token.text().matches(ipv6 ? "[0-9a-fA-F:.]{2,45}" : "[0-9]{1,3}(\\.[0-9]{1,3}){3}")
                        ? null
                        : new IPAddressString(token.text()).getAddress();
        if (address == null || address.isIPv6() != ipv6 || address.isMultiple()) {
            throw new InvalidRdata(
                    token, "expected an IPv" + (ipv6 ? 6 : 4) + " address, found " + token.text());
        }
        return address.getBytes();
    }

    private static byte[] parseHex(Token token, String digits) throws InvalidRdata {
        try {
            return HexFormat.of().parseHex(digits);
        } catch (IllegalArgumentException e) {
            throw new InvalidRdata(token, "expected pairs of hexadecimal digits, found " + digits);
        }
    }

    private static void writeString(Token token, ByteArrayOutputStream out) throws InvalidRdata {
        byte[] string = unescapedBytes(token);
        if (string.length > 255) {
            throw new InvalidRdata(
                    token, "expected a string of up to 255 bytes, found " + string.length);
        }
        out.write(string.length);
        out.writeBytes(string);
    }

    private static byte[] unescapedBytes(Token token) throws InvalidRdata {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String text = token.text();
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) == '\\') {
                int code = Names.decodeEscape(text, i);
                if (code < 0) {
                    throw new InvalidRdata(token, "expected an escape \\DDD or \\X in " + text);
                }
                out.write(code);
                i += Names.isDigit(text.charAt(i + 1)) ? 3 : 1;
            } else {
                int codePoint = text.codePointAt(i);
                out.writeBytes(
                        new String(Character.toChars(codePoint)).getBytes(StandardCharsets.UTF_8));
                i += Character.charCount(codePoint) - 1;
            }
        }
        return out.toByteArray();
    }

    // ---- wire form to text ----

    /**
     * Returns the data as zone file text; data of an unknown type or not valid for its type is
     * written in the generic form of RFC 3597.
     */
    public static String format(int type, byte[] data) {
        Field[] fields = Types.fields(type);
        if (fields == null || data.length == 0 || Message.canonicalData(type, data) == null) {
            return "\\# "
                    + data.length
                    + (data.length == 0 ? "" : " " + HexFormat.of().formatHex(data));
        }
        StringBuilder text = new StringBuilder();
        int offset = 0;
        for (Field field : fields) {
            if (offset == data.length && (field == Field.HEX || field == Field.BASE64)) {
                // An empty digit field cannot be written as a token.
                return "\\# " + data.length + " " + HexFormat.of().formatHex(data);
            }
            text.append(text.length() > 0 ? " " : "");
            offset = formatField(field, data, offset, text);
        }
        return text.toString();
    }

    private static int formatField(Field field, byte[] data, int offset, StringBuilder text) {
        switch (field) {
            case NAME, PLAIN_NAME -> {
                text.append(Names.text(data, offset));
                int end = offset;
                while (data[end] != 0) {
                    end += 1 + data[end];
                }
                return end + 1;
            }
            case U8, U16, U32, TIME -> {
                int bytes = field == Field.U8 ? 1 : field == Field.U16 ? 2 : 4;
                long number = 0;
                for (int i = 0; i < bytes; i++) {
                    number = number << 8 | (data[offset + i] & 0xff);
                }
                text.append(number);
                return offset + bytes;
            }
            case IPV4 -> {
                text.append(ipv4(data, offset));
                return offset + 4;
            }
            case IPV6 -> {
                text.append(
                        new inet.ipaddr.ipv6.IPv6Address(
                                        Arrays.copyOfRange(data, offset, offset + 16))
                                .toCanonicalString());
                return offset + 16;
            }
            case STRING -> {
                appendQuoted(data, offset + 1, data[offset] & 0xff, text);
                return offset + 1 + (data[offset] & 0xff);
            }
            case STRINGS -> {
                for (int i = offset; i < data.length; i += 1 + (data[i] & 0xff)) {
                    text.append(i > offset ? " " : "");
                    appendQuoted(data, i + 1, data[i] & 0xff, text);
                }
                return data.length;
            }
            case TEXT -> appendQuoted(data, offset, data.length - offset, text);
            case HEX -> text.append(HexFormat.of().formatHex(data, offset, data.length));
            case BASE64 ->
                    text.append(
                            Base64.getEncoder()
                                    .encodeToString(Arrays.copyOfRange(data, offset, data.length)));
            case SERVICES -> {
                text.append(data[offset] & 0xff);
                for (int port = 0; port < (data.length - offset - 1) * 8; port++) {
                    if ((data[offset + 1 + port / 8] & 0x80 >> port % 8) != 0) {
                        text.append(' ').append(port);
                    }
                }
            }
            default -> throw new IllegalStateException(field.name());
        }
        return data.length;
    }

    /** Returns four bytes as a dotted IPv4 address. */
    public static String ipv4(byte[] data, int offset) {
        return (data[offset] & 0xff)
                + "."
                + (data[offset + 1] & 0xff)
                + "."
                + (data[offset + 2] & 0xff)
                + "."
                + (data[offset + 3] & 0xff);
    }

    private static void appendQuoted(byte[] data, int from, int length, StringBuilder text) {
        text.append('"');
        for (int i = from; i < from + length; i++) {
            int c = data[i] & 0xff;
            if (c == '"' || c == '\\') {
                text.append('\\').append((char) c);
            } else if (c >= 32 && c < 127) {
                text.append((char) c);
            } else {
                text.append('\\')
                        .append((char) ('0' + c / 100))
                        .append((char) ('0' + c / 10 % 10))
                        .append((char) ('0' + c % 10));
            }
        }
        text.append('"');
    }
}
