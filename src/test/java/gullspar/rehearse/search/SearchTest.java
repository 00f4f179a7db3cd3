package gullspar.rehearse.search;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer;
import gullspar.rehearse.TestScripts;
import gullspar.rehearse.judge.Rule;
import gullspar.rehearse.play.ProgressListener;
import gullspar.rehearse.play.VirtualPlay;
import gullspar.rehearse.script.Fault;
import gullspar.rehearse.script.FaultKind;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.script.ScriptReader;
import gullspar.rehearse.script.ScriptWriter;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a search finds and reduces a planted defect, and that it resumes after an interruption. */
@Timeout(300)
class SearchTest {
    private static final Script SEARCH_SCRIPT = TestScripts.small(
            8,
            "[search]\nkinds = [\"spoil\", \"neighbour\", \"late-list\", \"restart\", " + "\"slow-link\"]\nmost = 4\n");

    /** Plants a defect: the module refuses requests that may have been executed instead of failing them. */
    private static final VirtualPlay.Options REFUSING_INSTEAD_OF_FAILING = new VirtualPlay.Options(
            null,
            real -> (settings, seed, now, out) ->
                    real.create(settings, seed, now, (Balancer.Actions) Proxy.newProxyInstance(
                            SearchTest.class.getClassLoader(),
                            new Class<?>[] {Balancer.Actions.class},
                            (self, m, args) -> {
                                if (m.getName().equals("fail")) {
                                    out.refuse((Integer) args[0], 0);
                                    return null;
                                }
                                return m.invoke(out, args);
                            })),
            UnaryOperator.identity(),
            ProgressListener.NONE);

    @TempDir
    Path folder;

    /** Records the findings; stops the search after the given number of days. */
    private static final class RecordingListener implements Search.Listener {
        private final List<Path> scripts = new ArrayList<>();
        private final List<Finding> findings = new ArrayList<>();
        private final AtomicInteger playedDays = new AtomicInteger();
        private int stopAfterDays = Integer.MAX_VALUE;
        private Search search;

        @Override
        public void onProgress(int done, int found, int total) {
            if (playedDays.incrementAndGet() >= stopAfterDays) {
                search.stop();
            }
        }

        @Override
        public void onFinding(Finding finding, Path script) {
            findings.add(finding);
            scripts.add(script);
        }
    }

    private RecordingListener run(int days, int jobs, VirtualPlay.Options options, int stopAfterDays) throws Exception {
        RecordingListener listener = new RecordingListener();
        listener.stopAfterDays = stopAfterDays;
        listener.search = new Search(SEARCH_SCRIPT, days, folder, options, listener);
        listener.search.run(jobs);
        return listener;
    }

    @Test
    void findsAPlantedDefectAndReducesItToTheNecessaryFaults() throws Exception {
        RecordingListener listener = run(12, 4, REFUSING_INSTEAD_OF_FAILING, Integer.MAX_VALUE);
        assertTrue(listener.findings.size() >= 2, "found " + listener.findings.size());
        int spoilFindings = 0;
        for (int i = 0; i < listener.scripts.size(); i++) {
            Script reducedDay = ScriptReader.read(listener.scripts.get(i));
            assertEquals(listener.findings.get(i).script(), reducedDay);
            assertEquals(
                    Rule.NOTHING_TWICE,
                    Finding.fromVerdict(
                                    reducedDay,
                                    VirtualPlay.play(reducedDay, REFUSING_INSTEAD_OF_FAILING)
                                            .verdict())
                            .rule());
            spoilFindings += reducedDay.faults().stream().map(Fault::kind).anyMatch(FaultKind.SPOIL::equals) ? 1 : 0;
            for (Fault fault : reducedDay.faults()) { // every remaining fault is necessary
                List<Fault> remaining = new ArrayList<>(reducedDay.faults());
                remaining.remove(fault);
                assertNull(
                        Finding.fromVerdict(
                                reducedDay,
                                VirtualPlay.play(reducedDay.withFaults(remaining), REFUSING_INSTEAD_OF_FAILING)
                                        .verdict()),
                        fault.toString());
            }
            assertTrue(reducedDay.seconds() <= SEARCH_SCRIPT.seconds());
        }
        assertTrue(
                spoilFindings > 0, "no finding has a spoil fault, the most likely one to leave an execution uncertain");
        assertTrue(listener.scripts.stream()
                .anyMatch(p -> p.getFileName().toString().startsWith("found-nothing-twice-")));
    }

    @Test
    void findsNothingWithoutADefect() throws Exception {
        assertEquals(List.of(), run(12, 4, VirtualPlay.Options.defaults(), Integer.MAX_VALUE).findings);
    }

    @Test
    void resumesAfterInterruptionAndRestartsForAnotherScript() throws Exception {
        RecordingListener first = run(10, 2, VirtualPlay.Options.defaults(), 4);
        int done = first.playedDays.get();
        assertTrue(done >= 4 && done < 10, done + " days were done");
        // Simulates a process that was killed while it wrote a line.
        Path state = folder.resolve("search.state");
        Files.writeString(state, Files.readString(state) + "10");
        RecordingListener second = run(10, 2, VirtualPlay.Options.defaults(), Integer.MAX_VALUE);
        assertEquals(10 - done, second.playedDays.get());
        assertEquals(
                0,
                run(10, 2, VirtualPlay.Options.defaults(), Integer.MAX_VALUE)
                        .playedDays
                        .get());
        RecordingListener other = new RecordingListener();
        new Search(SEARCH_SCRIPT.withSeed(2), 3, folder, VirtualPlay.Options.defaults(), other).run(1);
        assertEquals(3, other.playedDays.get());
    }

    /** Days must be the same in a resumed search and on any thread. */
    @Test
    void daysDependOnlyOnScriptAndNumber() throws Exception {
        assertEquals(DayGenerator.generate(SEARCH_SCRIPT, 7), DayGenerator.generate(SEARCH_SCRIPT, 7));
        for (int i = 1; i <= 200; i++) {
            Script day = DayGenerator.generate(SEARCH_SCRIPT, i);
            assertTrue(day.faults().size() <= 4);
            ScriptReader.parse(ScriptWriter.write(day), "day " + i); // throws if a value is out of bounds
        }
    }
}
