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
        EventQueue eventQueue = new EventQueue(seed, 0);
        List<String> events = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            int source = eventQueue.newSource();
            String name = "s" + i;
            eventQueue.schedule(5, source, () -> events.add(name + " first"));
            eventQueue.schedule(5, source, () -> events.add(name + " then"));
        }
        while (eventQueue.hasEventBy(5)) {
            eventQueue.runNext();
        }
        return events;
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
        EventQueue eventQueue = new EventQueue(1, 100);
        List<Long> runTimes = new ArrayList<>();
        eventQueue.schedule(300, 1, () -> {
            runTimes.add(eventQueue.now());
            eventQueue.schedule(50, 1, () -> runTimes.add(eventQueue.now())); // in the past: runs now
        });
        eventQueue.schedule(200, 1, () -> runTimes.add(eventQueue.now()));
        while (eventQueue.hasEventBy(1000)) {
            eventQueue.runNext();
        }
        assertEquals(List.of(200L, 300L, 300L), runTimes);
    }

    @Test
    void loopRunsItsTimersInEventOrder() {
        EventQueue eventQueue = new EventQueue(1, 0);
        List<Throwable> errors = new ArrayList<>();
        VirtualLoop loop = new VirtualLoop(eventQueue, errors::add);
        List<String> events = new ArrayList<>();
        loop.schedule(() -> events.add("late at " + eventQueue.now()), 20, TimeUnit.NANOSECONDS);
        loop.schedule(
                () -> {
                    events.add("early at " + eventQueue.now());
                    loop.execute(() -> events.add("task at " + eventQueue.now()));
                    throw new IllegalStateException("planted failure of a task");
                },
                10,
                TimeUnit.NANOSECONDS);
        loop.schedule(() -> events.add("never"), 15, TimeUnit.NANOSECONDS).cancel(false);
        loop.scheduleAtFixedRate(() -> events.add("again at " + eventQueue.now()), 8, 8, TimeUnit.NANOSECONDS);
        while (eventQueue.hasEventBy(20)) {
            eventQueue.runNext();
        }
        assertEquals(
                "again at 8, early at 10, task at 10, again at 16, late at 20",
                events.stream().collect(Collectors.joining(", ")));
        assertEquals(1, errors.size());
        loop.end();
        while (eventQueue.hasEventBy(100)) {
            eventQueue.runNext();
        }
        assertEquals(5, events.size());
    }
}
