package reeldeal.zones;

import reeldeal.dns.Zone;

/**
 * The stored state of a secondary zone: {@code UNIX_MS good|expired}.
 *
 * @param confirmedAtMs time at which a primary last confirmed the zone, Unix time in milliseconds
 * @param expired whether the zone has expired since
 */
record SecondaryState(long confirmedAtMs, boolean expired) {
    private static final String GOOD = "good";
    private static final String EXPIRED = "expired";
    private static final int EXPIRE_FIELD = 3;
    private static final long MS_PER_S = 1_000;

    static SecondaryState parse(String value) {
        String[] fields = value.split(" ");
        return new SecondaryState(Long.parseLong(fields[0]), fields[1].equals(EXPIRED));
    }

    String format() {
        return confirmedAtMs + " " + (expired ? EXPIRED : GOOD);
    }

    /**
     * Returns whether a copy of the zone has expired, whether or not that was recorded.
     *
     * @param now Unix time in ms
     */
    boolean isExpired(Zone zone, long now) {
        long expireMs = Zone.soaField(zone.soa().data(), EXPIRE_FIELD) * MS_PER_S;
        return expired || now - confirmedAtMs >= expireMs;
    }
}
