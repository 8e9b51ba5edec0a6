package reeldeal.serve;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

/** One order of restarts; all six run by command. */
public class ThreeDaemonsTest {
    @Test
    public void eachQueryHasOneAnswerAndADrainedSearcherStaysDrained() throws Exception {
        try (ThreeDaemons three = new ThreeDaemons()) {
            assertEquals(6, three.play(1).restarts());
        }
    }
}
