package gullspar.scale;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.ResourceLock;

/**
 * Runs the small scale run. Guards against wrong message counts, proxies that miss a change, unclear errors, and
 * child processes left behind when a run ends early.
 */
@Timeout(180)
@ResourceLock("much of the machine")
class ScaleTest {
    @TempDir
    Path folder;

    /** Output and exit code of a run. */
    private record RunResult(int code, List<String> output) {
        private List<Long> pids() {
            return output.stream()
                    .filter(l -> l.startsWith("started "))
                    .map(ScaleTest::pid)
                    .toList();
        }

        private void assertNoProcessesLeft() {
            // A killed process takes a moment to disappear: waits for it, but not long.
            pids().forEach(p -> ProcessHandle.of(p)
                    .ifPresent(h -> assertDoesNotThrow(
                            () -> h.onExit().get(5, TimeUnit.SECONDS), () -> "pid " + p + " is still there")));
        }

        /** Returns the error line; there must be exactly one. */
        private String errorLine() {
            List<String> lines =
                    output.stream().filter(l -> l.startsWith("scale: ")).toList();
            assertEquals(1, lines.size(), () -> String.join("\n", output));
            return lines.get(0);
        }
    }

    private static long pid(String started) {
        return Long.parseLong(started.replaceAll(".* pid ", ""));
    }

    private RunResult run(Consumer<String> onLine, String... args) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx256m",
                "-cp",
                System.getProperty("java.class.path"),
                "gullspar.scale.ScaleRun"));
        command.addAll(List.of(args));
        Process p = new ProcessBuilder(command).redirectErrorStream(true).start();
        List<String> output = new ArrayList<>();
        try (BufferedReader r = p.inputReader()) {
            for (String line = r.readLine(); line != null; line = r.readLine()) {
                output.add(line);
                onLine.accept(line);
            }
        } finally {
            p.destroy();
        }
        assertTrue(p.waitFor(20, TimeUnit.SECONDS));
        return new RunResult(p.exitValue(), output);
    }

    private RunResult run(String... args) throws IOException, InterruptedException {
        return run(line -> {}, args);
    }

    @Test
    void everyProxyLearnsEachChangeAndMessageCountsMatch() throws Exception {
        Path out = folder.resolve("small.json");
        RunResult result = run("small", "--out", out.toString());
        assertEquals(0, result.code, () -> String.join("\n", result.output));
        assertTrue(result.pids().size() >= 5, result.pids().toString());
        result.assertNoProcessesLeft();
        JsonNode root = new ObjectMapper().readTree(Files.readString(out));
        Set<String> ids = new TreeSet<>();
        root.path("series").forEach(s -> ids.add(s.path("id").asText()));
        assertTrue(
                ids.containsAll(List.of(
                        "proxy.control.cpu.rest.backends",
                        "known.change.all.backends",
                        "proxy.control.heap.backends",
                        "proxy.added.p99.backends",
                        "fault.tenth.back.known",
                        "fault.zone.back.known",
                        "fault.discovery.back.reconnects")),
                ids.toString());
        assertTrue(root.path("hollow_and_real").size() > 3);
        for (JsonNode s : root.path("series")) {
            assertTrue(
                    Set.of("proxies", "backends", "services", "routes", "tenants", "changes")
                            .contains(s.path("axis").asText()),
                    s.toString());
        }
    }

    @Test
    void aChildThatDiesEndsTheRunWithItsName() throws Exception {
        RunResult result = run(
                line -> {
                    if (line.startsWith("started hollow process 0")) {
                        ProcessHandle.of(pid(line)).orElseThrow().destroyForcibly();
                    }
                },
                "small",
                "--out",
                folder.resolve("none.json").toString());
        assertEquals(ScaleException.CHILD, result.code, () -> String.join("\n", result.output));
        assertTrue(result.errorLine().contains("hollow process 0, pid"), result.errorLine());
        assertTrue(result.errorLine().contains("has died, exit code 137"), result.errorLine());
        result.assertNoProcessesLeft();
    }

    @Test
    void badArgumentsAreReported() throws Exception {
        for (String[] bad : new String[][] {{"huge"}, {"--port"}, {"--port", "x"}, {"--port", "70000"}}) {
            RunResult result = run(bad);
            assertEquals(ScaleException.USAGE, result.code, String.join(" ", bad));
            assertTrue(result.errorLine().contains("usage: bench/scale/run.sh"), result.errorLine());
            assertTrue(result.pids().isEmpty());
        }
    }

    @Test
    void tooLittleMemoryIsReportedBeforeAnythingStarts() throws Exception {
        RunResult result = run("small", "--memory-mb", "300");
        assertEquals(ScaleException.MEMORY, result.code);
        assertTrue(result.errorLine().contains("too little memory: 300 MB"), result.errorLine());
        assertTrue(result.pids().isEmpty());
    }

    @Test
    void aPortInUseIsReported() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            RunResult result = run("small", "--port", Integer.toString(taken.getLocalPort()));
            assertEquals(ScaleException.PORT, result.code, () -> String.join("\n", result.output));
            assertTrue(result.errorLine().contains("port " + taken.getLocalPort() + " is taken"), result.errorLine());
            result.assertNoProcessesLeft();
        }
    }
}
