package reeldeal.core;

import java.util.function.Consumer;

/** What a front sees of the broker behind it. */
public interface Port {

    /** The broker's clock: Unix time in milliseconds, which never goes back. */
    double now();

    /** A number for the next request, never given twice. */
    long nextRequest();

    /** Hands a request over; its one reply comes to the consumer. */
    void submit(Request request, Consumer<Reply> reply);

    /** The client of a request has left; no reply will come. */
    void gone(long request);

    /** Runs this after so long. */
    void after(double delayMs, Runnable run);

    /** Whether the broker is up and not about to stop. */
    boolean ready();
}
