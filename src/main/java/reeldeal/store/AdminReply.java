package reeldeal.store;

import java.util.function.Consumer;
import java.util.function.Supplier;

/** Answers an operator's request; calls after the first one have no effect. */
public final class AdminReply {
    private final Supplier<AdminAnswer> redirection;
    private Consumer<AdminAnswer> receiver;

    AdminReply(Consumer<AdminAnswer> receiver, Supplier<AdminAnswer> redirection) {
        this.receiver = receiver;
        this.redirection = redirection;
    }

    private void send(AdminAnswer answer) {
        if (receiver != null) {
            receiver.accept(answer);
            receiver = null;
        }
    }

    /** Answers that the request was carried out, or with the requested information. */
    public void answer(String text) {
        send(new AdminAnswer(true, text, ""));
    }

    /** Answers that the request was not carried out, with the reason. */
    public void reject(String reason) {
        send(new AdminAnswer(false, reason, ""));
    }

    /** Answers that only the leader can do it, with the leader's address if known. */
    public void redirect() {
        send(redirection.get());
    }
}
