package reeldeal.zones;

import static org.junit.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.junit.Test;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;

/**
 * Guards against drains that are answered NOERROR and ignored, because the zone's serial was moved
 * round the circle of RFC 1982 by updates that concern no searcher.
 */
public class SerialResetTest {
    private static final String ORIGIN = "fleet.test.";
    private static final long FIRST_SERIAL = 2026120501L;
    private static final long SERIALS = 1L << 32;
    private static final long LARGEST_STEP = (1L << 31) - 1;
    private static final int SEARCHERS = 8;

    private static String zone() {
        StringBuilder text =
                new StringBuilder("$TTL 60\n@ SOA ns ops ")
                        .append(FIRST_SERIAL)
                        .append(" 3600 1 86400 30\n@ NS ns\n");
        for (int i = 0; i < SEARCHERS; i++) {
            text.append("_searcher._tcp SRV 0 0 800" + i + " s" + i + "\n");
            text.append("s" + i + " A 127.0.0.1\ns" + i + " TXT cell=0\n");
        }
        return text.toString();
    }

    private static Record record(String owner, int type, String data) throws Exception {
        Name origin = Name.fromString(ORIGIN);
        return Record.fromString(Name.fromString(owner, origin), type, DClass.IN, 60, data, origin);
    }

    private static Update takeOut(int searcher) throws Exception {
        Update update = new Update(Name.fromString(ORIGIN));
        update.delete(record("_searcher._tcp", Type.SRV, "0 0 800" + searcher + " s" + searcher));
        return update;
    }

    private static Update setSerial(long serial) throws Exception {
        Update update = new Update(Name.fromString(ORIGIN));
        update.add(record("@", Type.SOA, "ns ops " + serial + " 3600 1 86400 30"));
        return update;
    }

    private static void send(ZoneFixture fixture, Update update) throws Exception {
        assertEquals(Rcode.NOERROR, fixture.resolver(true).send(update).getRcode());
    }

    /** Sends updates at once, so that they may be committed by one write of the store. */
    private static void sendTogether(ZoneFixture fixture, List<Update> updates) throws Exception {
        List<CompletionStage<Message>> answers = new ArrayList<>();
        for (Update update : updates) {
            answers.add(fixture.resolver(false).sendAsync(update));
        }
        for (CompletionStage<Message> answer : answers) {
            assertEquals(Rcode.NOERROR, answer.toCompletableFuture().get().getRcode());
        }
    }

    private static String ready(ZoneFixture fixture) throws Exception {
        return fixture.group
                .next()
                .submit(
                        () ->
                                fixture.feed.entries().stream()
                                        .filter(e -> e.searcher().state().name().equals("READY"))
                                        .map(e -> e.searcher().name().substring(0, 2))
                                        .collect(Collectors.joining(" ")))
                .get();
    }

    @Test
    public void aDrainTakesEffectAfterTheSerialWasSetBackInTwoSteps() throws Exception {
        try (ZoneFixture fixture = ZoneFixture.of(ORIGIN, zone())) {
            send(fixture, takeOut(0));
            send(fixture, setSerial(FIRST_SERIAL + LARGEST_STEP));
            send(fixture, setSerial(1));
            assertEquals(1, fixture.serial(ORIGIN));
            send(fixture, takeOut(1));
            assertEquals("s2 s3 s4 s5 s6 s7", ready(fixture));
        }
    }

    @Test
    public void drainsTakeEffectAtEveryStepRoundTheCircle() throws Exception {
        try (ZoneFixture fixture = ZoneFixture.of(ORIGIN, zone())) {
            long serial = FIRST_SERIAL;
            for (int searcher = 0; searcher < SEARCHERS - 1; searcher++) {
                serial = (serial + LARGEST_STEP) % SERIALS;
                send(fixture, setSerial(serial));
                send(fixture, takeOut(searcher));
                serial++;
                String left = "s0 s1 s2 s3 s4 s5 s6 s7".substring(3 * (searcher + 1));
                assertEquals("at serial " + serial, left, ready(fixture));
            }
        }
    }

    @Test
    public void aDrainTakesEffectAfterBothStepsWereCommittedTogether() throws Exception {
        try (ZoneFixture fixture = ZoneFixture.of(ORIGIN, zone())) {
            Update bothSteps = setSerial(FIRST_SERIAL + LARGEST_STEP);
            bothSteps.add(record("@", Type.SOA, "ns ops 1 3600 1 86400 30"));
            send(fixture, bothSteps);
            assertEquals(1, fixture.serial(ORIGIN));
            sendTogether(fixture, List.of(takeOut(0), takeOut(1)));
            assertEquals("s2 s3 s4 s5 s6 s7", ready(fixture));
        }
    }

    /** Guards against changes that are sent to a client whose version cannot be told by serial. */
    @Test
    public void aSerialThatOccurredTwiceLeadsToAWholeTransfer() throws Exception {
        try (ZoneFixture fixture = ZoneFixture.of(ORIGIN, zone())) {
            send(fixture, takeOut(0));
            send(fixture, setSerial(FIRST_SERIAL + LARGEST_STEP));
            send(fixture, setSerial(FIRST_SERIAL - 2));
            send(fixture, takeOut(1));
            send(fixture, takeOut(2));
            assertEquals(1, fixture.ixfr(FIRST_SERIAL - 1).size());
            send(fixture, takeOut(3));
            assertEquals("a whole transfer", null, fixture.ixfr(FIRST_SERIAL));
        }
    }

    @Test
    public void anUpdateWithAnEarlierSerialChangesNothing() throws Exception {
        try (ZoneFixture fixture = ZoneFixture.of(ORIGIN, zone())) {
            send(fixture, takeOut(0));
            send(fixture, setSerial(FIRST_SERIAL));
            assertEquals(FIRST_SERIAL + 1, fixture.serial(ORIGIN));
            assertEquals("s1 s2 s3 s4 s5 s6 s7", ready(fixture));
        }
    }
}
