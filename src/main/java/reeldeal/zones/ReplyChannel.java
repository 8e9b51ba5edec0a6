package reeldeal.zones;

import reeldeal.dns.TransferOut;

/** Sends the responses to one DNS message. Called on the state loop. */
public interface ReplyChannel {
    /** Sends one message. */
    void send(byte[] message);

    /**
     * Sends the messages of a transfer as fast as the client reads them; {@code onEnd} runs when
     * the transfer is complete or has been interrupted.
     */
    void stream(TransferOut transfer, Runnable onEnd);
}
