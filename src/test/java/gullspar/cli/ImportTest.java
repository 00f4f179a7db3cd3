package gullspar.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

/** The import command: its output files and streams, and its exit codes. */
@Isolated("captures standard output and standard error")
class ImportTest {
    private static final String TRANSLATABLE = "server { listen 80; location / { proxy_pass http://10.0.0.1; } }\n";
    private static final String UNTRANSLATABLE =
            "server {\n  listen 80;\n  location / { proxy_pass http://10.0.0.1;\n    deny all; }\n}\n";

    @TempDir
    private Path folder;

    private record RunResult(int exitCode, String out, String err) {}

    private RunResult run(String nginxConfig, String... extraArgs) throws IOException {
        Path file = Files.writeString(folder.resolve("nginx.conf"), nginxConfig);
        List<String> args = new ArrayList<>(List.of("import", "nginx", file.toString()));
        args.addAll(List.of(extraArgs));
        PrintStream realOut = System.out;
        PrintStream realErr = System.err;
        ByteArrayOutputStream capturedOut = new ByteArrayOutputStream();
        ByteArrayOutputStream capturedErr = new ByteArrayOutputStream();
        try {
            System.setOut(new PrintStream(capturedOut, true, StandardCharsets.UTF_8));
            System.setErr(new PrintStream(capturedErr, true, StandardCharsets.UTF_8));
            int exitCode = RootCommand.run(args.toArray(new String[0]));
            return new RunResult(
                    exitCode,
                    capturedOut.toString(StandardCharsets.UTF_8),
                    capturedErr.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(realOut);
            System.setErr(realErr);
        }
    }

    @Test
    void writesCompleteTranslation() throws IOException {
        RunResult result = run(TRANSLATABLE);
        assertEquals(0, result.exitCode());
        assertTrue(result.out().contains("[[host.route]]"), result.out());
        Path out = folder.resolve("out.toml");
        assertEquals(0, run(TRANSLATABLE, "-o", out.toString()).exitCode());
        assertEquals(result.out(), Files.readString(out));
    }

    @Test
    void untranslatableDirectiveIsReportedAndNothingWritten() throws IOException {
        Path out = folder.resolve("out.toml");
        RunResult result = run(UNTRANSLATABLE, "-o", out.toString());
        assertEquals(3, result.exitCode());
        assertTrue(result.err().contains("nginx.conf:4:5: not translatable: deny: "), result.err());
        assertFalse(Files.exists(out));
        assertEquals(0, run(UNTRANSLATABLE, "--partial", "-o", out.toString()).exitCode());
        assertTrue(Files.exists(out));
    }

    @Test
    void reportsAllErrorsWithPositionAndCaret() throws IOException {
        RunResult result = run("a b\nc }\nserver { \"x\n");
        assertEquals(2, result.exitCode());
        assertTrue(result.err().contains("nginx.conf:1:1: directive \"a\" is not terminated"), result.err());
        assertTrue(result.err().contains("\na b\n^"), result.err());
        assertTrue(result.err().lines().filter(l -> l.contains("nginx.conf:")).count() >= 3, result.err());
        assertEquals("", result.out());
    }

    @Test
    void writesReportAsJson() throws IOException {
        Path out = folder.resolve("out.toml");
        RunResult result = run(UNTRANSLATABLE, "--report", "json", "-o", out.toString());
        JsonNode report = new ObjectMapper().readTree(result.out());
        assertEquals(5, report.size());
        assertEquals("deny", report.get(4).path("directive").asText());
        assertEquals("not translatable", report.get(4).path("verdict").asText());
        assertEquals(4, report.get(4).path("line").asInt());
        assertEquals("translated", report.get(0).path("verdict").asText());
    }

    @Test
    void unwritableOutputIsAnError() throws IOException {
        RunResult result =
                run(TRANSLATABLE, "-o", folder.resolve("none/out.toml").toString());
        assertEquals(1, result.exitCode());
        assertTrue(result.err().contains("cannot be written"), result.err());
    }

    @Test
    void missingFileIsAnError() {
        assertEquals(2, RootCommand.run(new String[] {
            "import", "nginx", folder.resolve("no.conf").toString()
        }));
    }
}
