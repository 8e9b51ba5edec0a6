package reeldeal.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import picocli.CommandLine.Option;
import reeldeal.config.BrokerConfig;
import reeldeal.config.StoreConfigReader;
import reeldeal.store.AdminAnswer;
import reeldeal.store.AdminClient;

/**
 * Options for the running node that a command addresses: by default the node of the store
 * configuration file, otherwise any node of a group.
 */
final class NodeTarget {
    @Option(
            names = "--node",
            paramLabel = "HOST:PORT",
            description =
                    "The address of a node (default: the node of the store configuration file).")
    private String node;

    @Option(
            names = "--group",
            paramLabel = "NAME",
            description =
                    "The name of the group (default: the one in the store configuration file).")
    private String group;

    @Option(
            names = "--timeout-ms",
            defaultValue = "8000",
            description = "The timeout of each connection and read (default: ${DEFAULT-VALUE}).")
    private int timeoutMs;

    /** Sends a request and returns the text of the response; fails with the reason of a refusal. */
    String sendRequest(String request) throws Commands.CommandFailedException {
        try {
            InetSocketAddress nodeAddress;
            if (node == null || group == null) {
                StoreConfigReader config =
                        StoreConfigReader.read(new HashMap<>(Map.copyOf(System.getenv())));
                if (config == null) {
                    throw new Commands.CommandFailedException(
                            Commands.EXIT_BAD_INPUT,
                            "no store configuration file; expected deploy/store.json, REELDEAL_STORE, or "
                                    + "both --node and --group");
                }
                group = group == null ? config.store().group() : group;
                nodeAddress =
                        node == null
                                ? config.store().nodes().get(config.store().node())
                                : parseNodeOption();
            } else {
                nodeAddress = parseNodeOption();
            }
            AdminAnswer answer = AdminClient.send(nodeAddress, group, request, timeoutMs);
            if (!answer.ok()) {
                throw new Commands.CommandFailedException(Commands.EXIT_FAILURE, answer.text());
            }
            return answer.text();
        } catch (BrokerConfig.InvalidConfigException e) {
            throw new Commands.CommandFailedException(Commands.EXIT_BAD_INPUT, e.getMessage());
        } catch (IOException e) {
            throw new Commands.CommandFailedException(
                    Commands.EXIT_FAILURE,
                    "no response from the node: "
                            + (e instanceof java.io.EOFException
                                    ? "the connection was closed; the node, or the leader that it redirected to, may run an earlier version"
                                    : e.getMessage()));
        }
    }

    /** Parses the value of {@code --node}. */
    private InetSocketAddress parseNodeOption() throws Commands.CommandFailedException {
        int colon = node.lastIndexOf(':');
        if (colon < 1
                || !node.substring(colon + 1).matches("[0-9]{1,5}")
                || Integer.parseInt(node.substring(colon + 1)) > 65_535) {
            throw new Commands.CommandFailedException(
                    Commands.EXIT_BAD_INPUT, "--node: expected HOST:PORT, found " + node);
        }
        return new InetSocketAddress(
                node.substring(0, colon), Integer.parseInt(node.substring(colon + 1)));
    }
}
