package reeldeal.dns;

import java.util.List;

/**
 * A record parsed from the text that an operator writes: {@code NAME [TTL] [TYPE [DATA]]}, in zone
 * file syntax.
 */
public record RecordText(String name, long ttl, int type, byte[] data) {

    /** Thrown for text that is not a record; the message says what was expected. */
    public static final class InvalidRecord extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidRecord(String reason) {
            super(reason);
        }
    }

    /**
     * Parses a record. If {@code complete} is set, TTL, type and data are required; otherwise type
     * and data are optional and a TTL is not allowed.
     */
    public static RecordText parse(String text, String origin, boolean complete)
            throws InvalidRecord {
        try {
            List<Rdata.Token> tokens = ZoneFile.tokens(text);
            if (tokens.isEmpty()) {
                throw new InvalidRecord("expected a name, found nothing");
            }
            String name = Names.parse(tokens.get(0).text(), origin);
            if (name == null) {
                throw new InvalidRecord("expected a name in: " + text);
            }
            int index = 1;
            long ttl = 0;
            if (complete) {
                if (tokens.size() < 3) {
                    throw new InvalidRecord("expected NAME TTL TYPE DATA in: " + text);
                }
                ttl = Rdata.parseTime(tokens.get(index++));
            }
            if (index < tokens.size() && tokens.get(index).text().equalsIgnoreCase("IN")) {
                index++;
            }
            if (index >= tokens.size()) {
                return new RecordText(name, 0, Rr.ANY, new byte[0]);
            }
            int type =
                    tokens.get(index).text().equalsIgnoreCase("ANY") && !complete
                            ? Rr.ANY
                            : Types.number(tokens.get(index).text());
            if (type < 0 || (complete && Rr.isMeta(type))) {
                throw new InvalidRecord(
                        "expected a record type, found " + tokens.get(index).text());
            }
            List<Rdata.Token> dataTokens = tokens.subList(index + 1, tokens.size());
            return new RecordText(
                    name,
                    ttl,
                    type,
                    dataTokens.isEmpty() && !complete
                            ? new byte[0]
                            : Rdata.parse(type, dataTokens, origin));
        } catch (Rdata.InvalidRdata e) {
            throw new InvalidRecord(e.getMessage() + " in: " + text);
        } catch (ZoneFile.Malformed e) {
            throw new InvalidRecord(e.getMessage());
        }
    }

    /** Returns the record with the given class and TTL. */
    public Rr record(int recordClass, long withTtl) {
        return new Rr(name, type, recordClass, withTtl, data);
    }
}
