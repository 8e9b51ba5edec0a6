package reeldeal.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Checks which of the program's packages may import which; docs/ARCHITECTURE.md has a diagram. */
class PackageLayersTest {
    private static final Path SOURCES = Path.of("src/main/java/reeldeal");
    private static final String ROOT = "reeldeal.";
    private static final Pattern IMPORT =
            Pattern.compile(
                    "(?m)^import (?:static )?((?:reeldeal|io\\.netty|com\\.fasterxml)\\.[a-z.]*[a-z])");

    /**
     * The layers, lowest first. A package may import only from layers below its own; the fleet's
     * subpackages may import one another.
     */
    private static final List<Set<String>> LAYERS =
            List.of(
                    Set.of("sockets"),
                    Set.of("decision", "consensus", "dns", "frames", "http", "fleet"),
                    Set.of("core", "storage"),
                    Set.of("discovery", "endpoints", "platform", "searchers", "store"),
                    Set.of("fleet.node", "zones"),
                    Set.of("takeover"),
                    Set.of("config"),
                    Set.of("faultinjection", "opensearch", "simulator"),
                    Set.of("faultinjection.soak"),
                    Set.of("cli"),
                    Set.of("server"));

    private static Map<String, Set<String>> imports;

    @BeforeAll
    static void readImports() throws IOException {
        imports = new TreeMap<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                String name =
                        ROOT + SOURCES.relativize(file.getParent()).toString().replace('/', '.');
                Set<String> importedPackages = imports.computeIfAbsent(name, n -> new TreeSet<>());
                Matcher matcher = IMPORT.matcher(Files.readString(file));
                while (matcher.find()) {
                    importedPackages.add(matcher.group(1));
                }
                importedPackages.remove(name);
            }
        }
    }

    private static int layerOf(String packageName) {
        String name = packageName.substring(ROOT.length());
        String group = name.startsWith("fleet.") && !name.equals("fleet.node") ? "fleet" : name;
        for (int layer = 0; layer < LAYERS.size(); layer++) {
            if (LAYERS.get(layer).contains(group)) {
                return layer;
            }
        }
        throw new AssertionError("package is in no layer: " + packageName);
    }

    private static boolean isFleetPart(String packageName) {
        return packageName.startsWith(ROOT + "fleet") && !packageName.equals(ROOT + "fleet.node");
    }

    @Test
    void eachPackageImportsOnlyFromLayersBelowItsOwn() {
        List<String> violations = new ArrayList<>();
        imports.forEach(
                (name, importedPackages) ->
                        importedPackages.stream()
                                .filter(i -> i.startsWith(ROOT))
                                .filter(i -> !(isFleetPart(name) && isFleetPart(i)))
                                .filter(i -> layerOf(i) >= layerOf(name))
                                .forEach(i -> violations.add(name + " imports " + i)));
        assertEquals(List.of(), violations);
    }

    @Test
    void packageImportsHaveNoCycle() {
        Map<String, Set<String>> remaining = new TreeMap<>(imports);
        assertTrue(remaining.containsKey("reeldeal.core"));
        while (!remaining.isEmpty()) {
            List<String> withoutRemainingImports =
                    remaining.keySet().stream()
                            .filter(
                                    p ->
                                            remaining.get(p).stream()
                                                    .noneMatch(remaining::containsKey))
                            .toList();
            assertFalse(
                    withoutRemainingImports.isEmpty(), "import cycle among packages " + remaining);
            withoutRemainingImports.forEach(remaining::remove);
        }
    }

    @Test
    void theCoreImportsNothingOfTheNetwork() {
        assertEquals(Set.of("reeldeal.decision"), imports.get("reeldeal.core"));
        assertEquals(Set.of(), imports.get("reeldeal.decision"));
    }

    @Test
    void noPackageUsesNettysOwnCodecs() {
        for (Set<String> importedPackages : imports.values()) {
            assertTrue(
                    importedPackages.stream().noneMatch(i -> i.startsWith("io.netty.handler")),
                    importedPackages.toString());
        }
    }

    @Test
    void thePureFleetPackagesImportOnlyOneAnother() {
        imports.forEach(
                (name, importedPackages) -> {
                    if (isFleetPart(name)) {
                        assertTrue(
                                importedPackages.stream().allMatch(PackageLayersTest::isFleetPart),
                                name + importedPackages);
                    }
                });
    }
}
