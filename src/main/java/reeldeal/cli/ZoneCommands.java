package reeldeal.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import reeldeal.config.BrokerConfig;
import reeldeal.config.TsigKeyFile;
import reeldeal.dns.Message;
import reeldeal.dns.MessageWriter;
import reeldeal.dns.Names;
import reeldeal.dns.Rcode;
import reeldeal.dns.RecordText;
import reeldeal.dns.Rr;
import reeldeal.dns.Tsig;
import reeldeal.dns.Types;
import reeldeal.dns.Zone;
import reeldeal.dns.ZoneFile;
import reeldeal.endpoints.EndpointReport;
import reeldeal.endpoints.EndpointReports;
import reeldeal.zones.ZoneFileReader;
import reeldeal.zones.ZoneService;

/** Commands on zone files and on the zones that a daemon serves. */
@Command(
        name = "zone",
        description = "Checks zone files, and shows, changes and copies the zones of a daemon.",
        mixinStandardHelpOptions = true)
public final class ZoneCommands implements Runnable {
    private static final int SECRET_BYTES = 32;

    @Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "expected check, show, members, update, " + "transfer or key");
    }

    /** Options for the address of the daemon, the key to sign with and the timeout. */
    static final class DaemonTarget {
        @Option(
                names = {"-s", "--server"},
                defaultValue = "127.0.0.1:5300",
                paramLabel = "HOST:PORT",
                description = "The address in the daemon's dns.listen (default: ${DEFAULT-VALUE}).")
        private String server;

        @Option(
                names = {"-k", "--key-file"},
                paramLabel = "FILE",
                description = "Sign with the key in this file.")
        private Path keyFile;

        @Option(
                names = "--timeout-ms",
                defaultValue = "5000",
                description = "The timeout of each response (default: ${DEFAULT-VALUE}).")
        private long timeoutMs;

        DnsClient connect() throws Commands.CommandFailedException {
            int colon = server.lastIndexOf(':');
            if (colon < 1
                    || !server.substring(colon + 1).matches("[0-9]{1,5}")
                    || Integer.parseInt(server.substring(colon + 1)) > 65_535) {
                throw new Commands.CommandFailedException(
                        Commands.EXIT_BAD_INPUT, "--server: expected HOST:PORT, found " + server);
            }
            try {
                Tsig.Key key = keyFile == null ? null : TsigKeyFile.read(keyFile);
                return new DnsClient(
                        new InetSocketAddress(
                                server.substring(0, colon),
                                Integer.parseInt(server.substring(colon + 1))),
                        key,
                        timeoutMs);
            } catch (BrokerConfig.InvalidConfigException e) {
                throw new Commands.CommandFailedException(Commands.EXIT_BAD_INPUT, e.getMessage());
            }
        }
    }

    private static String parseOrigin(String text) throws Commands.CommandFailedException {
        String origin = Names.parse(text, ".");
        if (origin == null) {
            throw new Commands.CommandFailedException(
                    Commands.EXIT_BAD_INPUT, "expected a domain name, found " + text);
        }
        return origin;
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    @Command(
            description =
                    "Reads a zone file and reports its contents, or the first error and its place.",
            mixinStandardHelpOptions = true)
    int check(
            @Parameters(paramLabel = "FILE") Path file,
            @Parameters(paramLabel = "ORIGIN", description = "The zone's name.") String zoneName)
            throws Commands.CommandFailedException {
        try {
            Zone zone = ZoneFileReader.read(file, parseOrigin(zoneName));
            Map<String, Integer> recordsByType = new TreeMap<>();
            for (var recordSets = zone.sets(); recordSets.hasNext(); ) {
                Zone.OwnedRrSet recordSet = recordSets.next();
                recordsByType.merge(
                        Types.name(recordSet.type()), recordSet.set().data().size(), Integer::sum);
            }
            out().println(
                            zone.origin
                                    + " serial "
                                    + zone.serial()
                                    + ", "
                                    + zone.size()
                                    + " records "
                                    + recordsByType);
            int unusableCount = 0;
            for (EndpointReport report : EndpointReports.parse(zone)) {
                String problem =
                        report.addresses().isEmpty()
                                ? "has no address"
                                : report.cells().isEmpty()
                                        ? "has no cell=N in its TXT"
                                        : report.cells().size() > 1 ? "has several cells" : null;
                if (problem != null) {
                    unusableCount++;
                    out().println("searcher " + report.name() + " " + problem);
                }
            }
            out().println(
                            EndpointReports.parse(zone).size()
                                    + " searchers listed, "
                                    + unusableCount
                                    + " of them not sound");
            out().flush();
            return 0;
        } catch (ZoneFile.Malformed | IOException e) {
            throw new Commands.CommandFailedException(
                    Commands.EXIT_BAD_INPUT,
                    e instanceof IOException
                            ? file + ": cannot be read: " + e.getMessage()
                            : e.getMessage());
        }
    }

    @Command(
            description = "Prints a zone of the daemon as a zone file.",
            mixinStandardHelpOptions = true)
    int show(@Mixin DaemonTarget target, @Parameters(paramLabel = "ORIGIN") String zoneName)
            throws Commands.CommandFailedException, IOException {
        try (DnsClient client = target.connect()) {
            ZoneFile.write(client.fetchZone(parseOrigin(zoneName)), out());
            out().flush();
        }
        return 0;
    }

    @Command(
            description = "Copies a zone of the daemon to a file by a full transfer (AXFR).",
            mixinStandardHelpOptions = true)
    int transfer(
            @Mixin DaemonTarget target,
            @Parameters(paramLabel = "ORIGIN") String zoneName,
            @Parameters(paramLabel = "FILE") Path file)
            throws Commands.CommandFailedException, IOException {
        try (DnsClient client = target.connect()) {
            Zone zone = client.fetchZone(parseOrigin(zoneName));
            // Writes another file first and renames it, so that an incomplete copy never has the
            // name of the target file.
            Path temporaryFile = Path.of(file + ".new");
            try (Writer writer = Files.newBufferedWriter(temporaryFile)) {
                ZoneFile.write(zone, writer);
            }
            Files.move(
                    temporaryFile,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            out().println(
                            zone.origin
                                    + " serial "
                                    + zone.serial()
                                    + ", "
                                    + zone.size()
                                    + " records in "
                                    + file);
            out().flush();
        }
        return 0;
    }

    @Command(
            description =
                    "Lists the searchers as the daemon sees them, each with its source and reason.",
            mixinStandardHelpOptions = true)
    int members(
            @Mixin DaemonTarget target,
            @Option(
                            names = "--output",
                            defaultValue = "table",
                            description = "table or json (default: ${DEFAULT-VALUE}).")
                    String output)
            throws Commands.CommandFailedException, IOException {
        if (!output.matches("table|json")) {
            throw new Commands.CommandFailedException(
                    Commands.EXIT_BAD_INPUT, "--output: expected table or json, found " + output);
        }
        List<Map<String, String>> rows = new ArrayList<>();
        try (DnsClient client = target.connect()) {
            for (int page = 0; ; page++) {
                int id = DnsClient.randomId();
                Message answer =
                        client.request(
                                new MessageWriter(id, 0, 512)
                                        .question(page + "." + ZoneService.MEMBERS, Rr.TXT, Rr.CH),
                                id);
                if (answer.rcode() == Rcode.NXDOMAIN) {
                    break;
                } else if (answer.rcode() != Rcode.NOERROR) {
                    throw new Commands.CommandFailedException(
                            Commands.EXIT_FAILURE,
                            "the daemon responded "
                                    + Rcode.name(answer.rcode())
                                    + "; it lists its searchers to loopback addresses only");
                }
                answer.answers().forEach(record -> rows.add(parseTxtStrings(record.data())));
            }
        }
        if (output.equals("json")) {
            printJson(rows);
        } else {
            printTable(rows, List.of("name", "status", "address", "cell", "source", "reason"));
        }
        out().flush();
        return 0;
    }

    /** Parses the character-strings of a TXT record, each of the form {@code key=value}. */
    private static Map<String, String> parseTxtStrings(byte[] data) {
        Map<String, String> pairs = new LinkedHashMap<>();
        for (int offset = 0; offset < data.length; offset += 1 + (data[offset] & 0xff)) {
            String pair = new String(data, offset + 1, data[offset] & 0xff, StandardCharsets.UTF_8);
            int equals = pair.indexOf('=');
            pairs.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return pairs;
    }

    private void printJson(List<Map<String, String>> rows) throws IOException {
        try (JsonGenerator json = new JsonFactory().createGenerator(out())) {
            json.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            json.useDefaultPrettyPrinter();
            json.writeStartArray();
            for (Map<String, String> row : rows) {
                json.writeStartObject();
                for (Map.Entry<String, String> field : row.entrySet()) {
                    json.writeStringField(field.getKey(), field.getValue());
                }
                json.writeEndObject();
            }
            json.writeEndArray();
        }
        out().println();
    }

    private void printTable(List<Map<String, String>> rows, List<String> columns) {
        Map<String, Integer> widths = new LinkedHashMap<>();
        columns.forEach(
                column ->
                        widths.put(
                                column,
                                rows.stream()
                                        .mapToInt(row -> row.getOrDefault(column, "").length())
                                        .max()
                                        .orElse(0)));
        StringBuilder header = new StringBuilder();
        columns.forEach(
                column ->
                        header.append(
                                String.format(
                                        "%-"
                                                + Math.max(column.length(), widths.get(column))
                                                + "s  ",
                                        column)));
        out().println(header.toString().stripTrailing());
        for (Map<String, String> row : rows) {
            StringBuilder line = new StringBuilder();
            columns.forEach(
                    column ->
                            line.append(
                                    String.format(
                                            "%-"
                                                    + Math.max(column.length(), widths.get(column))
                                                    + "s  ",
                                            row.getOrDefault(column, ""))));
            out().println(line.toString().stripTrailing());
        }
        out().println(rows.size() + " searchers");
    }

    @Command(
            description = {
                "Updates a zone atomically (RFC 2136).",
                "Records are written as in a zone file, with names absolute or relative to the zone."
            },
            mixinStandardHelpOptions = true)
    int update(
            @Mixin DaemonTarget target,
            @Parameters(paramLabel = "ORIGIN") String zoneName,
            @Option(
                            names = "--add",
                            paramLabel = "'NAME TTL TYPE DATA'",
                            description = "Add a record.")
                    List<String> additions,
            @Option(
                            names = "--delete",
                            paramLabel = "'NAME [TYPE [DATA]]'",
                            description =
                                    "Delete a name, a record set or a record. Deletions are applied before additions.")
                    List<String> deletions,
            @Option(
                            names = "--require",
                            paramLabel = "'NAME [TYPE [DATA]]'",
                            description =
                                    "Update only if this name or record set exists, or the set has exactly these records.")
                    List<String> requiredPresent,
            @Option(
                            names = "--require-no",
                            paramLabel = "'NAME [TYPE]'",
                            description = "Update only if this name or record set does not exist.")
                    List<String> requiredAbsent)
            throws Commands.CommandFailedException {
        String zone = parseOrigin(zoneName);
        int id = DnsClient.randomId();
        MessageWriter writer =
                new MessageWriter(id, Message.UPDATE << 11, 65_000).question(zone, Rr.SOA, Rr.IN);
        int changes = 0;
        try {
            for (String text : requiredPresent == null ? List.<String>of() : requiredPresent) {
                RecordText record = RecordText.parse(text, zone, false);
                writer.add(
                        1,
                        record.data().length > 0
                                ? record.record(Rr.IN, 0)
                                : record.record(Rr.ANY, 0));
            }
            for (String text : requiredAbsent == null ? List.<String>of() : requiredAbsent) {
                writer.add(1, RecordText.parse(text, zone, false).record(Rr.NONE, 0));
            }
            for (String text : deletions == null ? List.<String>of() : deletions) {
                RecordText record = RecordText.parse(text, zone, false);
                writer.add(2, record.record(record.data().length > 0 ? Rr.NONE : Rr.ANY, 0));
                changes++;
            }
            for (String text : additions == null ? List.<String>of() : additions) {
                RecordText record = RecordText.parse(text, zone, true);
                writer.add(2, record.record(Rr.IN, record.ttl()));
                changes++;
            }
        } catch (RecordText.InvalidRecord e) {
            throw new Commands.CommandFailedException(Commands.EXIT_BAD_INPUT, e.getMessage());
        }
        if (changes == 0) {
            throw new Commands.CommandFailedException(
                    Commands.EXIT_BAD_INPUT, "expected at least one --add or --delete");
        }
        try (DnsClient client = target.connect()) {
            int rcode = client.request(writer, id).rcode();
            out().println(Rcode.name(rcode));
            out().flush();
            if (rcode != Rcode.NOERROR) {
                throw new Commands.CommandFailedException(
                        Commands.EXIT_FAILURE,
                        "the zone was not changed: "
                                + switch (rcode) {
                                    case Rcode.REFUSED ->
                                            "this address or key has no permission; see the daemon's log for the reason";
                                    case Rcode.NOTAUTH -> "the daemon has no zone " + zone;
                                    case Rcode.SERVFAIL -> "the store has no quorum, or is full";
                                    case Rcode.NXDOMAIN,
                                            Rcode.YXDOMAIN,
                                            Rcode.NXRRSET,
                                            Rcode.YXRRSET ->
                                            "a condition of --require or --require-no is not met";
                                    default -> Rcode.name(rcode);
                                });
            }
        }
        return 0;
    }

    @Command(
            description = "Creates a new key and writes it to a file that only its owner can read.",
            mixinStandardHelpOptions = true)
    int key(
            @Parameters(
                            paramLabel = "NAME",
                            description = "The name of the key, such as update.example.org.")
                    String name,
            @Parameters(paramLabel = "FILE") Path file,
            @Option(
                            names = "--algorithm",
                            defaultValue = "hmac-sha256",
                            description = "hmac-sha256 or hmac-sha512 (default: ${DEFAULT-VALUE}).")
                    String algorithm)
            throws Commands.CommandFailedException {
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        try {
            TsigKeyFile.write(file, new Tsig.Key(parseOrigin(name), algorithm + ".", secret));
        } catch (IllegalArgumentException e) {
            throw new Commands.CommandFailedException(
                    Commands.EXIT_BAD_INPUT, "--algorithm: " + e.getMessage());
        } catch (IOException e) {
            throw new Commands.CommandFailedException(
                    Commands.EXIT_BAD_INPUT, file + ": cannot be written: " + e);
        }
        out().println("wrote " + file + "; name it in dns.key_files");
        out().flush();
        return 0;
    }
}
