package gullspar.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The module is read aloud after an outage, so it stays short; comments count too. */
class ModuleSizeTest {
    private static final int MOST_LINES = 700;
    private static final int MOST_COLUMNS = 110;

    private static List<String> lines() throws IOException {
        return Files.readAllLines(Path.of("src/main/java/gullspar/decide/Policy.java"));
    }

    @Test
    void theModuleStaysWithinItsLines() throws IOException {
        long count = lines().stream().filter(l -> !l.isBlank()).count();
        assertTrue(count > 0 && count <= MOST_LINES, "Policy.java has " + count + " lines");
    }

    @Test
    void noLineOfTheModuleIsTooLong() throws IOException {
        assertEquals(List.of(), lines().stream().filter(l -> l.length() > MOST_COLUMNS).toList());
    }

    @Test
    void theHeadOfTheModuleNamesItsInterface() throws IOException {
        List<String> lines = lines();
        int type = lines.indexOf("public final class Policy implements Balancer {");
        assertTrue(lines.subList(0, type).stream().anyMatch(l -> l.contains("Balancer.java")));
    }
}
