package gullspar.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.tomlj.Toml;
import org.tomlj.TomlArray;

/** Limits the module's lines, comments included: it is read in full in reviews after an outage. */
class ModuleSizeTest {
    private static final int MAX_LINES = 1300;
    private static final int MAX_LINES_PER_FILE = 400;
    private static final Path DEPLOYMENT = Path.of("deploy/balancer.toml");
    private static final int MAX_COLUMNS = 120;

    /** The files that deploy/balancer.toml lists as the module. */
    private static List<Path> files() throws IOException {
        TomlArray named = Toml.parse(DEPLOYMENT).getArray("policy");
        return named.toList().stream().map(f -> Path.of(f.toString())).toList();
    }

    private static long count(Path file) throws IOException {
        return Files.readAllLines(file).stream().filter(l -> !l.isBlank()).count();
    }

    @Test
    void theModuleStaysWithinItsLineLimit() throws IOException {
        long all = 0;
        for (Path file : files()) {
            long count = count(file);
            assertTrue(count > 0 && count <= MAX_LINES_PER_FILE, file + " has " + count + " lines");
            all += count;
        }
        assertTrue(all <= MAX_LINES, "the module has " + all + " lines");
    }

    /** Every class that decides belongs to the module; the interface and classes that only hold state do not. */
    @Test
    void theDeploymentListsEachFileThatDecides() throws IOException {
        Set<String> others = Set.of(
                "Balancer.java",
                "IntMap.java",
                "KindServiceTimes.java",
                "Server.java",
                "TrackedRequest.java",
                "TrafficRates.java",
                "ZoneStats.java");
        try (Stream<Path> all = Files.list(Path.of("src/main/java/gullspar/decide"))) {
            assertEquals(
                    all.filter(f -> !others.contains(f.getFileName().toString()))
                            .sorted()
                            .toList(),
                    files().stream().sorted().toList());
        }
    }

    @Test
    void noLineOfTheModuleIsTooLong() throws IOException {
        for (Path file : files()) {
            assertEquals(
                    List.of(),
                    Files.readAllLines(file).stream()
                            .filter(l -> l.length() > MAX_COLUMNS)
                            .toList());
        }
    }

    @Test
    void theHeadOfTheModuleNamesItsInterface() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/gullspar/decide/Policy.java"));
        int type = lines.indexOf("public final class Policy implements Balancer {");
        assertTrue(lines.subList(0, type).stream().anyMatch(l -> l.contains("Balancer.java")));
    }
}
