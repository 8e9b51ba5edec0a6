package reeldeal.server;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import reeldeal.config.BrokerConfig;
import reeldeal.core.Event;
import reeldeal.core.Searcher;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;

/**
 * Runs the build's training run for class-data sharing: sends one query through a broker on the
 * loopback interface, so that the JVM records the classes that serving needs and a broker starts
 * faster. Not used by a serving broker.
 */
final class ClassDataSharingRun {
    private static final String BODY =
            "{\"shards\":[{\"shard\":0,\"weight\":1.0,\"cost\":9000}],\"q\":\"x\"}";

    private static final int SOCKET_TIMEOUT_MS = 5_000;

    private ClassDataSharingRun() {}

    /** Runs the query. Throws if it is not answered. */
    static void run() throws Exception {
        BrokerConfig config = readConfig();
        try (ServerSocket searcher = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            searcher.setSoTimeout(SOCKET_TIMEOUT_MS);
            BrokerServer broker = new BrokerServer(new NioEventLoopGroup(1), config);
            broker.start();
            broker.submitEvent(
                    new Event.EndpointsChanged(
                            EndpointListKind.COMPLETE,
                            List.of(searcherAt(searcher.getLocalPort()))));
            query(broker.port(), searcher);
            broker.drain();
        }
    }

    private static BrokerConfig readConfig() throws Exception {
        try (InputStream in =
                ClassDataSharingRun.class.getResourceAsStream("/reeldeal/rehearsal.json")) {
            return BrokerConfig.parse(in.readAllBytes(), Map.of(), false);
        }
    }

    private static Searcher searcherAt(int port) {
        return new Searcher("s", "127.0.0.1:" + port, "a", "std", 0, 0, 1, EndpointState.READY);
    }

    private static void query(int brokerPort, ServerSocket searcher) throws IOException {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), brokerPort)) {
            client.setSoTimeout(SOCKET_TIMEOUT_MS);
            client.getOutputStream()
                    .write(
                            ("POST /notice-search HTTP/1.1\r\nX-Correlation-Id: r\r\n"
                                            + "X-Time-Left-Ms: 9000\r\nContent-Length: "
                                            + BODY.length()
                                            + "\r\n\r\n"
                                            + BODY)
                                    .getBytes(StandardCharsets.US_ASCII));
            try (Socket call = searcher.accept()) {
                answer(call);
                if (client.getInputStream().read() < 0) {
                    throw new IOException(
                            "training query was not answered: the broker closed the connection");
                }
            }
        }
    }

    /** Reads one call frame and sends an answer frame for its shard request. */
    private static void answer(Socket call) throws IOException {
        DataInputStream in = new DataInputStream(call.getInputStream());
        in.readNBytes(in.readInt());
        byte[] frame = "Ar.0 ok 1 -\ndone".getBytes(StandardCharsets.US_ASCII);
        DataOutputStream out = new DataOutputStream(call.getOutputStream());
        out.writeInt(frame.length);
        out.write(frame);
        out.flush();
    }
}
