package gullspar.rehearse.search;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer;
import gullspar.rehearse.Days;
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

/** A search finds what is wrong, cuts it down and can be interrupted. */
@Timeout(300)
class SearchTest {
    private static final Script DRAWN_FROM = Days.small(
            8,
            "[search]\nkinds = [\"spoil\", \"neighbour\", \"late-list\", \"restart\", " + "\"slow-link\"]\nmost = 4\n");

    /** A module that refuses what it should fail: wrong where a request is left in doubt. */
    private static final VirtualPlay.Options REFUSES = new VirtualPlay.Options(
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

    /** Notes what it hears; ends the search after so many days. */
    private static final class Heard implements Search.Listener {
        private final List<Path> scripts = new ArrayList<>();
        private final List<Finding> findings = new ArrayList<>();
        private final AtomicInteger days = new AtomicInteger();
        private int endAfter = Integer.MAX_VALUE;
        private Search search;

        @Override
        public void at(int done, int found, int of) {
            if (days.incrementAndGet() >= endAfter) {
                search.stop();
            }
        }

        @Override
        public void found(Finding finding, Path script) {
            findings.add(finding);
            scripts.add(script);
        }
    }

    private Heard run(int days, int jobs, VirtualPlay.Options options, int endAfter) throws Exception {
        Heard h = new Heard();
        h.endAfter = endAfter;
        h.search = new Search(DRAWN_FROM, days, folder, options, h);
        h.search.run(jobs);
        return h;
    }

    @Test
    void whatIsPlantedIsFoundAndCutDownToTheFaultThatShowsIt() throws Exception {
        Heard h = run(12, 4, REFUSES, Integer.MAX_VALUE);
        assertTrue(h.findings.size() >= 2, "found " + h.findings.size());
        int spoilt = 0;
        for (int i = 0; i < h.scripts.size(); i++) {
            Script s = ScriptReader.read(h.scripts.get(i));
            assertEquals(h.findings.get(i).script(), s);
            assertEquals(
                    Rule.NOTHING_TWICE,
                    Finding.in(s, VirtualPlay.play(s, REFUSES).verdict()).rule());
            spoilt += s.faults().stream().map(Fault::kind).anyMatch(FaultKind.SPOIL::equals) ? 1 : 0;
            for (Fault f : s.faults()) { // none of them can be left out
                List<Fault> rest = new ArrayList<>(s.faults());
                rest.remove(f);
                assertNull(Finding.in(s, VirtualPlay.play(s.with(rest), REFUSES).verdict()), f.toString());
            }
            assertTrue(s.seconds() <= DRAWN_FROM.seconds());
        }
        assertTrue(spoilt > 0, "spoilt answers are the most likely to leave a request in doubt");
        assertTrue(h.scripts.stream().anyMatch(p -> p.getFileName().toString().startsWith("found-nothing-twice-")));
    }

    @Test
    void unplantedNothingIsFound() throws Exception {
        assertEquals(List.of(), run(12, 4, VirtualPlay.Options.defaults(), Integer.MAX_VALUE).findings);
    }

    @Test
    void aSearchThatWasInterruptedGoesOnAndAnotherScriptBeginsAnew() throws Exception {
        Heard first = run(10, 2, VirtualPlay.Options.defaults(), 4);
        int done = first.days.get();
        assertTrue(done >= 4 && done < 10, done + " days were done");
        // The end came in the midst of a line.
        Path state = folder.resolve("search.state");
        Files.writeString(state, Files.readString(state) + "10");
        Heard second = run(10, 2, VirtualPlay.Options.defaults(), Integer.MAX_VALUE);
        assertEquals(10 - done, second.days.get());
        assertEquals(
                0,
                run(10, 2, VirtualPlay.Options.defaults(), Integer.MAX_VALUE)
                        .days
                        .get());
        Heard other = new Heard();
        new Search(DRAWN_FROM.with(2), 3, folder, VirtualPlay.Options.defaults(), other).run(1);
        assertEquals(3, other.days.get());
    }

    /** The same number is the same day, whoever draws it and when. */
    @Test
    void daysAreDrawnByTheirNumber() throws Exception {
        assertEquals(Draw.day(DRAWN_FROM, 7), Draw.day(DRAWN_FROM, 7));
        for (int i = 1; i <= 200; i++) {
            Script day = Draw.day(DRAWN_FROM, i);
            assertTrue(day.faults().size() <= 4);
            ScriptReader.parse(ScriptWriter.write(day), "day " + i); // all in bounds
        }
    }
}
