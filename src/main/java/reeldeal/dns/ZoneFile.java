package reeldeal.dns;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads zone files (RFC 1035, section 5; {@code $TTL} by RFC 2308). */
final class ZoneFile {
    private static final long MAX_TTL = 0x7fffffffL;

    /** What is wrong with a zone file, and in which line. */
    static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(int line, String why) {
            super("zone file, line " + line + ": " + why);
        }
    }

    private record Word(String text, boolean quoted) { }

    private final String text;
    private final Zone zone;
    private String origin;
    private String owner;
    private long defaultTtl = -1;
    private int at;
    private int line = 1;
    private int entryLine = 1;

    private ZoneFile(String text, String origin) {
        this.text = text;
        this.origin = origin;
        this.zone = new Zone(origin);
    }

    static Zone parse(String text, String origin) throws Malformed {
        return new ZoneFile(text, origin).read();
    }

    private Malformed bad(String why) {
        return new Malformed(entryLine, why);
    }

    private Zone read() throws Malformed {
        while (at < text.length()) {
            boolean blankOwner = text.charAt(at) == ' ' || text.charAt(at) == '\t';
            entryLine = line;
            List<Word> words = entry();
            if (!words.isEmpty()) {
                entry(words, blankOwner);
            }
        }
        if (zone.get(zone.origin, Rr.SOA) == null) {
            throw bad("no SOA record at " + zone.origin);
        }
        return zone;
    }

    /** The words up to the end of the line, or of the lines that parentheses join. */
    private List<Word> entry() throws Malformed {
        List<Word> words = new ArrayList<>();
        int depth = 0;
        while (at < text.length()) {
            char c = text.charAt(at);
            if (c == '\n') {
                at++;
                line++;
                if (depth == 0) {
                    return words;
                }
            } else if (c == ' ' || c == '\t' || c == '\r') {
                at++;
            } else if (c == ';') {
                while (at < text.length() && text.charAt(at) != '\n') {
                    at++;
                }
            } else if (c == '(' || c == ')') {
                depth += c == '(' ? 1 : -1;
                if (depth < 0 || depth > 1) {
                    throw bad("unmatched parenthesis");
                }
                at++;
            } else {
                words.add(word(c == '"'));
            }
        }
        if (depth != 0) {
            throw bad("unmatched parenthesis");
        }
        return words;
    }

    private Word word(boolean quoted) throws Malformed {
        StringBuilder word = new StringBuilder();
        at += quoted ? 1 : 0;
        while (at < text.length()) {
            char c = text.charAt(at);
            if (quoted ? c == '"' : " \t\r\n;()\"".indexOf(c) >= 0) {
                at += quoted ? 1 : 0;
                return new Word(word.toString(), quoted);
            }
            if (quoted && c == '\n') {
                break;
            }
            word.append(c);
            at++;
            if (c == '\\' && at < text.length() && text.charAt(at) != '\n') {
                word.append(text.charAt(at++));
            }
        }
        if (quoted) {
            throw bad("a string without its end");
        }
        return new Word(word.toString(), false);
    }

    private void entry(List<Word> words, boolean blankOwner) throws Malformed {
        String first = words.get(0).text();
        if (first.startsWith("$") && !blankOwner) {
            switch (first) {
                case "$ORIGIN" -> origin = name(argument(words));
                case "$TTL" -> defaultTtl = ttl(argument(words));
                default -> throw bad(first + " is not supported");
            }
            return;
        }
        int i = 0;
        if (!blankOwner) {
            owner = name(words.get(i++).text());
        }
        if (owner == null) {
            throw bad("no owner");
        }
        long ttl = -1;
        boolean classed = false;
        for (; i < words.size(); i++) {
            String word = words.get(i).text().toUpperCase(Locale.ROOT);
            if (word.equals("IN") && !classed) {
                classed = true;
            } else if (ttl < 0 && word.matches("[0-9]+([WDHMS][0-9WDHMS]*)?")) {
                ttl = ttl(word);
            } else {
                break;
            }
        }
        if (i == words.size()) {
            throw bad("no type");
        }
        String typed = words.get(i).text().toUpperCase(Locale.ROOT);
        Integer type = Rr.TYPES.get(typed);
        if (type == null) {
            throw bad("type " + typed + " is not supported");
        }
        if (!Names.within(owner, zone.origin)) {
            throw bad(owner + " is out of zone");
        }
        byte[] data = data(type, words.subList(i + 1, words.size()));
        if (ttl < 0 && defaultTtl < 0 && type == Rr.SOA) {
            ttl = ByteBuffer.wrap(data).getInt(data.length - 4) & 0xffffffffL;
        }
        ttl = ttl >= 0 ? ttl : defaultTtl;
        if (ttl < 0) {
            throw bad("no time to live");
        }
        defaultTtl = defaultTtl < 0 ? ttl : defaultTtl;
        boolean hasCname = zone.get(owner, Rr.CNAME) != null;
        if (type == Rr.CNAME ? !zone.at(owner).isEmpty() : hasCname) {
            throw bad("a CNAME beside other data at " + owner);
        }
        if (type == Rr.SOA && (!owner.equals(zone.origin) || zone.get(owner, Rr.SOA) != null)) {
            throw bad("a SOA record that is not the zone's only one");
        }
        zone.add(new Rr(owner, type, Rr.IN, ttl, data));
    }

    private String argument(List<Word> words) throws Malformed {
        if (words.size() != 2) {
            throw bad(words.get(0).text() + " takes one argument");
        }
        return words.get(1).text();
    }

    private String name(String word) throws Malformed {
        String name = Names.parse(word, origin);
        if (name == null) {
            throw bad("malformed name " + word);
        }
        return name;
    }

    /** Seconds, or a sum with units as in {@code 1h30m}. */
    private long ttl(String word) throws Malformed {
        long sum = 0;
        long number = -1;
        for (char c : word.toUpperCase(Locale.ROOT).toCharArray()) {
            int unit = "SMHDW".indexOf(c);
            if (c >= '0' && c <= '9') {
                number = Math.max(0, number) * 10 + c - '0';
            } else if (unit >= 0 && number >= 0) {
                sum += number * new long[] {1, 60, 3_600, 86_400, 604_800}[unit];
                number = -1;
            } else {
                throw bad("malformed time " + word);
            }
            if (number > MAX_TTL || sum > MAX_TTL) {
                throw bad("time too long: " + word);
            }
        }
        return sum + Math.max(0, number);
    }

    private long number(Word word, long most) throws Malformed {
        if (!word.text().matches("[0-9]{1,10}") || Long.parseLong(word.text()) > most) {
            throw bad("malformed number " + word.text());
        }
        return Long.parseLong(word.text());
    }

    private byte[] data(int type, List<Word> words) throws Malformed {
        int wanted = switch (type) {
            case Rr.MX -> 2;
            case Rr.SRV -> 4;
            case Rr.SOA -> 7;
            case Rr.TXT -> Math.max(1, words.size());
            default -> 1;
        };
        if (words.size() != wanted) {
            throw bad(wanted + " values are needed, not " + words.size());
        }
        ByteBuffer out = ByteBuffer.allocate(65_535);
        switch (type) {
            case Rr.A -> {
                String[] bytes = words.get(0).text().split("\\.", -1);
                if (bytes.length != 4) {
                    throw bad("malformed address " + words.get(0).text());
                }
                for (String b : bytes) {
                    out.put((byte) number(new Word(b, false), 255));
                }
            }
            case Rr.AAAA -> out.put(address6(words.get(0).text()));
            case Rr.NS, Rr.CNAME, Rr.PTR -> out.put(Names.wire(name(words.get(0).text())));
            case Rr.MX -> out.putShort((short) number(words.get(0), 65_535))
                    .put(Names.wire(name(words.get(1).text())));
            case Rr.SRV -> {
                for (int i = 0; i < 3; i++) {
                    out.putShort((short) number(words.get(i), 65_535));
                }
                out.put(Names.wire(name(words.get(3).text())));
            }
            case Rr.SOA -> {
                out.put(Names.wire(name(words.get(0).text()))).put(Names.wire(name(words.get(1).text())));
                out.putInt((int) number(words.get(2), 0xffffffffL));
                for (int i = 3; i < 7; i++) {
                    out.putInt((int) ttl(words.get(i).text()));
                }
            }
            default -> {
                for (Word word : words) {
                    byte[] string = string(word.text());
                    if (out.remaining() < 1 + string.length) {
                        throw bad("text too long");
                    }
                    out.put((byte) string.length).put(string);
                }
            }
        }
        byte[] data = new byte[out.position()];
        out.flip().get(data);
        return data;
    }

    private byte[] string(String word) throws Malformed {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int i = 0; i < word.length(); i++) {
            if (word.charAt(i) == '\\') {
                int code = Names.escape(word, i);
                if (code < 0) {
                    throw bad("malformed escape in " + word);
                }
                out.write(code);
                i += Character.isDigit(word.charAt(i + 1)) ? 3 : 1;
            } else {
                out.writeBytes(String.valueOf(word.charAt(i)).getBytes(java.nio.charset.StandardCharsets.UTF_8));
            }
        }
        if (out.size() > 255) {
            throw bad("a string longer than 255 bytes");
        }
        return out.toByteArray();
    }

    /** Groups of up to four hex digits, of which one run of zeros may be left out. */
    private byte[] address6(String word) throws Malformed {
        String[] halves = word.split("::", -1);
        List<String> groups = new ArrayList<>();
        for (int h = 0; h < halves.length; h++) {
            if (h == 1) {
                int given = groups.size() + (halves[1].isEmpty() ? 0 : halves[1].split(":", -1).length);
                for (int i = given; i < 8; i++) {
                    groups.add("0");
                }
            }
            if (!halves[h].isEmpty()) {
                groups.addAll(List.of(halves[h].split(":", -1)));
            }
        }
        ByteBuffer out = ByteBuffer.allocate(16);
        if (halves.length > 2 || groups.size() != 8 || groups.stream().anyMatch(g -> !g.matches("[0-9a-fA-F]{1,4}"))) {
            throw bad("malformed address " + word);
        }
        groups.forEach(g -> out.putShort((short) Integer.parseInt(g, 16)));
        return out.array();
    }
}
