package gullspar.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;

/** The check and route commands: their output and exit codes. */
@Isolated("captures standard output")
class ConfigCommandsTest {
    private static final String FILE = "deploy/routes.example.toml";

    /** Runs a command, checks its exit code and returns its standard output. */
    private static String runAndCaptureOutput(int expectedExitCode, String... args) {
        PrintStream realOut = System.out;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            System.setOut(new PrintStream(bytes, true, StandardCharsets.UTF_8));
            assertEquals(expectedExitCode, RootCommand.run(args));
        } finally {
            System.setOut(realOut);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @Test
    void explainsRouteAndTarget() {
        assertEquals(
                """
                host shop.example.org: its name is shop.example.org
                place prefix /api/
                route beta
                pool beta, class safe, within 60000 ms, at most 3 attempts
                sends GET /v2/stock?x=1
                  server 127.0.0.1:9101 weight 1.0
                """,
                runAndCaptureOutput(
                        0, "route", FILE, "get", "http://SHOP.example.org:8080/api/stock?x=1", "-H", "x-beta: on"));
        assertTrue(runAndCaptureOutput(0, "route", FILE, "GET", "http://shop.example.org/api/stock")
                .contains("sends GET /v1/stock\n  X-Client: \n  without X-Debug\n"));
        assertTrue(runAndCaptureOutput(1, "route", FILE, "DELETE", "http://shop.example.org/api/orders")
                .endsWith("not route orders: its method is not POST\nanswer 405\n"));
        assertTrue(runAndCaptureOutput(0, "route", FILE, "GET", "http://x/")
                .endsWith("answer 301, Location: https://shop.example.org/\n"));
    }

    @Test
    void checksFile() {
        assertEquals("", runAndCaptureOutput(0, "check", FILE));
        runAndCaptureOutput(2, "check", "pom.xml");
        runAndCaptureOutput(2, "check", "none.toml");
        runAndCaptureOutput(2, "route", FILE, "GET", "no url");
    }
}
