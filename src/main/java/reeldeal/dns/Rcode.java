package reeldeal.dns;

/** Response codes (RFC 1035, 2136, 6891, 8945). */
public final class Rcode {
    public static final int NOERROR = 0;
    public static final int FORMERR = 1;
    public static final int SERVFAIL = 2;
    public static final int NXDOMAIN = 3;
    public static final int NOTIMP = 4;
    public static final int REFUSED = 5;
    public static final int YXDOMAIN = 6;
    public static final int YXRRSET = 7;
    public static final int NXRRSET = 8;
    public static final int NOTAUTH = 9;
    public static final int NOTZONE = 10;
    public static final int BADVERS = 16;
    public static final int BADSIG = 16;
    public static final int BADKEY = 17;
    public static final int BADTIME = 18;
    public static final int BADTRUNC = 22;
    private static final String[] NAMES = {
        "NOERROR",
        "FORMERR",
        "SERVFAIL",
        "NXDOMAIN",
        "NOTIMP",
        "REFUSED",
        "YXDOMAIN",
        "YXRRSET",
        "NXRRSET",
        "NOTAUTH",
        "NOTZONE"
    };

    private Rcode() {}

    /** Returns the mnemonic of a response code, or {@code RCODE} and its number if it has none. */
    public static String name(int rcode) {
        return rcode < NAMES.length
                ? NAMES[rcode]
                : switch (rcode) {
                    case BADSIG -> "BADSIG";
                    case BADKEY -> "BADKEY";
                    case BADTIME -> "BADTIME";
                    case BADTRUNC -> "BADTRUNC";
                    default -> "RCODE" + rcode;
                };
    }
}
