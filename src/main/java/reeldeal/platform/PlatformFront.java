package reeldeal.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import reeldeal.core.Reply;
import reeldeal.core.Request;
import reeldeal.core.RequestSubmitter;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.decision.DecisionModule.Settings;
import reeldeal.http.Exchange;
import reeldeal.http.HttpMessage;

/**
 * Implements the platform's protocol: maps its HTTP messages to requests of the core, and the
 * core's replies to HTTP responses. Not thread-safe; used on the broker's event loop.
 */
public final class PlatformFront {
    private static final Map<String, String> PLAIN_TEXT = Map.of("Content-Type", "text/plain");
    private static final Map<String, String> JSON = Map.of("Content-Type", "application/json");

    /**
     * Values that can be a field of a searcher's frame: fields end at spaces, commas and line ends.
     */
    private static final Pattern FRAME_FIELD = Pattern.compile("[!-+\\--~]{1,128}");

    private static final Pattern MILLISECONDS = Pattern.compile("[0-9]{1,9}");

    private final RequestSubmitter submitter;
    private final Settings settings;
    private final List<String> queryClasses;
    private final int shards;

    /**
     * Creates a front.
     *
     * @param submitter receives the requests
     * @param settings the settings of the query classes
     * @param queryClasses names of the query classes, in the settings' order
     * @param shards the number of shards, or 0 if the number is not limited
     */
    public PlatformFront(
            RequestSubmitter submitter, Settings settings, List<String> queryClasses, int shards) {
        this.submitter = submitter;
        this.settings = settings;
        this.queryClasses = queryClasses;
        this.shards = shards;
    }

    /** Handles one message. An invalid message is answered with an error and not submitted. */
    public void accept(HttpMessage message, Exchange exchange) {
        String path = message.path();
        if (path.equals("/_health")) {
            boolean ready = submitter.ready();
            respondText(exchange, ready ? 200 : 503, ready ? "ok" : "not ready");
            return;
        }
        String[] segments = path.split("/");
        int queryClass = segments.length < 2 ? -1 : queryClasses.indexOf(segments[1]);
        if (queryClass < 0) {
            respondText(exchange, 404, "unknown class");
        } else if (!message.methodOrVersion().equals("POST")) {
            respondText(exchange, 405, "use POST");
        } else {
            submitQuery(message, queryClass, exchange);
        }
    }

    private void submitQuery(HttpMessage message, int queryClass, Exchange exchange) {
        double receivedAt = submitter.now() - exchange.waitedMs();
        String correlationId = message.header("x-correlation-id");
        String timeLeft = message.header("x-time-left-ms");
        String idempotencyKey = message.header("idempotency-key");
        boolean needsKey =
                settings.classes().get(queryClass).repeatSafety()
                        == RepeatSafety.IDEMPOTENT_WITH_KEY;
        if (!isFrameField(correlationId)) {
            respondText(exchange, 400, "X-Correlation-Id is missing or malformed");
        } else if (timeLeft != null && !MILLISECONDS.matcher(timeLeft).matches()) {
            respondText(exchange, 400, "X-Time-Left-Ms is malformed");
        } else if (needsKey && !isFrameField(idempotencyKey)) {
            respondText(exchange, 400, "Idempotency-Key is missing or malformed");
        } else {
            QueryBody body;
            try {
                body = QueryBody.parse(message.body(), shards, settings.limits().maxInFlight());
            } catch (IOException e) {
                String reason = e.getMessage().lines().findFirst().orElse("malformed body");
                respondText(exchange, 400, reason);
                return;
            }
            long id = submitter.nextRequestId();
            exchange.onDisconnect(() -> submitter.clientDisconnected(id));
            submitter.submit(
                    new Request(
                            id,
                            correlationId,
                            queryClass,
                            needsKey ? idempotencyKey : null,
                            receivedAt + deadlineDelayMs(queryClass, timeLeft),
                            "1".equals(message.header("x-repeat")),
                            body.text(),
                            body.shardRequests()),
                    isFrameField(idempotencyKey) ? idempotencyKey : null,
                    reply -> respond(exchange, reply));
        }
    }

    /**
     * Returns the time until the request's deadline: the client's remaining time, but at most the
     * deadline of its class, since longer waits would only occupy capacity.
     */
    private double deadlineDelayMs(int queryClass, String timeLeft) {
        double classDeadlineMs = settings.classes().get(queryClass).deadlineMs();
        return timeLeft == null
                ? classDeadlineMs
                : Math.min(classDeadlineMs, (double) Long.parseLong(timeLeft));
    }

    private static boolean isFrameField(String value) {
        return value != null && FRAME_FIELD.matcher(value).matches();
    }

    private static void respond(Exchange exchange, Reply reply) {
        if (reply instanceof Reply.Served served) {
            exchange.respond(200, JSON, QueryBody.encodeAnswer(served));
        } else if (reply instanceof Reply.Rejected rejected) {
            respondRejected(exchange, rejected);
        } else if (reply instanceof Reply.Invalid invalid) {
            respondText(exchange, 409, invalid.reason());
        } else {
            respondText(exchange, 500, ((Reply.Failed) reply).reason());
        }
    }

    private static void respondRejected(Exchange exchange, Reply.Rejected rejected) {
        Map<String, String> headers =
                rejected.retryAfterMs() <= 0
                        ? PLAIN_TEXT
                        : Map.of(
                                "Content-Type",
                                "text/plain",
                                "Retry-After",
                                formatSeconds(rejected.retryAfterMs()));
        exchange.respond(503, headers, "refused\n".getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Formats milliseconds as seconds with three decimals. Does not use a formatter, whose first
     * use would take much longer than the rejection itself.
     */
    private static String formatSeconds(double ms) {
        long rounded = Math.round(ms);
        return rounded / 1000 + "." + String.valueOf(1000 + rounded % 1000).substring(1);
    }

    private static void respondText(Exchange exchange, int status, String text) {
        exchange.respond(status, PLAIN_TEXT, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
