package reeldeal.serve;

import reeldeal.benchlink.BenchLink;
import reeldeal.config.Config;

/**
 * The program: {@code serve} is a broker on sockets, {@code benchlink} the simulator's adapter,
 * {@code rehearse} the build's training run.
 */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws Exception {
        if (args.length == 1 && args[0].equals("benchlink")) {
            BenchLink.main(args);
        } else if (args.length == 1 && args[0].equals("serve")) {
            serve();
        } else if (args.length == 1 && args[0].equals("rehearse")) {
            Rehearsal.run();
            System.exit(0);
        } else {
            System.err.println("usage: java -jar reeldeal.jar serve|benchlink");
            System.exit(2);
        }
    }

    private static void serve() {
        Config config;
        try {
            config = Config.read(System.getenv());
        } catch (Config.Invalid e) {
            System.err.println("reeldeal: " + e.getMessage());
            System.exit(2);
            return;
        }
        Broker broker = new Broker(config);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                broker.drain();
            } catch (InterruptedException | RuntimeException e) {
                System.err.println("reeldeal: stopped early: " + e);
            }
            // The hook runs on SIGTERM: the orderly end is status 0, not the signal's.
            Runtime.getRuntime().halt(0);
        }));
        try {
            broker.start();
        } catch (Exception e) {
            System.err.println("reeldeal: cannot serve: " + e.getMessage());
            Runtime.getRuntime().halt(1);
        }
    }
}
