package gullspar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;

/** Exit codes of the command line. */
@Isolated("output of other tests would be captured")
class MainTest {
    private static int drill(byte... input) {
        InputStream in = System.in;
        try {
            System.setIn(new ByteArrayInputStream(input));
            return Main.run(new String[] {"drill"});
        } finally {
            System.setIn(in);
        }
    }

    @Test
    void invalidCommandLineExitsWithUsage() {
        assertEquals(2, Main.run(new String[] {}));
        assertEquals(2, Main.run(new String[] {"serve", "more"}));
        assertEquals(2, Main.run(new String[] {"drill", "more"}));
    }

    private static String runAndCaptureOutput(int code, String... args) {
        PrintStream out = System.out;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            System.setOut(new PrintStream(bytes, true, StandardCharsets.UTF_8));
            assertEquals(code, Main.run(args));
        } finally {
            System.setOut(out);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @Test
    void helpVersionAndCompletionArePrinted() {
        assertTrue(runAndCaptureOutput(0, "--help").contains("serve"));
        assertTrue(runAndCaptureOutput(0, "serve", "--help").contains("NODE_CONFIG"));
        assertTrue(runAndCaptureOutput(0, "--version").startsWith("gullspar "));
        assertTrue(runAndCaptureOutput(0, "completion").contains("complete -F"));
    }

    /** Loading the command line library would slow down every startup in service. */
    @Test
    void platformCommandsDoNotLoadCommandLineLibrary() throws Exception {
        for (String command : new String[] {"serve", "drill", "warm"}) {
            Process p = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-Xlog:class+load",
                            "-cp",
                            System.getProperty("java.class.path"),
                            "gullspar.Main",
                            command)
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            p.getOutputStream().close();
            String loaded = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(loaded.contains("gullspar.cli.PlatformCommands "), command);
            assertFalse(loaded.contains("picocli"), command);
            assertFalse(loaded.contains("gullspar.versions"), command);
            assertFalse(loaded.contains("gullspar.site"), command);
        }
    }

    @Test
    void serveWithoutConfigurationFails() {
        assertEquals(1, Main.run(new String[] {"serve"}));
    }

    @Test
    void endOfInputBetweenFramesSucceeds() {
        assertEquals(0, drill());
    }

    @Test
    void truncatedFrameFails() {
        assertEquals(1, drill((byte) 1, (byte) 2));
    }
}
