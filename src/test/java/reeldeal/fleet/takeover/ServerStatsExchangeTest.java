package reeldeal.fleet.takeover;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Test;
import reeldeal.fleet.takeover.ServerStatsExchange.BrokerStats;
import reeldeal.fleet.takeover.ServerStatsExchange.SharedServerStats;

/** Tests which statistics of searchers brokers write and import. */
public class ServerStatsExchangeTest {
    private static final List<BrokerStats> ALL_STATS =
            List.of(
                    written("b", 900, "s1", 3),
                    written("c", 950, "s1", 5),
                    written("d", 980, "s2", 9),
                    written("old", 100, "s2", 9));

    private final ServerStatsExchange exchange = new ServerStatsExchange(30_000);

    private static BrokerStats written(
            String broker, long writtenAtMs, String searcher, double relativeLatency) {
        return new BrokerStats(
                broker,
                writtenAtMs,
                Map.of(searcher, new SharedServerStats(7, true, true, relativeLatency)));
    }

    private static Map<String, SharedServerStats> importAtStart(
            String self, List<BrokerStats> allStats) {
        return ServerStatsExchange.importFor(self, allStats, 1_000, 500);
    }

    @Test
    public void aStartingBrokerImportsStatsThatMostBrokersAgreeOn() {
        assertEquals(
                Map.of("s1", new SharedServerStats(7, true, true, 5)),
                importAtStart("a", ALL_STATS));
    }

    @Test
    public void aStartingBrokerImportsItsOwnStatsIfTheyAreRecent() {
        assertEquals(Set.of("s2"), importAtStart("d", ALL_STATS).keySet());
        assertEquals(Map.of(), importAtStart("old", ALL_STATS.subList(3, 4)));
    }

    @Test
    public void decodedStatsEqualTheWrittenOnes() {
        assertNull("no searcher is ejected", exchange.takeValueToWrite(0, Map.of(), false));
        String text = exchange.takeValueToWrite(10, ALL_STATS.get(0).bySearcher(), false);
        assertEquals(
                new BrokerStats("b", 10, ALL_STATS.get(0).bySearcher()),
                ServerStatsExchange.parse("b", text));
    }

    @Test
    public void onlyChangesAreWrittenAtMostOncePerInterval() {
        exchange.takeValueToWrite(10, ALL_STATS.get(0).bySearcher(), false);
        assertNull(
                "the same searcher is ejected",
                exchange.takeValueToWrite(40_000, ALL_STATS.get(1).bySearcher(), false));
        assertNull(
                "the minimum interval since the last write has not passed",
                exchange.takeValueToWrite(20_000, Map.of(), false));
        assertEquals("at=20000", exchange.takeValueToWrite(20_000, Map.of(), true));
    }
}
