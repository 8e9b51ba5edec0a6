package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.Outcome;
import reeldeal.decision.DecisionModule.Query;
import reeldeal.decision.DecisionModule.ShardRequest;

/** Runs the README's example of embedding the engine. */
class EmbeddingExampleTest {
    @Test
    void theReadmeExampleRuns() {
        // The actions of a real embedder send requests over the network and set timers.
        DecisionFixture actions = new DecisionFixture();
        DecisionModule engine = new DecisionEngine(0, actions.settings(), actions);
        engine.servers(
                0,
                DecisionModule.EndpointListKind.COMPLETE,
                List.of(
                        new DecisionModule.Server(
                                17, 0, 0, 0, 1, 0, DecisionModule.EndpointState.READY)));
        engine.query(
                1, new Query(1, 0, 0, 42, 3001, false), List.of(new ShardRequest(2, 0, 1, 42)));
        engine.outcome(90, 2, 0, Outcome.OK, 89, new double[0]);
        assertEquals("complete", actions.resultOf(1));
    }
}
