package gullspar.rehearse.time;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Order on the virtual clock. */
class AgendaTest {
    private static List<String> order(long seed) {
        Agenda a = new Agenda(seed, 0);
        List<String> seen = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            int source = a.source();
            String name = "s" + i;
            a.at(5, source, () -> seen.add(name + " first"));
            a.at(5, source, () -> seen.add(name + " then"));
        }
        while (a.due(5)) {
            a.step();
        }
        return seen;
    }

    @Test
    void atOneInstantSourcesGoBySeedAndEachKeepsItsOwnOrder() {
        List<String> once = order(1);
        assertEquals(once, order(1));
        assertNotEquals(once, order(2));
        for (int i = 0; i < 10; i++) {
            assertTrue(once.indexOf("s" + i + " first") < once.indexOf("s" + i + " then"));
        }
    }

    /** An answer and a time-out, or a notice and a send, that fall together: both orders are met. */
    @Test
    void twoThatFallTogetherGoEitherWayWithTheSeed() {
        long first = IntStream.range(0, 1000)
                .filter(seed -> order(seed).get(0).equals("s0 first"))
                .count();
        assertTrue(first > 50 && first < 200, first + " of 1000 where 100 are due");
    }

    @Test
    void timeOnlyGoesOn() {
        Agenda a = new Agenda(1, 100);
        List<Long> at = new ArrayList<>();
        a.at(300, 1, () -> {
            at.add(a.now());
            a.at(50, 1, () -> at.add(a.now())); // late: it happens now
        });
        a.at(200, 1, () -> at.add(a.now()));
        while (a.due(1000)) {
            a.step();
        }
        assertEquals(List.of(200L, 300L, 300L), at);
    }

    @Test
    void aLoopRunsItsTimersByTheAgenda() {
        Agenda a = new Agenda(1, 0);
        List<Throwable> slips = new ArrayList<>();
        VirtualLoop loop = new VirtualLoop(a, slips::add);
        List<String> seen = new ArrayList<>();
        loop.schedule(() -> seen.add("late at " + a.now()), 20, TimeUnit.NANOSECONDS);
        loop.schedule(
                () -> {
                    seen.add("early at " + a.now());
                    loop.execute(() -> seen.add("task at " + a.now()));
                    throw new IllegalStateException("slip");
                },
                10,
                TimeUnit.NANOSECONDS);
        loop.schedule(() -> seen.add("never"), 15, TimeUnit.NANOSECONDS).cancel(false);
        loop.scheduleAtFixedRate(() -> seen.add("again at " + a.now()), 8, 8, TimeUnit.NANOSECONDS);
        while (a.due(20)) {
            a.step();
        }
        assertEquals(
                "again at 8, early at 10, task at 10, again at 16, late at 20",
                seen.stream().collect(Collectors.joining(", ")));
        assertEquals(1, slips.size());
        loop.end();
        while (a.due(100)) {
            a.step();
        }
        assertEquals(5, seen.size());
    }
}
