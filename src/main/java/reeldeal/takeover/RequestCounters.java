package reeldeal.takeover;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import reeldeal.fleet.FormAttributes;
import reeldeal.fleet.takeover.RequestAction;

/** Counts events of keyed requests since the start of this process, for operators. Thread-safe. */
final class RequestCounters {

    /** The counted events. The replies to operators contain the labels, in this order. */
    enum Counter {
        RECORDED("recorded"),
        TAKEN_OVER("taken_over"),
        ENDED_FOR_OTHERS("ended_for_others"),
        UNRECORDED("alone"),
        REJECTED("refused"),
        DONE("done"),
        FAILED("failed"),
        UNKNOWN("unknown"),
        FENCED("barred");

        private final String label;

        Counter(String label) {
            this.label = label;
        }
    }

    private final Map<Counter, AtomicLong> counts = new EnumMap<>(Counter.class);

    RequestCounters() {
        for (Counter counter : Counter.values()) {
            counts.put(counter, new AtomicLong());
        }
    }

    void increment(Counter counter) {
        counts.get(counter).incrementAndGet();
    }

    /** Increments the counter of an action that concerns a client. */
    void increment(RequestAction.ClientAction action) {
        if (action instanceof RequestAction.ProceedUnrecorded) {
            increment(Counter.UNRECORDED);
        } else if (action instanceof RequestAction.Reply reply) {
            increment(
                    switch (reply.state()) {
                        case DONE -> Counter.DONE;
                        case FAILED -> Counter.FAILED;
                        case OPEN, UNKNOWN -> Counter.UNKNOWN;
                    });
        } else {
            increment(Counter.REJECTED);
        }
    }

    /** Adds all counts under their labels. */
    void addTo(FormAttributes attributes) {
        counts.forEach((counter, count) -> attributes.with(counter.label, count.get()));
    }
}
