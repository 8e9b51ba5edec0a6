package reeldeal.zones;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Logs refused messages at a limited rate, so that a sender of thousands of them cannot fill the
 * log. Used on the state loop only.
 */
final class RateLimitedLog {
    private static final int MAX_LINES_PER_SECOND = 20;

    private final LongSupplier now;
    private final Consumer<String> log;
    private long second;
    private int linesInSecond;

    /** Creates a log; {@code now} is Unix time in ms. */
    RateLimitedLog(LongSupplier now, Consumer<String> log) {
        this.now = now;
        this.log = log;
    }

    /**
     * Logs a line unless the limit for the current second is reached. The number of suppressed
     * lines is logged before the first line of a later second.
     */
    void log(String line) {
        long currentSecond = now.getAsLong() / 1_000;
        if (currentSecond != second) {
            if (linesInSecond > MAX_LINES_PER_SECOND) {
                log.accept(
                        "dns: "
                                + (linesInSecond - MAX_LINES_PER_SECOND)
                                + " more refusals in the same second were not logged");
            }
            second = currentSecond;
            linesInSecond = 0;
        }
        if (++linesInSecond <= MAX_LINES_PER_SECOND) {
            log.accept(line);
        }
    }
}
