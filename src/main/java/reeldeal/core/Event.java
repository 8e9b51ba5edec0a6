package reeldeal.core;

import java.util.List;
import reeldeal.decide.Aggregator.ListKind;
import reeldeal.decide.Aggregator.Outcome;

/** What can happen to a broker. */
public sealed interface Event {

    /** A front took a request. */
    record Arrived(Request request) implements Event { }

    /** The client of a request has left. */
    record ClientGone(long request) implements Event { }

    /** An attempt ended; its searcher's report may come with it. */
    record AttemptEnded(long part, int attempt, AttemptEnd end, double[] load) implements Event { }

    /** An attempt's time-out has run. */
    record AttemptOverdue(long part, int attempt) implements Event { }

    /** A probe ended. */
    record Probed(String searcher, Outcome outcome, double elapsedMs, double[] load) implements Event { }

    /** Discovery has spoken. */
    record Told(ListKind kind, List<Searcher> entries) implements Event { }

    /** A timer of the module is due. */
    record TimerDue(int token) implements Event { }

    /** A request's second step is to begin. */
    record SecondStepDue(long request) implements Event { }

    /** A request's last moment has come. */
    record DeadlineDue(long request) implements Event { }
}
