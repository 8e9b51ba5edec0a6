package reeldeal.zones;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import org.junit.Test;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;
import org.xbill.DNS.WireParseException;

/** Tests what the zone service answers once its store's copy no longer follows the group. */
public class FrozenCopyTest {
    private static final String ORIGIN = "fleet.test.";
    private static final String ZONE =
            "@ 60 SOA ns ops 1 3600 600 86400 30\n@ 60 NS ns\nns 60 A 127.0.0.1\n";

    private static int rcode(ZoneFixture fixture, Message message) throws Exception {
        return fixture.resolver(true).send(message).getRcode();
    }

    private static Message query(String name, int type, int recordClass) throws Exception {
        return Message.newQuery(Record.newRecord(Name.fromString(name), type, recordClass));
    }

    private static Update update(String host) throws Exception {
        Update update = new Update(Name.fromString(ORIGIN));
        update.add(Name.fromString(host + "." + ORIGIN), Type.A, 60, "127.0.0.2");
        return update;
    }

    /** Guards against answers and accepted updates from zones that no longer change. */
    @Test
    public void queriesAndUpdatesFailAndTheEndpointViewIsStillAnswered() throws Exception {
        try (ZoneFixture fixture = ZoneFixture.of(ORIGIN, ZONE)) {
            assertEquals(Rcode.NOERROR, rcode(fixture, update("before")));
            fixture.group.next().submit(() -> fixture.store.markFolderUntrusted("test")).sync();
            assertEquals(Rcode.SERVFAIL, rcode(fixture, query(ORIGIN, Type.SOA, DClass.IN)));
            Message transfer = query(ORIGIN, Type.AXFR, DClass.IN);
            Exception refusal =
                    assertThrows(WireParseException.class, () -> rcode(fixture, transfer));
            assertEquals("SERVFAIL", refusal.getMessage());
            assertEquals(Rcode.SERVFAIL, rcode(fixture, update("after")));
            assertEquals(
                    Rcode.NOERROR, rcode(fixture, query(ZoneService.MEMBERS, Type.TXT, DClass.CH)));
        }
    }
}
