package reeldeal.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.Test;

/** Tests the parsing of fragmented messages and the rejection of malformed ones. */
public class HttpParserTest {
    private final HttpParser requestParser = new HttpParser(false);

    private static HttpParser.Result parse(HttpParser parser, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        parser.feed(bytes, 0, bytes.length);
        return parser.next();
    }

    private static int rejectedStatus(String request) {
        return ((HttpParser.Malformed) parse(new HttpParser(false), request)).status();
    }

    @Test
    public void messagesFedByteByByteAreParsedCompletely() {
        byte[] bytes =
                """

                 POST /a HTTP/1.1
                 A: 1
                 a: 2
                 Transfer-Encoding: chunked

                 3;x=y
                 abc
                 2
                 de
                 0
                 T: r

                 GET /b HTTP/1.1

                 """
                        .replace("\n", "\r\n")
                        .getBytes(StandardCharsets.US_ASCII);
        StringBuilder parsed = new StringBuilder();
        for (int i = 0; i < bytes.length; i++) {
            requestParser.feed(bytes, i, 1);
            if (requestParser.next() instanceof HttpParser.Complete complete) {
                parsed.append(complete.message().path())
                        .append(' ')
                        .append(complete.message().header("a"))
                        .append(' ')
                        .append(new String(complete.message().body(), StandardCharsets.US_ASCII))
                        .append('|');
            }
        }
        assertEquals("/a 1, 2 abcde|/b null |", parsed.toString());
    }

    @Test
    public void malformedHeadsAreRejectedWithTheirStatus() {
        assertEquals(400, rejectedStatus("GET /\r\n\r\n"));
        assertEquals(505, rejectedStatus("GET / HTTP/2.0\r\n\r\n"));
        assertEquals(400, rejectedStatus("GET / HTTP/1.1\r\nno colon\r\n\r\n"));
        assertEquals(431, rejectedStatus("GET / HTTP/1.1\r\n" + "A: 1\r\n".repeat(101) + "\r\n"));
    }

    @Test
    public void ambiguousBodyLengthsAreRejected() {
        String requestLine = "POST / HTTP/1.1\r\n";
        assertEquals(
                400,
                rejectedStatus(requestLine + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n"));
        assertEquals(
                400,
                rejectedStatus(
                        requestLine + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"));
    }

    @Test
    public void expectContinueIsReportedOnce() {
        String head = "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
        assertEquals(new HttpParser.NeedMore(true), parse(requestParser, head));
        assertEquals(new HttpParser.NeedMore(false), parse(requestParser, "x"));
    }

    @Test
    public void theMemoryOfAHeadOfManyShortFieldsCounts() {
        HttpParser parser = new HttpParser(false);
        StringBuilder head = new StringBuilder("POST / HTTP/1.1\r\nContent-Length: 9\r\n");
        for (int i = 0; i < 90; i++) {
            head.append("f").append(i).append(":\r\n");
        }
        assertEquals(new HttpParser.NeedMore(false), parse(parser, head + "\r\n"));
        int leastBytesOfAField = 100; // two strings with their arrays, and an entry of the map
        assertTrue(parser.bufferedBytes() > 90 * leastBytesOfAField);
    }

    @Test
    public void aHeadOfVeryManyShortFieldsIsRejectedBeforeItsEnd() {
        HttpParser parser = new HttpParser(false);
        String fields = "POST / HTTP/1.1\r\n" + "a:\r\n".repeat(100);
        assertEquals(new HttpParser.NeedMore(false), parse(parser, fields));
        HttpParser.Malformed tooMany = new HttpParser.Malformed(431, "too many headers");
        assertEquals(tooMany, parse(parser, "a:\r\nb"));
    }
}
