package reeldeal;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/**
 * The list of tests that are known to fail lets just these fail, and fails itself where it is not
 * in order.
 */
public class KnownRedTest {
    @Rule public final TemporaryFolder folder = new TemporaryFolder();
    private String printed;

    @Before
    public void reports() throws IOException {
        Files.writeString(
                folder.getRoot().toPath().resolve("TEST-a.xml"),
                """
                <testsuite name="a.B" failures="1">
                  <testcase name="good" classname="a.B" time="0.1"/>
                  <testcase name="red[x.txt]" classname="a.B" time="0.1">
                    <failure message="expected" type="E">trace</failure>
                  </testcase>
                  <testcase name="passedOver" classname="a.B" time="0">
                    <skipped/>
                  </testcase>
                </testsuite>
                """);
    }

    private int judge(String... lines) throws Exception {
        Path list = folder.getRoot().toPath().resolve("KNOWN-RED.txt");
        Files.writeString(list, String.join("\n", lines) + "\n");
        Process script =
                new ProcessBuilder(
                                "bash",
                                ".ci/known-red",
                                folder.getRoot().toString(),
                                list.toString())
                        .redirectErrorStream(true)
                        .start();
        printed = new String(script.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return script.waitFor();
    }

    @Test
    public void justTheListedTestMayFailAndIsPrintedWithItsState() throws Exception {
        assertEquals(0, judge("a.B#red[x.txt] | mvn test, seed 3 | a fault | issue 7"));
        assertEquals(
                "known red: a.B#red[x.txt] fails (mvn test, seed 3; a fault; issue 7)\n", printed);
        assertEquals(0, judge("a.B#red[x.txt] | c | s | 7", "a.B#good | c | s | 8"));
        assertEquals(
                "known red: a.B#red[x.txt] fails (c; s; 7)\nknown red: a.B#good passes (c; s; 8)\n",
                printed);
    }

    @Test
    public void anyOtherRedFails() throws Exception {
        assertEquals(1, judge(""));
        assertEquals("red: a.B#red[x.txt]\n", printed);
        assertEquals(1, judge("a.B#good | c | s | 8"));
    }

    @Test
    public void aListThatIsNotInOrderFails() throws Exception {
        String red = "a.B#red[x.txt] | c | s | 7";
        assertEquals("a field is missing", 1, judge(red, "a.B#good | c | 8"));
        assertEquals("a field too many", 1, judge(red, "a.B#good | c | s | 8 | x"));
        assertEquals("a field is empty", 1, judge(red, "a.B#good | c | | 7"));
        assertEquals("no such test", 1, judge(red, "a.B#none | c | s | 7"));
        assertEquals("it did not run", 1, judge(red, "a.B#passedOver | c | s | 7"));
        assertEquals(
                "a fourth line",
                1,
                judge(red, "a.B#good | c | s | 1", "a.B#good | c | s | 2", "a.B#good | c | s | 3"));
    }
}
