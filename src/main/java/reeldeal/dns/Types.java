package reeldeal.dns;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The known record types with their numbers, names and data fields. The data of any other type is
 * opaque (RFC 3597).
 */
public final class Types {
    /** The kinds of fields that record data consists of. */
    enum Field {
        /**
         * A name that may be compressed in wire form (RFC 3597, section 4: only in types of RFC
         * 1035).
         */
        NAME,
        /** A name that is always written uncompressed. */
        PLAIN_NAME,
        U8,
        U16,
        U32,
        /** A 32-bit number of seconds. */
        TIME,
        IPV4,
        IPV6,
        /** One string of up to 255 bytes. */
        STRING,
        /** One or more strings, up to the end of the data. */
        STRINGS,
        /** Bytes up to the end of the data, in hexadecimal as text. */
        HEX,
        /** Bytes up to the end of the data, in Base64 as text. */
        BASE64,
        /** The value of a CAA record: text up to the end of the data, without a length byte. */
        TEXT,
        /** The protocol and the port bitmap of a WKS record. */
        SERVICES
    }

    private static final Map<String, Integer> NUMBERS = new HashMap<>();
    private static final Map<Integer, String> NAMES = new HashMap<>();
    private static final Map<Integer, Field[]> FIELDS = new HashMap<>();

    static {
        put("A", 1, Field.IPV4);
        put("NS", 2, Field.NAME);
        put("MD", 3, Field.NAME);
        put("MF", 4, Field.NAME);
        put("CNAME", 5, Field.NAME);
        put(
                "SOA",
                6,
                Field.NAME,
                Field.NAME,
                Field.U32,
                Field.TIME,
                Field.TIME,
                Field.TIME,
                Field.TIME);
        put("MB", 7, Field.NAME);
        put("MG", 8, Field.NAME);
        put("MR", 9, Field.NAME);
        put("WKS", 11, Field.IPV4, Field.SERVICES);
        put("PTR", 12, Field.NAME);
        put("HINFO", 13, Field.STRING, Field.STRING);
        put("MINFO", 14, Field.NAME, Field.NAME);
        put("MX", 15, Field.U16, Field.NAME);
        put("TXT", 16, Field.STRINGS);
        put("RP", 17, Field.PLAIN_NAME, Field.PLAIN_NAME);
        put("AFSDB", 18, Field.U16, Field.PLAIN_NAME);
        put("AAAA", 28, Field.IPV6);
        put("SRV", 33, Field.U16, Field.U16, Field.U16, Field.PLAIN_NAME);
        put(
                "NAPTR",
                35,
                Field.U16,
                Field.U16,
                Field.STRING,
                Field.STRING,
                Field.STRING,
                Field.PLAIN_NAME);
        put("KX", 36, Field.U16, Field.PLAIN_NAME);
        put("DNAME", 39, Field.PLAIN_NAME);
        put("DS", 43, Field.U16, Field.U8, Field.U8, Field.HEX);
        put("SSHFP", 44, Field.U8, Field.U8, Field.HEX);
        put("DNSKEY", 48, Field.U16, Field.U8, Field.U8, Field.BASE64);
        put("TLSA", 52, Field.U8, Field.U8, Field.U8, Field.HEX);
        put("SPF", 99, Field.STRINGS);
        put("CAA", 257, Field.U8, Field.STRING, Field.TEXT);
        NAMES.put(Rr.TSIG, "TSIG");
        NAMES.put(Rr.IXFR, "IXFR");
        NAMES.put(Rr.AXFR, "AXFR");
        NAMES.put(Rr.ANY, "ANY");
        NAMES.put(Rr.OPT, "OPT");
    }

    private Types() {}

    private static void put(String name, int number, Field... fields) {
        NUMBERS.put(name, number);
        NAMES.put(number, name);
        FIELDS.put(number, fields);
    }

    /**
     * Returns the number of a type by its name or in the form {@code TYPE123}, or -1 if the name is
     * unknown.
     */
    public static int number(String name) {
        String upper = name.toUpperCase(Locale.ROOT);
        Integer number = NUMBERS.get(upper);
        if (number != null) {
            return number;
        }
        if (upper.matches("TYPE[0-9]{1,5}") && Integer.parseInt(upper.substring(4)) <= 65_535) {
            return Integer.parseInt(upper.substring(4));
        }
        return -1;
    }

    /** Returns the name of a type, or {@code TYPE123} if it has none (RFC 3597, section 5). */
    public static String name(int number) {
        return NAMES.getOrDefault(number, "TYPE" + number);
    }

    /** Returns the data fields of a type, or null if its data is opaque. */
    static Field[] fields(int type) {
        return FIELDS.get(type);
    }
}
