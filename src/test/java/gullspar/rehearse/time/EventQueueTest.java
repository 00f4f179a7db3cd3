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

/** Event order in virtual time. */
class EventQueueTest {
    private static List<String> runOrder(long seed) {
        EventQueue a = new EventQueue(seed, 0);
        List<String> seen = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            int source = a.newSource();
            String name = "s" + i;
            a.schedule(5, source, () -> seen.add(name + " first"));
            a.schedule(5, source, () -> seen.add(name + " then"));
        }
        while (a.hasEventBy(5)) {
            a.runNext();
        }
        return seen;
    }

    @Test
    void seedOrdersSourcesAtOneInstantAndEachKeepsItsOwnOrder() {
        List<String> once = runOrder(1);
        assertEquals(once, runOrder(1));
        assertNotEquals(once, runOrder(2));
        for (int i = 0; i < 10; i++) {
            assertTrue(once.indexOf("s" + i + " first") < once.indexOf("s" + i + " then"));
        }
    }

    /** Simultaneous events, such as a response and a time-out, must run in both orders over many seeds. */
    @Test
    void simultaneousEventsRunInEitherOrderDependingOnSeed() {
        long first = IntStream.range(0, 1000)
                .filter(seed -> runOrder(seed).get(0).equals("s0 first"))
                .count();
        assertTrue(first > 50 && first < 200, first + " of 1000, expected about 100");
    }

    @Test
    void timeNeverGoesBack() {
        EventQueue a = new EventQueue(1, 100);
        List<Long> at = new ArrayList<>();
        a.schedule(300, 1, () -> {
            at.add(a.now());
            a.schedule(50, 1, () -> at.add(a.now())); // in the past: runs now
        });
        a.schedule(200, 1, () -> at.add(a.now()));
        while (a.hasEventBy(1000)) {
            a.runNext();
        }
        assertEquals(List.of(200L, 300L, 300L), at);
    }

    @Test
    void loopRunsItsTimersOnTheAgenda() {
        EventQueue a = new EventQueue(1, 0);
        List<Throwable> errors = new ArrayList<>();
        VirtualLoop loop = new VirtualLoop(a, errors::add);
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
        while (a.hasEventBy(20)) {
            a.runNext();
        }
        assertEquals(
                "again at 8, early at 10, task at 10, again at 16, late at 20",
                seen.stream().collect(Collectors.joining(", ")));
        assertEquals(1, errors.size());
        loop.end();
        while (a.hasEventBy(100)) {
            a.runNext();
        }
        assertEquals(5, seen.size());
    }
}
