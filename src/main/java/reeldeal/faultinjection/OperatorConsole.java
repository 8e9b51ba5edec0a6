package reeldeal.faultinjection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import reeldeal.fleet.FormAttributes;
import reeldeal.store.AdminAnswer;
import reeldeal.store.AdminClient;

/** Sends operators' requests to a fleet in the way the commands of the program do. */
final class OperatorConsole {
    private static final int TIMEOUT_MS = 7_000;
    private static final int MAX_ATTEMPTS = 5;
    private static final int MAX_RECORDED_LENGTH = 200;
    private static final int RECORDED_PREFIX_LENGTH = 60;

    private final ProcessFleet fleet;
    private final History history;

    OperatorConsole(ProcessFleet fleet, History history) {
        this.fleet = fleet;
        this.history = history;
    }

    /** Returns the answer of the first running broker that answers. Voters are asked first. */
    private Optional<AdminAnswer> request(String text) {
        for (BrokerProcess broker : fleet.running()) {
            Optional<AdminAnswer> answer = tryRequest(broker, text);
            if (answer.isPresent()) {
                return answer;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the answer of a broker, or empty if the request fails, for example because the broker
     * has just ended or is not up yet.
     */
    private static Optional<AdminAnswer> tryRequest(BrokerProcess broker, String text) {
        try {
            return Optional.of(request(broker, text, TIMEOUT_MS));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static AdminAnswer request(BrokerProcess broker, String text, int timeoutMs)
            throws IOException {
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), broker.storePort);
        return AdminClient.send(address, NodeFiles.GROUP, text, timeoutMs);
    }

    /** Returns the text of one broker's answer. */
    String ask(BrokerProcess broker, String text, int timeoutMs) throws IOException {
        return request(broker, text, timeoutMs).text();
    }

    /**
     * Sends an order and returns whether it was carried out. Order and answer are added to the
     * history.
     */
    boolean order(String text) {
        Optional<AdminAnswer> answer = request(text);
        boolean isLong = text.length() > MAX_RECORDED_LENGTH;
        history.add(
                "operator",
                "order",
                isLong ? text.substring(0, RECORDED_PREFIX_LENGTH) + "..." : text);
        history.add(
                "operator",
                "told",
                answer.map(a -> a.ok() + " " + a.text()).orElse("nobody answers"));
        return answer.isPresent() && answer.get().ok();
    }

    /**
     * Sends an order that the scenario depends on, with retries. Throws IllegalStateException if it
     * is never carried out.
     */
    void require(String text) {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            if (order(text)) {
                return;
            }
        }
        throw new IllegalStateException(
                "order not carried out in "
                        + MAX_ATTEMPTS
                        + " attempts: "
                        + text.substring(0, Math.min(RECORDED_PREFIX_LENGTH, text.length())));
    }

    /**
     * Sends a request and returns the lines of the answer that are not blank, each parsed as
     * attributes. Returns an empty list if no broker answers or the request is refused.
     *
     * @param text the request
     */
    List<FormAttributes> list(String text) {
        return lines(text).stream().filter(l -> !l.isBlank()).map(FormAttributes::of).toList();
    }

    /** Returns the name of the node that leads the group, or "" if none is reported. */
    String leader() {
        String leaderSuffix = " leads";
        return lines("store nodes").stream()
                .filter(line -> line.endsWith(leaderSuffix))
                .map(line -> line.split(" ")[0])
                .findFirst()
                .orElse("");
    }

    private List<String> lines(String text) {
        return request(text)
                .filter(AdminAnswer::ok)
                .map(answer -> Arrays.asList(answer.text().split("\n")))
                .orElse(List.of());
    }
}
