package reeldeal.zones;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.dns.Message;
import reeldeal.dns.Rcode;
import reeldeal.dns.Responder;
import reeldeal.dns.Rr;
import reeldeal.endpoints.EndpointFeed;
import reeldeal.endpoints.EndpointView;

/**
 * Publishes the endpoint view of the searchers as TXT records of class CH, for the command {@code
 * zone members}.
 */
final class EndpointViewRecords {
    private static final int ENTRIES_PER_PAGE = 60;
    private static final int MAX_STRING_BYTES = 255;

    private final EndpointFeed feed;

    EndpointViewRecords(EndpointFeed feed) {
        this.feed = feed;
    }

    /**
     * Answers {@code N.members.reeldeal.} with page N, counted from 0; a page after the last one is
     * answered with NXDOMAIN.
     */
    byte[] answer(Message.Question question, Responder responder) {
        String pageNumber = pageNumber(question.name());
        if (!pageNumber.matches("[0-9]{1,6}")) {
            return responder.code(Rcode.REFUSED);
        }
        List<EndpointView.Entry> view = feed.entries();
        int firstIndex = Integer.parseInt(pageNumber) * ENTRIES_PER_PAGE;
        if (firstIndex >= Math.max(1, view.size())) {
            return responder.code(Rcode.NXDOMAIN);
        }
        List<Rr> records = new ArrayList<>();
        for (EndpointView.Entry entry :
                view.subList(firstIndex, Math.min(view.size(), firstIndex + ENTRIES_PER_PAGE))) {
            records.add(
                    new Rr(question.name(), Rr.TXT, Rr.CH, 0, encodeStrings(attributes(entry))));
        }
        return responder.records(records);
    }

    private static String pageNumber(String name) {
        if (name.equals(ZoneService.MEMBERS)) {
            return "0";
        }
        String suffix = "." + ZoneService.MEMBERS;
        return name.endsWith(suffix) ? name.substring(0, name.length() - suffix.length()) : "";
    }

    private static List<String> attributes(EndpointView.Entry entry) {
        Searcher searcher = entry.searcher();
        return List.of(
                "name=" + searcher.name(),
                "status=" + status(searcher.state()),
                "address=" + searcher.address(),
                "cell=" + searcher.cell(),
                "zone=" + searcher.zone(),
                "type=" + searcher.kind(),
                "started_ms=" + (long) searcher.startedMs(),
                "source=" + entry.source(),
                "since_ms=" + entry.sinceMs(),
                "reason=" + entry.reason());
    }

    private static String status(EndpointState state) {
        return switch (state) {
            case READY -> "ready";
            case DRAINING -> "draining";
            case REMOVED -> "gone";
        };
    }

    /** Encodes TXT character strings, each cut to the longest length that fits. */
    private static byte[] encodeStrings(List<String> texts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (String text : texts) {
            byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
            int length = Math.min(MAX_STRING_BYTES, utf8.length);
            out.write(length);
            out.write(utf8, 0, length);
        }
        return out.toByteArray();
    }
}
