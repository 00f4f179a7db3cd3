package gullspar.rehearse.stage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The model of a node's processors. Times in ns. */
class MachineTest {
    private static Machine.Job job(Machine m, String name, double work, long now) {
        Machine.Job j = new Machine.Job(name, work);
        assertTrue(m.offer(j, now));
        return j;
    }

    @Test
    void jobsShareTheCoresEvenly() {
        Machine m = new Machine(1, 2, 4, 0, 0);
        job(m, "a", 100, 0);
        assertEquals(50, m.doneAt());
        job(m, "b", 100, 25); // a has 50 left, and half of the core
        assertEquals(75, m.doneAt());
        assertNull(m.done(74));
        assertEquals("a", m.done(75).what);
        assertEquals(100, m.doneAt()); // b got 50 by then, and the rest alone
        assertEquals("b", m.done(100).what);
        assertEquals(Long.MAX_VALUE, m.doneAt());
        assertEquals(100, m.busyNs(100));
    }

    @Test
    void asManyAsThereAreCoresRunAtFullSpeed() {
        Machine m = new Machine(2, 1, 4, 0, 0);
        job(m, "a", 100, 0);
        job(m, "b", 100, 0);
        assertEquals(100, m.doneAt());
        assertEquals("a", m.done(100).what); // of two that end together the first
        assertEquals("b", m.done(100).what);
        assertEquals(200, m.busyNs(100));
    }

    @Test
    void whatFindsNoPlaceWaitsAndWhatFindsNoneToWaitIsTurnedAway() {
        Machine m = new Machine(1, 1, 1, 1, 0);
        job(m, "runs", 100, 0);
        Machine.Job waits = job(m, "waits", 100, 0);
        assertFalse(waits.running());
        assertFalse(m.offer(new Machine.Job("too many", 1), 0));
        assertNull(m.next());
        assertEquals("runs", m.done(100).what);
        assertEquals(waits, m.next());
        m.begin(waits, 100);
        assertEquals(200, m.doneAt());
        assertEquals(1, m.held());
    }

    @Test
    void aNeighbourTakesItsShareFromNowOn() {
        Machine m = new Machine(1, 1, 4, 0, 0);
        job(m, "a", 100, 0);
        m.power(0.25, 50);
        assertEquals(250, m.doneAt());
        m.power(0, 150); // half of what was left is done
        assertEquals(Long.MAX_VALUE, m.doneAt());
        m.power(1, 1000);
        assertEquals(1025, m.doneAt());
    }

    @Test
    void whatIsDroppedLeavesItsShareToTheOthers() {
        Machine m = new Machine(1, 1, 4, 0, 0);
        Machine.Job a = job(m, "a", 100, 0);
        job(m, "b", 100, 0);
        m.drop(a, 100); // both have had 50
        assertEquals(150, m.doneAt());
    }

    @Test
    void fitnessIsWhatItWasAllThatTime() {
        Fitness f = new Fitness();
        f.changed(0, 2);
        assertEquals(200, f.over(100, 100));
        assertEquals(20, f.over(10, 0), "as it began, before");
        f.changed(100, 1);
        assertEquals(150, f.over(100, 150));
        f.changed(150, 0); // a moment ago it was fit
        assertEquals(150, f.over(100, 150));
        assertEquals(50, f.over(100, 200));
        assertEquals(0, f.over(100, 260));
    }

    @Test
    void keysAndRepeatsAreRememberedForTheirTime() {
        KeyMemory keys = new KeyMemory(100, 2);
        assertFalse(keys.remembers(1, 0));
        assertTrue(keys.remembers(1, 99));
        assertFalse(keys.remembers(1, 199));
        keys.remembers(2, 200);
        keys.remembers(3, 200);
        assertFalse(keys.remembers(1, 201), "only two are remembered");
        assertFalse(keys.remembers(0, 201), "0 is no key");
        Repeats repeats = new Repeats(100);
        assertFalse(repeats.repeat("a", 0));
        assertTrue(repeats.repeat("a", 99));
        assertFalse(repeats.repeat("a", 100), "a repeat does not prolong the window");
    }
}
