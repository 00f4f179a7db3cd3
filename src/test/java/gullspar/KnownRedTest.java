package gullspar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What CI may pass over: just the tests that KNOWN-RED.txt names, three at most, each of them there. */
class KnownRedTest {
    private static final String GOOD = "gullspar.SomeTest#fails, it waits, for ever, 40\n";

    @TempDir
    private Path root;

    @BeforeEach
    void oneTest() throws IOException {
        Path folder = Files.createDirectories(root.resolve("src/test/java/gullspar"));
        Files.writeString(
                folder.resolve("SomeTest.java"),
                "class SomeTest {\n    @Test\n    void fails() {\n"
                        + "        helper();\n    }\n\n    private void helper() {\n    }\n}\n");
    }

    @Test
    void nothingIsPassedOverWithoutAList() throws Exception {
        assertEquals("0 ", run() + " " + said());
        assertEquals("", Files.readString(root.resolve("passed-over")));
    }

    @Test
    void thoseNamedArePassedOverAndPrinted() throws Exception {
        Files.writeString(root.resolve("KNOWN-RED.txt"), "\n" + GOOD);
        assertEquals(
                "0 KNOWN RED, passed over: gullspar.SomeTest#fails, it waits, for ever, issue 40\n",
                run() + " " + said());
        assertEquals("gullspar/SomeTest.java#fails\n", Files.readString(root.resolve("passed-over")));
    }

    @Test
    void aFourthIsRefused() throws Exception {
        Files.writeString(root.resolve("KNOWN-RED.txt"), GOOD.repeat(4));
        assertEquals(1, run());
        assertTrue(said().contains("KNOWN-RED.txt:4: a fourth test; three may be red at most"), said());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "gullspar.SomeTest#gone, a cause, 40  | no test: 'gullspar.SomeTest#gone'",
                "gullspar.SomeTest#helper, a cause, 40| no test: 'gullspar.SomeTest#helper'",
                "gullspar.Gone#fails, a cause, 40     | no test: 'gullspar.Gone#fails'",
                "gullspar.SomeTest, a cause, 40       | no test: 'gullspar.SomeTest'; wants package.Class#method",
                "gullspar.SomeTest#fails, a cause     | wants test, cause, issue",
                "gullspar.SomeTest#fails, , 40        | no cause",
                "gullspar.SomeTest#fails, a cause, x  | no issue: 'x'",
            })
    void aLineThatNamesNoTestCauseOrIssueIsRefused(String line, String why) throws Exception {
        Files.writeString(root.resolve("KNOWN-RED.txt"), line + "\n");
        assertEquals(1, run());
        assertEquals("KNOWN-RED.txt:1: " + why + "\n", said());
    }

    private int run() throws IOException, InterruptedException {
        return new ProcessBuilder(".ci/known-red", root.resolve("passed-over").toString(), root.toString())
                .redirectErrorStream(true)
                .redirectOutput(root.resolve("said").toFile())
                .start()
                .waitFor();
    }

    private String said() throws IOException {
        return Files.readString(root.resolve("said"));
    }
}
