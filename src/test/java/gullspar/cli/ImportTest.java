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
            "server {\n  listen 80;\n  location / { proxy_pass http://10.0.0.1;\n" + "    deny all; }\n}\n";

    @TempDir
    private Path folder;

    private record RunResult(int code, String out, String err) {}

    private RunResult run(String conf, String... more) throws IOException {
        Path file = Files.writeString(folder.resolve("nginx.conf"), conf);
        List<String> args = new ArrayList<>(List.of("import", "nginx", file.toString()));
        args.addAll(List.of(more));
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream o = new ByteArrayOutputStream();
        ByteArrayOutputStream e = new ByteArrayOutputStream();
        try {
            System.setOut(new PrintStream(o, true, StandardCharsets.UTF_8));
            System.setErr(new PrintStream(e, true, StandardCharsets.UTF_8));
            int code = RootCommand.run(args.toArray(new String[0]));
            return new RunResult(code, o.toString(StandardCharsets.UTF_8), e.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @Test
    void writesCompleteTranslation() throws IOException {
        RunResult r = run(TRANSLATABLE);
        assertEquals(0, r.code());
        assertTrue(r.out().contains("[[host.route]]"), r.out());
        Path out = folder.resolve("out.toml");
        assertEquals(0, run(TRANSLATABLE, "-o", out.toString()).code());
        assertEquals(r.out(), Files.readString(out));
    }

    @Test
    void untranslatableDirectiveIsReportedAndNothingWritten() throws IOException {
        Path out = folder.resolve("out.toml");
        RunResult r = run(UNTRANSLATABLE, "-o", out.toString());
        assertEquals(3, r.code());
        assertTrue(r.err().contains("nginx.conf:4:5: not translatable: deny: "), r.err());
        assertFalse(Files.exists(out));
        assertEquals(0, run(UNTRANSLATABLE, "--partial", "-o", out.toString()).code());
        assertTrue(Files.exists(out));
    }

    @Test
    void reportsAllErrorsWithPositionAndCaret() throws IOException {
        RunResult r = run("a b\nc }\nserver { \"x\n");
        assertEquals(2, r.code());
        assertTrue(r.err().contains("nginx.conf:1:1: directive \"a\" is not terminated"), r.err());
        assertTrue(r.err().contains("\na b\n^"), r.err());
        assertTrue(r.err().lines().filter(l -> l.contains("nginx.conf:")).count() >= 3, r.err());
        assertEquals("", r.out());
    }

    @Test
    void writesReportAsJson() throws IOException {
        Path out = folder.resolve("out.toml");
        RunResult r = run(UNTRANSLATABLE, "--report", "json", "-o", out.toString());
        JsonNode report = new ObjectMapper().readTree(r.out());
        assertEquals(5, report.size());
        assertEquals("deny", report.get(4).path("directive").asText());
        assertEquals("not translatable", report.get(4).path("verdict").asText());
        assertEquals(4, report.get(4).path("line").asInt());
        assertEquals("translated", report.get(0).path("verdict").asText());
    }

    @Test
    void unwritableOutputIsAnError() throws IOException {
        RunResult r = run(TRANSLATABLE, "-o", folder.resolve("none/out.toml").toString());
        assertEquals(1, r.code());
        assertTrue(r.err().contains("cannot be written"), r.err());
    }

    @Test
    void missingFileIsAnError() {
        assertEquals(2, RootCommand.run(new String[] {
            "import", "nginx", folder.resolve("no.conf").toString()
        }));
    }
}
