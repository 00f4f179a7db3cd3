package gullspar.rehearse.script;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.rehearse.TestScripts;
import gullspar.toml.ProblemsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Scripts are read strictly, and all problems are reported together. */
class ScriptReaderTest {
    private static String errors(String text) {
        return assertThrows(ProblemsException.class, () -> ScriptReader.parse(text, "day.toml"))
                .getMessage();
    }

    static Stream<Path> examples() throws IOException {
        return Files.list(Path.of("examples/rehearsals"))
                .filter(p -> p.toString().endsWith(".toml"))
                .sorted();
    }

    @ParameterizedTest
    @MethodSource("examples")
    void readsEveryShippedExample(Path example) throws Exception {
        assertTrue(ScriptReader.read(example).nodeCount() > 0);
    }

    @ParameterizedTest
    @EnumSource(FaultKind.class)
    void readsEveryFaultKindWithDefaultParameters(FaultKind kind) {
        String targets =
                switch (kind.target()) {
                    case CLASS -> "class = \"look\"\n";
                    case LINK -> "from = \"p1\"\nto = \"nodes\"\n";
                    case DATAGRAMS -> "from = \"p1\"\nto = \"proxies\"\n";
                    default -> "";
                };
        Fault fault = TestScripts.small(
                        5,
                        (kind.needsPeers() ? "[peers]\n" : "")
                                + TestScripts.fault(
                                        kind.scriptName(), 1, targets + (kind.isMomentary() ? "" : "for = 2\n")))
                .faults()
                .get(0);
        assertEquals(kind, fault.kind());
        kind.parameters().forEach(g -> assertEquals(g.defaultValue(), fault.parameter(g.name())));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '~',
            quoteCharacter = '`',
            textBlock =
                    """
        kind = "partition"|for = 1                      | and there is no [peers]
        kind = "crush"                                  | kind is 'crush', not one of neighbour, rush
        kind = "crash"|nodes = 1.5                      | nodes must be a whole number, not 1.5
        kind = "crash"|nodes = ["n99"]                  | nodes names 'n99', and there is only n1 to n8
        kind = "crash"|nodes = []                       | nodes is empty; it must name at least one
        kind = "twin"|for = 1                           | and there is no [peers]
        kind = "crash"|nodes = ["n1", "n1"]             | nodes holds 'n1' twice
        kind = "crash"|nodes = 9                        | nodes is 9, not 1 to 8
        kind = "crash"|for = 2                          | fault: unknown key 'for'
        kind = "hang"                                   | fault: for is missing
        kind = "hang"|for = 2|at = 5                    | at is 5, but the day ends at 5
        kind = "hang"|for = 4.5                         | for runs to 5.5, but the day ends at 5
        kind = "hang"|for = -1                          | for is -1, not 0.001 to 86400
        kind = "pause"|for = 1|proxies = "p3"           | proxies names 'p3', and there is only p1, p2
        kind = "heavy"|for = 1|class = "buy"            | class names 'buy', and there is only look, order
        kind = "cut-link"|for = 1|from = "x"|to = "p1"  | from is 'x', not a node, a proxy, nodes
        kind = "spoil"|for = 1|share = 7                | share is 7, not 0.001 to 1
        kind = "spoil"|for = 1|share = "much"           | share must be a number, not a string
        """)
    void rejectsInvalidFaults(String row) {
        // A row holds the lines of a fault and the expected message, separated by |.
        int cut = row.lastIndexOf('|');
        String lines = (row.contains("at = ") ? "" : "at = 1\n")
                + row.substring(0, cut).replace('|', '\n');
        String errors = errors(TestScripts.smallText(5, "[[fault]]\n" + lines + "\n"));
        assertTrue(errors.contains(row.substring(cut + 1).trim()), errors);
    }

    @Test
    void reportsAllProblemsWithTheirPositions() {
        assertEquals(
                List.of(
                        "day.toml:1:1: seconds must be a number, not a string",
                        "day.toml:1:1: there are no [[nodes]]",
                        "day.toml:2:1: unknown key 'secnods'",
                        "day.toml:4:1: count is 0, not 1 to 100",
                        "day.toml:6:1: class: effect is missing",
                        "day.toml:6:1: class: share is missing",
                        "day.toml:7:3: name must be 1 to 40 of a to z, 0 to 9 and -",
                        "day.toml:8:1: give_up_ms is below promise_ms"),
                errors("seconds = \"5\"\nsecnods = 5\n[proxies]\ncount = 0\n\n[[class]]\n  name = \"A b\"\n"
                                + "give_up_ms = 1\npromise_ms = 2\nwork_ms = [1, 2]\n[clients]\nrate = 1\n")
                        .lines()
                        .toList());
    }

    @Test
    void reportsTomlErrorsWithTheirPositions() {
        String errors = errors("seconds = \n[clients\n");
        assertTrue(errors.startsWith("day.toml:1:11: "), errors);
    }

    @Test
    void rejectsDescendingRanges() {
        assertTrue(errors(TestScripts.smallText(5, "").replace("speed = [1.7, 2.3]", "speed = [2.3, 1.7]"))
                .endsWith("speed runs from the larger to the smaller"));
    }

    @Test
    void deduplicatedClassRequiresWindow() {
        assertTrue(errors(TestScripts.smallText(5, "").replace("window_ms = 1200\n", ""))
                .contains("needs window_ms"));
    }
}
