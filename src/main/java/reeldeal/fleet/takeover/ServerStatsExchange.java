package reeldeal.fleet.takeover;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import reeldeal.fleet.FormAttributes;

/**
 * Shares the brokers' statistics of searchers through the store. A broker that starts imports its
 * own statistics if they are recent; otherwise it imports those on which most brokers agree that
 * have written recently.
 *
 * <p>An instance decides when one broker writes. Used on the state loop.
 */
public final class ServerStatsExchange {
    /** The prefix of the store's keys; the rest of a key is the broker's name. */
    public static final String ROOT = "learned/";

    private static final String SEARCHER_PREFIX = "s.";
    private static final Pattern STATS =
            Pattern.compile("[0-9]{1,15},(true|false),(true|false),[0-9]{1,6}[.][0-9]{2}");

    /**
     * The statistics of one process of a searcher.
     *
     * @param startedAtMs the start of the process, Unix ms
     * @param ejected whether it is ejected as an outlier
     * @param unresponsive whether it is ejected because it did not answer at all
     * @param relativeLatency its latency relative to the average, which is 1
     */
    public record SharedServerStats(
            long startedAtMs, boolean ejected, boolean unresponsive, double relativeLatency) {}

    /**
     * The statistics that a broker has written.
     *
     * @param writtenAtMs when it wrote them, Unix ms
     */
    public record BrokerStats(
            String broker, long writtenAtMs, Map<String, SharedServerStats> bySearcher) {}

    private final long minIntervalMs;
    private long lastWrittenAtMs = Long.MIN_VALUE / 2;
    private Set<String> lastWrittenEjected = Set.of();

    /**
     * Creates an exchange that has written nothing yet; successive writes are at least {@code
     * minIntervalMs} apart, except for the last one when the broker ends.
     */
    public ServerStatsExchange(long minIntervalMs) {
        this.minIntervalMs = minIntervalMs;
    }

    /**
     * Returns the value to write now, or null if there is none: a value is written after searchers
     * were ejected or returned, and when the broker ends.
     *
     * @param now Unix ms
     */
    public String takeValueToWrite(
            long now, Map<String, SharedServerStats> stats, boolean isEnding) {
        Set<String> ejected = new TreeSet<>();
        stats.forEach(
                (name, searcher) -> {
                    if (searcher.ejected()) {
                        ejected.add(name);
                    }
                });
        boolean isFinal = isEnding && !stats.isEmpty();
        boolean hasChanges = isFinal || !ejected.equals(lastWrittenEjected);
        boolean isTooSoon = !isEnding && now - lastWrittenAtMs < minIntervalMs;
        if (!hasChanges || isTooSoon) {
            return null;
        }
        lastWrittenEjected = ejected;
        lastWrittenAtMs = now;
        return encode(now, stats);
    }

    private static String encode(long now, Map<String, SharedServerStats> stats) {
        FormAttributes attributes = new FormAttributes().with("at", now);
        new TreeMap<>(stats)
                .forEach(
                        (name, searcher) ->
                                attributes.with(SEARCHER_PREFIX + name, encode(searcher)));
        return attributes.toString();
    }

    private static String encode(SharedServerStats stats) {
        return stats.startedAtMs()
                + ","
                + stats.ejected()
                + ","
                + stats.unresponsive()
                + ","
                + String.format(Locale.ROOT, "%.2f", stats.relativeLatency());
    }

    /** Decodes the statistics that a broker has written; malformed entries are skipped. */
    public static BrokerStats parse(String broker, String text) {
        FormAttributes attributes = FormAttributes.of(text);
        Map<String, SharedServerStats> bySearcher = new TreeMap<>();
        attributes
                .all()
                .forEach(
                        (key, value) -> {
                            if (key.startsWith(SEARCHER_PREFIX) && STATS.matcher(value).matches()) {
                                String name = key.substring(SEARCHER_PREFIX.length());
                                bySearcher.put(name, decode(value));
                            }
                        });
        return new BrokerStats(broker, attributes.number("at", 0), bySearcher);
    }

    private static SharedServerStats decode(String value) {
        String[] fields = value.split(",");
        return new SharedServerStats(
                Long.parseLong(fields[0]),
                fields[1].equals("true"),
                fields[2].equals("true"),
                Double.parseDouble(fields[3]));
    }

    /**
     * Returns the statistics that a starting broker imports; those written longer than {@code
     * maxAgeMs} ago are ignored.
     */
    public static Map<String, SharedServerStats> importFor(
            String self, List<BrokerStats> allStats, long now, long maxAgeMs) {
        List<BrokerStats> recent =
                allStats.stream().filter(stats -> now - stats.writtenAtMs() <= maxAgeMs).toList();
        for (BrokerStats stats : recent) {
            if (stats.broker().equals(self)) {
                return stats.bySearcher();
            }
        }
        Map<String, List<SharedServerStats>> reports = new HashMap<>();
        for (BrokerStats stats : recent) {
            stats.bySearcher()
                    .forEach(
                            (name, searcher) ->
                                    reports.computeIfAbsent(name, key -> new ArrayList<>())
                                            .add(searcher));
        }
        Map<String, SharedServerStats> agreed = new TreeMap<>();
        reports.forEach(
                (name, reportsOfSearcher) -> {
                    SharedServerStats stats = majorityStats(reportsOfSearcher, recent.size());
                    if (stats != null) {
                        agreed.put(name, stats);
                    }
                });
        return agreed;
    }

    /**
     * Returns the majority's statistics of a searcher's latest process, or null if at most half of
     * the brokers report that process.
     */
    private static SharedServerStats majorityStats(
            List<SharedServerStats> reports, int brokerCount) {
        long latestStartMs =
                reports.stream().mapToLong(SharedServerStats::startedAtMs).max().orElse(0);
        List<SharedServerStats> latest =
                reports.stream()
                        .filter(stats -> stats.startedAtMs() == latestStartMs)
                        .sorted(Comparator.comparingDouble(SharedServerStats::relativeLatency))
                        .toList();
        if (latest.size() * 2 <= brokerCount) {
            return null;
        }
        boolean ejected = isMajority(latest, SharedServerStats::ejected, brokerCount);
        boolean unresponsive = isMajority(latest, SharedServerStats::unresponsive, brokerCount);
        double medianLatency = latest.get(latest.size() / 2).relativeLatency();
        return new SharedServerStats(
                latestStartMs, ejected, ejected && unresponsive, medianLatency);
    }

    private static boolean isMajority(
            List<SharedServerStats> reports,
            Predicate<SharedServerStats> property,
            int brokerCount) {
        return reports.stream().filter(property).count() * 2 > brokerCount;
    }
}
