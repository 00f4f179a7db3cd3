package gullspar.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.rehearse.TestScripts;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

/** The commands of the rehearsal kit: exit codes, standard output and standard error. */
@Timeout(120)
@Isolated("captures standard output and standard error")
class KitCommandsTest {
    @TempDir
    Path folder;

    private String out;
    private String err;

    /** Without this, Netty tries other logging libraries first and reports the missing ones on standard error. */
    @BeforeAll
    static void useJdkLogging() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    private int run(String... args) {
        PrintStream realOut = System.out;
        PrintStream realErr = System.err;
        ByteArrayOutputStream capturedOut = new ByteArrayOutputStream();
        ByteArrayOutputStream capturedErr = new ByteArrayOutputStream();
        try {
            System.setOut(new PrintStream(capturedOut, true, StandardCharsets.UTF_8));
            System.setErr(new PrintStream(capturedErr, true, StandardCharsets.UTF_8));
            return RootCommand.run(args);
        } finally {
            System.setOut(realOut);
            System.setErr(realErr);
            out = capturedOut.toString(StandardCharsets.UTF_8);
            err = capturedErr.toString(StandardCharsets.UTF_8);
        }
    }

    private String writeScript(String name, String extraTables) throws Exception {
        return Files.writeString(folder.resolve(name), TestScripts.smallText(3, extraTables))
                .toString();
    }

    @Test
    void passingDayPrintsOneLineWithoutTerminal() throws Exception {
        assertEquals(0, run("rehearse", writeScript("day.toml", "")));
        assertTrue(out.matches("decisions \\d+ sha256 [0-9a-f]{64}\\R"), out);
        assertEquals("", err);
    }

    @Test
    void brokenRuleIsReportedWithReplayCommand() throws Exception {
        String day = writeScript(
                "day.toml", TestScripts.fault("hang", 0.5, "for = 2\nnodes = 6") + "[expect]\nservice = 1\n");
        assertEquals(1, run("rehearse", day, "--seed", "5"));
        assertTrue(err.startsWith("BROKEN: the script expects it"), err);
        assertTrue(err.contains("play it again: ./gullspar rehearse " + day + " --seed 5"), err);
    }

    @Test
    void scriptWithErrorsIsNotPlayed() throws Exception {
        assertEquals(2, run("rehearse", writeScript("day.toml", "[rules]\ndrain_grace_s = 1\n")));
        assertTrue(err.matches("\\S+day\\.toml:\\d+:1: rules: unknown key 'drain_grace_s'\\R"), err);
        assertEquals("", out);
        assertEquals(2, run("rehearse", folder.resolve("none.toml").toString()));
        assertTrue(err.contains("there is no such file"), err);
        assertEquals(2, run("rehearse"));
        assertEquals(
                2,
                run(
                        "rehearse",
                        Files.write(folder.resolve("bytes"), new byte[] {(byte) 0xff})
                                .toString()));
        assertTrue(err.contains("is not UTF-8 text"), err);
        assertEquals(
                2,
                run(
                        "rehearse",
                        writeScript("day.toml", ""),
                        "--report",
                        folder.resolve("none/x").toString()));
        assertTrue(err.contains("cannot be written"), err);
        assertEquals(2, run("rehearse", "search", writeScript("day.toml", ""), "--seeds", "0"));
        assertEquals(2, run("rehearse", writeScript("day.toml", ""), "--live", "--log", "x"));
    }

    @Test
    void writesLogReportAndJson() throws Exception {
        String day = writeScript("day.toml", "");
        String log = folder.resolve("a.log").toString();
        String page = folder.resolve("a.html").toString();
        assertEquals(0, run("rehearse", day, "--log", log, "--report", page, "--json"));
        assertTrue(out.startsWith("{\"title\":"), out);
        assertTrue(Files.readString(Path.of(page)).startsWith("<!doctype html>"));
        assertEquals(0, run("rehearse", "diff", log, log));
        assertEquals("", out);
        String other = folder.resolve("b.log").toString();
        assertEquals(0, run("rehearse", day, "--seed", "2", "--log", other));
        assertEquals(1, run("rehearse", "diff", log, other));
        assertTrue(out.contains("The first decision that differs:"), out);
        assertEquals(2, run("rehearse", "diff", log, day));
        assertTrue(err.contains("day.toml:1:1: not a line of a decision log"), err);
        assertEquals(2, run("rehearse", "diff", log, folder.resolve("none").toString()));
    }

    @Test
    void listsFaultsAndReportsSearchFindings() throws Exception {
        assertEquals(0, run("rehearse", "faults"));
        assertTrue(out.lines().anyMatch(l -> l.startsWith("cut-link  (link, for)")), out);
        String found = folder.resolve("found").toString();
        assertEquals(0, run("rehearse", "search", writeScript("day.toml", ""), "--seeds", "2", "--out", found));
        assertEquals("0 found in 2 days\n", out);
        assertEquals(
                1,
                run(
                        "rehearse",
                        "search",
                        writeScript("day.toml", "[search]\nkinds = [\"hang\"]\nbelow = 1\n"),
                        "--seeds",
                        "2",
                        "--out",
                        found));
        assertTrue(out.contains("found-service-"), out);
    }

    /** Runs the try command as a process and sends it SIGTERM, which runs the same shutdown hook as Ctrl-C. */
    @Test
    void tryStopsAllProcessesOnExit() throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "gullspar.Main",
                        "try")
                .redirectErrorStream(true)
                .start();
        try (var output = process.inputReader()) {
            List<String> lines = new ArrayList<>();
            for (String l = output.readLine(); l != null && !l.startsWith("Ctrl-C"); l = output.readLine()) {
                lines.add(l);
            }
            String curl =
                    lines.stream().filter(l -> l.contains("curl ")).findFirst().orElseThrow();
            String url = curl.substring(curl.indexOf("http://"));
            var connection = (HttpURLConnection) new URL(url).openConnection();
            connection.setRequestProperty("Request-Id", "by-hand");
            connection.setRequestProperty("Request-Timeout", "10");
            assertEquals(200, connection.getResponseCode());
            List<ProcessHandle> daemons = process.children().toList();
            assertFalse(daemons.isEmpty());
            process.destroy();
            assertTrue(process.waitFor(30, TimeUnit.SECONDS));
            for (ProcessHandle daemon : daemons) {
                daemon.onExit().get(30, TimeUnit.SECONDS);
            }
        } finally {
            process.destroyForcibly();
        }
    }
}
