package reeldeal.dns;

/**
 * Decides which of two copies of a zone is the newer one, for each way in which a copy can arrive.
 * No other code compares serial numbers to make this decision. Stateless; any thread may call it.
 *
 * <p>The first copy of a zone is always taken. Afterwards:
 *
 * <table>
 *   <caption>The verdict on a copy that arrives while there is a current one</caption>
 *   <tr><th>arrival</th><th>later serial</th><th>same serial</th><th>any other serial</th></tr>
 *   <tr><td>update</td><td>newer</td><td>same</td><td>older</td></tr>
 *   <tr><td>transfer</td><td>newer</td><td>same</td><td>older</td></tr>
 *   <tr><td>zone file</td><td>older</td><td>older</td><td>older</td></tr>
 *   <tr><td>restart</td><td>older</td><td>older</td><td>older</td></tr>
 * </table>
 *
 * <p>"Later" is that of RFC 1982, which orders two serials only if they are less than 2^31 apart.
 * It orders the copies on both sides of one step, and says nothing of copies that are several steps
 * apart. The copies that the store commits are therefore not judged again where they are used:
 * their order is that of the store's log.
 */
public final class ZoneSuccession {
    /** The serial that stands for no copy. */
    public static final long NO_SERIAL = -1;

    private static final long SERIAL_MASK = 0xffffffffL;
    private static final long HALF_OF_SERIALS = 0x80000000L;

    /** The way in which a copy of a zone arrives. */
    public enum Arrival {
        /** The SOA record of a dynamic update, or one step of an incremental transfer. */
        UPDATE,
        /** A copy that a primary offers or has sent. */
        TRANSFER,
        /** The zone's file, which only seeds a zone: changes since then are not in it. */
        ZONE_FILE,
        /**
         * A copy on disk from before a restart, which only bridges the time until the group is
         * reached.
         */
        RESTART
    }

    /** The relation of a copy that arrives to the current one. */
    public enum Verdict {
        /** The copy takes the place of the current one. */
        NEWER,
        /** The copy is the current one. */
        SAME,
        /** The copy is an old one, or cannot be ordered; it is not used. */
        OLDER
    }

    private ZoneSuccession() {}

    /**
     * Judges a copy that arrives.
     *
     * @param currentSerial serial of the current copy, 0 to 2^32 - 1, or {@link #NO_SERIAL}
     * @param serial serial of the copy that arrives, 0 to 2^32 - 1
     */
    public static Verdict judge(Arrival arrival, long currentSerial, long serial) {
        if (currentSerial == NO_SERIAL) {
            return Verdict.NEWER;
        }
        return switch (arrival) {
            case UPDATE, TRANSFER -> compare(currentSerial, serial);
            case ZONE_FILE, RESTART -> Verdict.OLDER;
        };
    }

    /** Returns whether a copy that arrives takes the place of the current one. */
    public static boolean isNewer(Arrival arrival, long currentSerial, long serial) {
        return judge(arrival, currentSerial, serial) == Verdict.NEWER;
    }

    /** Compares by serial number arithmetic (RFC 1982, section 3.2). */
    private static Verdict compare(long currentSerial, long serial) {
        long distance = (serial - currentSerial) & SERIAL_MASK;
        if (distance == 0) {
            return Verdict.SAME;
        }
        return distance < HALF_OF_SERIALS ? Verdict.NEWER : Verdict.OLDER;
    }
}
