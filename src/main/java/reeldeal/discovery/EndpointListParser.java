package reeldeal.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.EndpointState;

/** Parses discovery's JSON form of endpoint lists. Stateless; any thread may call it. */
public final class EndpointListParser {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int MAX_SEARCHERS = 10_000;
    private static final int MAX_PORT = 65_535;

    private EndpointListParser() {}

    /**
     * Parses the body of a reply, which must contain one endpoint list and nothing else.
     *
     * @throws IOException if this is not a valid endpoint list; the message describes the error
     */
    public static EndpointList parse(byte[] body) throws IOException {
        try (JsonParser json = JSON.createParser(body)) {
            json.nextToken();
            EndpointList list = read(json);
            if (json.nextToken() != null) {
                throw new IOException("unexpected data after the endpoint list");
            }
            return list;
        }
    }

    /**
     * Parses the object that starts at the JSON parser's current token, up to its end.
     *
     * @throws IOException if this is not a valid endpoint list; the message describes the error
     */
    public static EndpointList read(JsonParser json) throws IOException {
        if (json.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("endpoint list is not a JSON object");
        }
        long index = -1;
        boolean complete = false;
        List<Searcher> searchers = null;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "index" -> index = json.getLongValue();
                case "snapshot" -> complete = json.getBooleanValue();
                case "endpoints" -> searchers = readSearchers(json);
                default -> json.skipChildren();
            }
        }
        if (index < 0) {
            throw new IOException("endpoint list has no index");
        }
        if (searchers == null) {
            throw new IOException("endpoint list has no endpoints");
        }
        return new EndpointList(index, complete, searchers);
    }

    private static List<Searcher> readSearchers(JsonParser json) throws IOException {
        if (json.currentToken() != JsonToken.START_ARRAY) {
            throw new IOException("endpoints is not a JSON array");
        }
        List<Searcher> searchers = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            if (searchers.size() >= MAX_SEARCHERS) {
                throw new IOException("endpoints has more than " + MAX_SEARCHERS + " entries");
            }
            searchers.add(readSearcher(json));
        }
        return searchers;
    }

    private static Searcher readSearcher(JsonParser json) throws IOException {
        if (json.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("endpoint is not a JSON object");
        }
        String name = null;
        String address = null;
        String zone = "";
        String kind = "";
        int cell = -1;
        double startedMs = 0;
        double size = 1;
        EndpointState state = null;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "name" -> name = json.getText();
                case "address" -> address = json.getText();
                case "zone" -> zone = json.getText();
                case "type" -> kind = json.getText();
                case "group" -> cell = json.getIntValue();
                case "weight" -> size = json.getDoubleValue();
                case "since_ms" -> startedMs = json.getDoubleValue();
                case "status" -> state = parseState(json.getText());
                default -> json.skipChildren();
            }
        }
        boolean removed = state == EndpointState.REMOVED;
        if (name == null || state == null || (!removed && (cell < 0 || !isHostAndPort(address)))) {
            throw new IOException(
                    "endpoint "
                            + name
                            + ": name, status, group or address (HOST:PORT) is missing or invalid");
        }
        return new Searcher(
                name,
                address == null ? "" : address,
                zone,
                kind,
                Math.max(0, cell),
                startedMs,
                size,
                state);
    }

    private static EndpointState parseState(String status) throws IOException {
        return switch (status) {
            case "ready" -> EndpointState.READY;
            case "draining" -> EndpointState.DRAINING;
            case "gone" -> EndpointState.REMOVED;
            default ->
                    throw new IOException(
                            "expected endpoint status ready, draining or gone, found " + status);
        };
    }

    private static boolean isHostAndPort(String address) {
        if (address == null) {
            return false;
        }
        int colon = address.lastIndexOf(':');
        String port = address.substring(colon + 1);
        return colon > 0 && port.matches("[0-9]{1,5}") && Integer.parseInt(port) <= MAX_PORT;
    }
}
