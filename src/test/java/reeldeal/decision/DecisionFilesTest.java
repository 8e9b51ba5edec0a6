package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks the deploy file's list of files that hold decisions, and the format of these files. */
class DecisionFilesTest {
    private static final int MAX_LINE_LENGTH = 100;
    private static final Path PACKAGE = Path.of("src/main/java/reeldeal/decision");

    /** Files of the package without decisions: the interface and the exports of state. */
    private static final Set<String> FILES_WITHOUT_DECISIONS =
            Set.of(
                    "package-info.java",
                    "DecisionModule.java",
                    "EjectionView.java",
                    "ServerStatsSnapshot.java");

    private static List<Path> listedFiles() throws IOException {
        Matcher matcher =
                Pattern.compile("(?m)^policy = \\[(.*)]$")
                        .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        assertTrue(matcher.find());
        return Stream.of(matcher.group(1).split(", "))
                .map(path -> Path.of(path.replace("\"", "")))
                .toList();
    }

    @Test
    void deployFileListsExactlyTheFilesThatHoldDecisions() throws IOException {
        List<Path> listed = listedFiles();
        assertTrue(listed.contains(PACKAGE.resolve("DecisionEngine.java")));
        try (Stream<Path> files = Files.list(PACKAGE)) {
            Set<Path> expected =
                    files.filter(
                                    file ->
                                            !FILES_WITHOUT_DECISIONS.contains(
                                                    file.getFileName().toString()))
                            .collect(Collectors.toCollection(TreeSet::new));
            assertEquals(expected, new TreeSet<>(listed));
            assertEquals(expected.size(), listed.size());
        }
    }

    @Test
    void linesOfDecisionFilesDoNotExceedTheLimit() throws IOException {
        for (Path file : listedFiles()) {
            List<String> lines = Files.readAllLines(file);
            assertEquals(
                    List.of(),
                    lines.stream().filter(line -> line.length() > MAX_LINE_LENGTH).toList());
        }
    }

    @Test
    void eachDecisionFileHasADocComment() throws IOException {
        for (Path file : listedFiles()) {
            assertTrue(
                    Files.readAllLines(file).stream().anyMatch(line -> line.startsWith("/**")),
                    file + " has no doc comment");
        }
    }
}
