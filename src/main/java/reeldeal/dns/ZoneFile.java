package reeldeal.dns;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import reeldeal.dns.Rdata.InvalidRdata;
import reeldeal.dns.Rdata.Token;

/**
 * Reads and writes zone files (RFC 1035, section 5) with {@code $INCLUDE}, {@code $TTL} (RFC 2308,
 * section 4), opaque types (RFC 3597) and {@code $GENERATE} in its common form. The caller decides
 * which files may be included.
 */
public final class ZoneFile {
    private static final int MAX_INCLUDES = 8;
    private static final long MAX_GENERATED = 1_000_000;
    private static final Pattern RANGE =
            Pattern.compile("([0-9]{1,9})-([0-9]{1,9})(?:/([0-9]{1,9}))?");
    private static final Pattern PLACEHOLDER =
            Pattern.compile("\\\\\\$|\\$\\$|\\$(?:\\{([^}]*)\\})?");

    /**
     * Thrown for an invalid zone file. The message has the form {@code file:line:column: expected
     * ...}.
     */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String file, int line, int column, String expected) {
            super(file + ":" + line + ":" + column + ": " + expected);
        }
    }

    /** Reads included files; throws with a reason if a file may not be read. */
    public interface Includes {
        /** Returns the text of a file by the name given in {@code $INCLUDE}. */
        String read(String name) throws java.io.IOException;
    }

    /** The state shared by a zone file and its included files. */
    private static final class Shared {
        final String zoneOrigin;
        final Includes includes;
        final Set<String> openFiles = new HashSet<>();
        Zone zone;
        long defaultTtl = -1;
        long lastTtl = -1;

        Shared(String zoneOrigin, Includes includes) {
            this.zoneOrigin = zoneOrigin;
            this.includes = includes;
            this.zone = Zone.empty(zoneOrigin);
        }
    }

    private final String file;
    private final String text;
    private final Shared shared;
    private String origin;
    private String owner;
    private int position;
    private int line = 1;
    private int lineStart;
    private int entryLine = 1;
    private int entryColumn = 1;

    private ZoneFile(String file, String text, String origin, Shared shared) {
        this.file = file;
        this.text = text;
        this.origin = origin;
        this.shared = shared;
    }

    /**
     * Parses a zone; {@code file} is the file name for error messages. The origin is absolute and
     * in lower case.
     */
    public static Zone parse(String file, String text, String origin, Includes includes)
            throws Malformed {
        Shared shared = new Shared(origin, includes);
        shared.openFiles.add(file);
        ZoneFile reader = new ZoneFile(file, text, origin, shared);
        reader.read();
        if (shared.zone.get(origin, Rr.SOA) == null) {
            throw reader.malformed(
                    null, "expected a SOA record at " + origin + ", found none in the file");
        }
        if (shared.zone.get(origin, Rr.NS) == null) {
            throw reader.malformed(
                    null, "expected an NS record at " + origin + ", found none in the file");
        }
        return shared.zone;
    }

    /** Returns the tokens of a single entry. */
    static List<Token> tokens(String entry) throws Malformed {
        return new ZoneFile("record", entry, ".", null).tokens();
    }

    private Malformed malformed(Token token, String expected) {
        return token == null
                ? new Malformed(file, entryLine, entryColumn, expected)
                : new Malformed(file, token.line(), token.column(), expected);
    }

    private Malformed malformedHere(String expected) {
        return new Malformed(file, line, position - lineStart + 1, expected);
    }

    private void read() throws Malformed {
        while (position < text.length()) {
            boolean blankOwner = text.charAt(position) == ' ' || text.charAt(position) == '\t';
            entryLine = line;
            entryColumn = position - lineStart + 1;
            List<Token> tokens = tokens();
            if (!tokens.isEmpty()) {
                entry(tokens, blankOwner);
            }
        }
    }

    /** Reads the tokens up to the end of the line, or of several lines joined by parentheses. */
    private List<Token> tokens() throws Malformed {
        List<Token> tokens = new ArrayList<>();
        boolean inParentheses = false;
        while (position < text.length()) {
            char c = text.charAt(position);
            if (c == '\n') {
                position++;
                line++;
                lineStart = position;
                if (!inParentheses) {
                    return tokens;
                }
            } else if (c == ' ' || c == '\t' || c == '\r') {
                position++;
            } else if (c == ';') {
                int end = text.indexOf('\n', position);
                position = end < 0 ? text.length() : end;
            } else if (c == '(' || c == ')') {
                if (inParentheses == (c == '(')) {
                    throw malformedHere(
                            inParentheses
                                    ? "expected no nested opening parenthesis"
                                    : "expected no closing parenthesis, as none is open");
                }
                inParentheses = c == '(';
                position++;
            } else {
                tokens.add(token(c == '"'));
            }
        }
        if (inParentheses) {
            throw malformed(null, "expected a closing parenthesis for this record");
        }
        return tokens;
    }

    private Token token(boolean quoted) throws Malformed {
        int column = position - lineStart + 1;
        StringBuilder token = new StringBuilder();
        position += quoted ? 1 : 0;
        while (position < text.length()) {
            char c = text.charAt(position);
            if (quoted ? c == '"' : " \t\r\n;()\"".indexOf(c) >= 0) {
                position += quoted ? 1 : 0;
                return new Token(token.toString(), quoted, line, column);
            }
            if (quoted && c == '\n') {
                break;
            }
            token.append(c);
            position++;
            if (c == '\\' && position < text.length() && text.charAt(position) != '\n') {
                token.append(text.charAt(position++));
            }
        }
        if (quoted) {
            throw new Malformed(
                    file, line, column, "expected a closing quotation mark in this line");
        }
        return new Token(token.toString(), false, line, column);
    }

    private void entry(List<Token> tokens, boolean blankOwner) throws Malformed {
        Token first = tokens.get(0);
        if (first.text().startsWith("$") && !first.quoted() && !blankOwner) {
            directive(tokens);
            return;
        }
        if (!blankOwner) {
            owner = name(first);
        }
        if (owner == null) {
            throw malformed(
                    first, "expected an owner name, as there is no earlier record to take it from");
        }
        record(owner, tokens, blankOwner ? 0 : 1);
    }

    private void directive(List<Token> tokens) throws Malformed {
        Token first = tokens.get(0);
        switch (first.text().toUpperCase(Locale.ROOT)) {
            case "$ORIGIN" -> origin = name(argument(tokens, 2, "a domain name"));
            case "$TTL" -> {
                try {
                    shared.defaultTtl = Rdata.parseTime(argument(tokens, 2, "a time"));
                } catch (InvalidRdata e) {
                    throw malformed(e.token, e.getMessage());
                }
            }
            case "$INCLUDE" -> include(tokens);
            case "$GENERATE" -> generate(tokens);
            default ->
                    throw malformed(
                            first,
                            "expected $ORIGIN, $TTL, $INCLUDE or $GENERATE, found " + first.text());
        }
    }

    private Token argument(List<Token> tokens, int max, String expected) throws Malformed {
        if (tokens.size() < 2) {
            throw malformed(
                    tokens.get(0), "expected " + expected + " after " + tokens.get(0).text());
        }
        if (tokens.size() > max) {
            throw malformed(tokens.get(max), "expected the end of " + tokens.get(0).text());
        }
        return tokens.get(1);
    }

    /**
     * Reads an included file. Changes to the origin and owner inside it do not affect the including
     * file (RFC 1035, section 5.1).
     */
    private void include(List<Token> tokens) throws Malformed {
        Token fileToken = argument(tokens, 3, "a file name");
        if (shared.openFiles.size() > MAX_INCLUDES || !shared.openFiles.add(fileToken.text())) {
            throw malformed(
                    fileToken,
                    "expected no include cycle and at most " + MAX_INCLUDES + " nested includes");
        }
        String includedText;
        try {
            includedText = shared.includes.read(fileToken.text());
        } catch (java.io.IOException e) {
            throw malformed(fileToken, "expected a file that can be included: " + e.getMessage());
        }
        ZoneFile includedFile =
                new ZoneFile(
                        fileToken.text(),
                        includedText,
                        tokens.size() > 2 ? name(tokens.get(2)) : origin,
                        shared);
        includedFile.owner = owner;
        includedFile.read();
        shared.openFiles.remove(fileToken.text());
    }

    /**
     * Adds the records of {@code $GENERATE 1-9/2 host-$ [ttl] [class] A 10.0.0.$}; a placeholder
     * may have the form {@code ${offset,width,base}}.
     */
    private void generate(List<Token> tokens) throws Malformed {
        if (tokens.size() < 5) {
            throw malformed(
                    tokens.get(0), "expected a range, an owner, a type and data after $GENERATE");
        }
        Matcher range = RANGE.matcher(tokens.get(1).text());
        if (!range.matches()) {
            throw malformed(
                    tokens.get(1),
                    "expected a range such as 1-9 or 1-9/2, found " + tokens.get(1).text());
        }
        long from = Long.parseLong(range.group(1));
        long to = Long.parseLong(range.group(2));
        long step = range.group(3) == null ? 1 : Long.parseLong(range.group(3));
        if (to < from || step < 1 || (to - from) / step >= MAX_GENERATED) {
            throw malformed(
                    tokens.get(1),
                    "expected an ascending range of at most " + MAX_GENERATED + " steps");
        }
        for (long iteration = from; iteration <= to; iteration += step) {
            List<Token> filled = new ArrayList<>();
            for (Token token : tokens.subList(2, tokens.size())) {
                filled.add(
                        new Token(
                                fill(token, iteration),
                                token.quoted(),
                                token.line(),
                                token.column()));
            }
            record(name(filled.get(0)), filled, 1);
        }
    }

    private String fill(Token token, long iteration) throws Malformed {
        StringBuilder filled = new StringBuilder();
        Matcher placeholder = PLACEHOLDER.matcher(token.text());
        int from = 0;
        while (placeholder.find()) {
            filled.append(token.text(), from, placeholder.start());
            from = placeholder.end();
            if (placeholder.group().equals("\\$") || placeholder.group().equals("$$")) {
                filled.append('$');
                continue;
            }
            String[] format =
                    (placeholder.group(1) == null ? "0" : placeholder.group(1)).split(",", -1);
            if (format.length > 3
                    || !format[0].matches("[+-]?[0-9]{1,9}")
                    || (format.length > 1 && !format[1].matches("[0-9]{1,3}"))
                    || (format.length > 2 && !format[2].matches("[doxX]"))) {
                throw malformed(
                        token, "expected ${offset,width,d|o|x|X}, found " + placeholder.group());
            }
            long value = iteration + Long.parseLong(format[0].replace("+", ""));
            if (value < 0) {
                throw malformed(token, "expected an offset that yields no negative number");
            }
            String digits =
                    switch (format.length > 2 ? format[2] : "d") {
                        case "o" -> Long.toOctalString(value);
                        case "x" -> Long.toHexString(value);
                        case "X" -> Long.toHexString(value).toUpperCase(Locale.ROOT);
                        default -> Long.toString(value);
                    };
            int width = format.length > 1 ? Integer.parseInt(format[1]) : 0;
            filled.append("0".repeat(Math.max(0, width - digits.length()))).append(digits);
        }
        return filled.append(token.text().substring(from)).toString();
    }

    /**
     * Parses a record after its owner: TTL and class in either order, type, data (RFC 1035, section
     * 5.1).
     */
    private void record(String name, List<Token> tokens, int from) throws Malformed {
        long ttl = -1;
        boolean classSeen = false;
        int index = from;
        for (; index < tokens.size(); index++) {
            String token = tokens.get(index).text().toUpperCase(Locale.ROOT);
            if (token.equals("IN") && !classSeen) {
                classSeen = true;
            } else if (List.of("CH", "HS", "CS").contains(token) && !classSeen) {
                throw malformed(tokens.get(index), "expected class IN, found " + token);
            } else if (ttl < 0 && token.matches("[0-9]+([WDHMS][0-9WDHMS]*)?")) {
                try {
                    ttl = Rdata.parseTime(tokens.get(index));
                } catch (InvalidRdata e) {
                    throw malformed(e.token, e.getMessage());
                }
            } else {
                break;
            }
        }
        if (index == tokens.size()) {
            throw malformed(null, "expected a record type");
        }
        int type = Types.number(tokens.get(index).text());
        if (type < 0 || Rr.isMeta(type)) {
            throw malformed(
                    tokens.get(index), "expected a record type, found " + tokens.get(index).text());
        }
        if (!Names.within(name, shared.zoneOrigin)) {
            throw malformed(
                    tokens.get(0),
                    "expected a name within " + shared.zoneOrigin + ", found " + name);
        }
        byte[] data;
        try {
            data = Rdata.parse(type, tokens.subList(index + 1, tokens.size()), origin);
        } catch (InvalidRdata e) {
            throw malformed(e.token, e.getMessage());
        }
        add(name, type, ttl, data, tokens.get(index));
    }

    private void add(String name, int type, long explicitTtl, byte[] data, Token typeToken)
            throws Malformed {
        long ttl =
                explicitTtl >= 0
                        ? explicitTtl
                        : shared.defaultTtl >= 0 ? shared.defaultTtl : shared.lastTtl;
        if (ttl < 0 && type == Rr.SOA) {
            ttl = Zone.soaField(data, 4); // RFC 2308, section 4: the default if there is no $TTL
        }
        if (ttl < 0) {
            throw malformed(typeToken, "expected a time to live, or $TTL before this record");
        }
        shared.lastTtl = ttl;
        boolean hasCname = shared.zone.get(name, Rr.CNAME) != null;
        if (type == Rr.CNAME ? shared.zone.types(name).length > 0 : hasCname) {
            throw malformed(typeToken, "expected no other data beside a CNAME at " + name);
        }
        if (type == Rr.SOA
                && (!name.equals(shared.zoneOrigin) || shared.zone.get(name, Rr.SOA) != null)) {
            throw malformed(typeToken, "expected one SOA record, at " + shared.zoneOrigin);
        }
        shared.zone = shared.zone.plus(new Rr(name, type, Rr.IN, ttl, data));
        if (shared.zone.get(name, type).messageBytes() > RrSet.MAX_BYTES) {
            throw malformed(
                    typeToken,
                    "expected at most " + RrSet.MAX_BYTES + " bytes of data for one name and type");
        }
    }

    private String name(Token token) throws Malformed {
        String name = token.quoted() ? null : Names.parse(token.text(), origin);
        if (name == null) {
            throw malformed(token, "expected a domain name, found " + token.text());
        }
        return name;
    }

    // ---- writing ----

    /** Writes a zone as a zone file that parses to the same zone. */
    public static void write(Zone zone, Appendable out) throws java.io.IOException {
        out.append("$ORIGIN ").append(zone.origin).append('\n');
        Rr soa = zone.soa();
        if (soa != null) {
            writeRecord(zone.origin, Rr.SOA, soa.ttl(), soa.data(), out);
        }
        for (var sets = zone.sets(); sets.hasNext(); ) {
            Zone.OwnedRrSet placed = sets.next();
            if (placed.type() != Rr.SOA || !placed.name().equals(zone.origin)) {
                for (byte[] data : placed.set().data()) {
                    writeRecord(placed.name(), placed.type(), placed.set().ttl(), data, out);
                }
            }
        }
    }

    private static void writeRecord(String name, int type, long ttl, byte[] data, Appendable out)
            throws java.io.IOException {
        out.append(name)
                .append(' ')
                .append(Long.toString(ttl))
                .append(" IN ")
                .append(Types.name(type))
                .append(' ')
                .append(Rdata.format(type, data))
                .append('\n');
    }
}
