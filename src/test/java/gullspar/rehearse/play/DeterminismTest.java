package gullspar.rehearse.play;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer;
import gullspar.rehearse.TestScripts;
import gullspar.rehearse.record.LogDiff;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.script.ScriptReader;
import gullspar.rehearse.stage.EventLog;
import java.io.File;
import java.io.StringWriter;
import java.io.Writer;
import java.lang.ref.WeakReference;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A script and a seed give the same day in any JVM; another seed or another module gives a different one. */
@Timeout(300)
class DeterminismTest {
    /** Faults of most kinds, within 12 s. */
    static final String ALL_FAULTS = TestScripts.fault("neighbour", 0.5, "for = 6\nnodes = 2")
            + TestScripts.fault("crash", 1, "nodes = 1\ndown_s = 1")
            + TestScripts.fault("replace", 2, "nodes = 1")
            + TestScripts.fault("spoil", 3, "for = 3\nnodes = 3")
            + TestScripts.fault("lossy-link", 4, "for = 2\nfrom = \"nodes\"\nto = \"proxies\"\nshare = 0.02")
            + TestScripts.fault("rude-clients", 4, "for = 2\nproxies = 2")
            + TestScripts.fault("pause", 5, "for = 0.8\nproxies = 1")
            + TestScripts.fault("kill", 7, "proxies = 1")
            + TestScripts.fault("reload", 8, "proxies = 2")
            + TestScripts.fault("stop", 9, "proxies = 1")
            + TestScripts.fault("vanish", 9.5, "for = 1\nnodes = 1")
            + TestScripts.fault("slow-answers", 10, "for = 1\nnodes = 2")
            + TestScripts.fault("old-list", 7.5, "for = 2");

    @TempDir
    Path folder;

    /** The shipped scripts of the four required faults, each played twice. */
    @ParameterizedTest
    @ValueSource(strings = {"neighbour", "rush", "heavy", "shrink"})
    void shippedFaultScriptsKeepAllRulesAndAreDeterministic(String name) throws Exception {
        Script script = ScriptReader.read(Path.of("examples/rehearsals", name + ".toml"));
        DayResult result = VirtualPlay.play(script, VirtualPlay.Options.defaults());
        assertEquals(List.of(), result.verdict().violations());
        assertTrue(result.decisionCount() > 10_000, "only " + result.decisionCount() + " decisions");
        assertEquals(
                result.decisionHash(),
                VirtualPlay.play(script, VirtualPlay.Options.defaults()).decisionHash());
    }

    private static String playInNewProcess(Path script, String... options) throws Exception {
        return playInNewProcess(script, List.of(options), null);
    }

    private static String playInNewProcess(Path script, List<String> options, Path log) throws Exception {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options.contains("-cp") ? List.of() : List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(options);
        command.addAll(List.of("gullspar.Main", "rehearse", script.toString()));
        if (log != null) {
            command.addAll(List.of("--log", log.toString()));
        }
        Process p = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        String out = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, p.waitFor(), out);
        return out.trim();
    }

    /** A search plays thousands of days in one process: none may be held in memory by objects that outlive it. */
    @Test
    void playedDayCanBeGarbageCollected() {
        WeakReference<EventLog> day =
                new WeakReference<>(VirtualPlay.play(TestScripts.small(1, "[peers]\n"), VirtualPlay.Options.defaults())
                        .eventLog());
        for (int i = 0; i < 100 && day.get() != null; i++) {
            System.gc();
        }
        assertNull(day.get());
    }

    /** The result must not depend on wall time, heap size, compiler, locale or time zone. */
    @Test
    void resultDoesNotDependOnHeapCompilerLocaleOrTimeZone() throws Exception {
        Path script = folder.resolve("day.toml");
        Files.writeString(script, TestScripts.smallText(12, ALL_FAULTS));
        String out = playInNewProcess(script, "-Xmx48m", "-XX:+UseSerialGC");
        assertTrue(out.matches("decisions \\d+ sha256 [0-9a-f]{64}"), out);
        assertEquals(
                out,
                playInNewProcess(
                        script,
                        "-Xmx1g",
                        "-XX:+UseParallelGC",
                        "-Duser.language=tr",
                        "-Duser.country=TR",
                        "-Duser.timezone=Asia/Kathmandu"));
        assertEquals(out, playInNewProcess(script, "-Xint"));
        DayResult result = VirtualPlay.play(ScriptReader.read(script), VirtualPlay.Options.defaults());
        assertEquals(out, "decisions " + result.decisionCount() + " sha256 " + result.decisionHash());
        assertEquals(List.of(), result.verdict().violations());
    }

    @Test
    void anotherSeedChangesDecisions() {
        Script script = TestScripts.small(3, "");
        assertNotEquals(
                VirtualPlay.play(script, VirtualPlay.Options.defaults()).decisionHash(),
                VirtualPlay.play(script.withSeed(2), VirtualPlay.Options.defaults())
                        .decisionHash());
    }

    /** The module is compiled with one constant changed and put first on the class path of another process. */
    @Test
    void changedPolicyConstantChangesDecisions() throws Exception {
        Path source = Files.createDirectories(folder.resolve("src")).resolve("Rotation.java");
        String policy = Files.readString(Path.of("src/main/java/gullspar/decide/Rotation.java"));
        assertTrue(policy.contains("MAX_WORK_SHARE = 0.25;"));
        Files.writeString(source, policy.replace("MAX_WORK_SHARE = 0.25;", "MAX_WORK_SHARE = 0.24;"));
        Path classes = Files.createDirectories(folder.resolve("classes"));
        assertEquals(
                0,
                ToolProvider.getSystemJavaCompiler()
                        .run(
                                null,
                                null,
                                null,
                                "-nowarn",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "-d",
                                classes.toString(),
                                source.toString()));
        Path script = folder.resolve("day.toml");
        Files.writeString(
                script,
                TestScripts.smallText(6, TestScripts.fault("heavy", 1, "for = 4\nclass = \"look\"\nshare = 0.2")));
        Path a = folder.resolve("as-it-is.log");
        Path b = folder.resolve("changed.log");
        String before = playInNewProcess(script, List.of(), a);
        String after = playInNewProcess(
                script, List.of("-cp", classes + File.pathSeparator + System.getProperty("java.class.path")), b);
        assertNotEquals(before, after);
        List<String> diff = LogDiff.compare(a, b);
        assertTrue(diff.contains("The first decision that differs:"), diff.toString());
        assertTrue(diff.stream().anyMatch(l -> l.startsWith("A: what p")), diff.toString());
    }

    private String playLogged(Path to, UnaryOperator<Balancer.Factory> module) throws Exception {
        try (Writer w = Files.newBufferedWriter(to)) {
            return VirtualPlay.play(
                            TestScripts.small(4, ""),
                            new VirtualPlay.Options(w, module, UnaryOperator.identity(), ProgressListener.NONE))
                    .decisionHash();
        }
    }

    /** From the 201st on, each attempt gets 1 ns more, as after a change of one constant in the module. */
    @Test
    void diffFindsFirstDifferentDecision() throws Exception {
        Path a = folder.resolve("a.log");
        Path b = folder.resolve("b.log");
        int[] sends = {0};
        String before = playLogged(a, UnaryOperator.identity());
        String after = playLogged(
                b,
                real -> (settings, seed, now, out) ->
                        real.create(settings, seed, now, PlantedFaults.intercept(out, "send", args -> {
                            boolean changed = ++sends[0] > 200;
                            if (changed) {
                                out.send((Integer) args[0], (Integer) args[1], (Long) args[2] + 1);
                            }
                            return changed;
                        })));
        assertNotEquals(before, after);
        List<String> diff = LogDiff.compare(a, b);
        int at = diff.indexOf("The first decision that differs:");
        assertTrue(at > 0, diff.toString());
        assertTrue(diff.get(at + 1).contains(" Send t="), diff.get(at + 1));
        List<String> lines = Files.readAllLines(a);
        int line = 0;
        for (int n = 0; n <= 200; line++) {
            n += lines.get(line).contains(" Send ") ? 1 : 0;
        }
        assertTrue(diff.get(at + 1).contains("line " + line + ":"), diff.get(at + 1) + ", expected line " + line);
        assertTrue(
                diff.stream().filter(l -> l.contains("inflight ")).count() > 8,
                "the diff lacks the state of each side");
        assertEquals(List.of(), LogDiff.compare(a, a));
    }

    /** The call of the restarted proxy is still queued when discovery goes down. */
    @Test
    void queuedDiscoveryCallFailsWhenDiscoveryGoesDown() throws Exception {
        Script script = TestScripts.small(
                5,
                "answer_ms = 1500\n"
                        + TestScripts.fault("kill", 0.5, "proxies = [\"p1\"]\ndown_s = 0.1")
                        + TestScripts.fault("discovery-down", 1, "for = 4"));
        StringWriter log = new StringWriter();
        VirtualPlay.play(script, VirtualPlay.Options.withDecisionLog(log, ProgressListener.NONE));
        long discoveryBackNs = 8_000_000_000L; // the day starts after 3 s of start-up; discovery is back 5 s later
        List<Long> listTimesNs = log.toString()
                .lines()
                .filter(l -> l.contains(" p1.2 list "))
                .map(l -> Long.parseLong(l.substring(0, l.indexOf(' '))))
                .toList();
        assertFalse(listTimesNs.isEmpty(), "the process got no list after the outage");
        assertTrue(listTimesNs.get(0) >= discoveryBackNs, "the first list at " + listTimesNs.get(0) + " ns");
    }
}
