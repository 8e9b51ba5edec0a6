package reeldeal.simulator;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/**
 * The entry point of the simulator adapter, which reads batches of events from standard input and
 * writes one reply to each to standard output.
 */
public final class SimulatorAdapter {
    private static final String SUBCOMMAND = "benchlink";
    private static final int BUFFER_BYTES = 1 << 16;
    private static final int EXIT_MALFORMED_INPUT = 2;

    private SimulatorAdapter() {}

    /**
     * Runs the adapter until the input ends; exits with 0, or with 2 on malformed input or usage.
     */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals(SUBCOMMAND)) {
            System.err.println("usage: java -jar reeldeal.jar benchlink");
            System.exit(EXIT_MALFORMED_INPUT);
        }
        System.exit(
                run(
                        new BufferedInputStream(System.in, BUFFER_BYTES),
                        new BufferedOutputStream(System.out, BUFFER_BYTES),
                        System.err));
    }

    static int run(InputStream in, OutputStream out, PrintStream errors) throws IOException {
        BatchReader reader = new BatchReader(in);
        ActionWriter writer = new ActionWriter();
        InstanceHost host = new InstanceHost(writer, errors);
        try {
            for (BatchReader.Batch batch = reader.next(); batch != null; batch = reader.next()) {
                host.handleBatch(batch);
                writer.flush(out, batch.number());
            }
            return 0;
        } catch (MalformedBatchException e) {
            errors.println("reeldeal: " + e.getMessage());
            return EXIT_MALFORMED_INPUT;
        }
    }
}
