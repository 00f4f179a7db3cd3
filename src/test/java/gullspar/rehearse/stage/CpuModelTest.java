package gullspar.rehearse.stage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The model of a node's processors, its capacity history, key cache and repeat filter. Times are in ns. */
class CpuModelTest {
    private static CpuModel.Job job(CpuModel m, String name, double work, long now) {
        CpuModel.Job j = new CpuModel.Job(name, work);
        assertTrue(m.offer(j, now));
        return j;
    }

    @Test
    void jobsShareTheCoresEvenly() {
        CpuModel m = new CpuModel(1, 2, 4, 0, 0);
        job(m, "a", 100, 0);
        assertEquals(50, m.nextDoneAtNs());
        job(m, "b", 100, 25); // a has 50 left, and now gets half of the core
        assertEquals(75, m.nextDoneAtNs());
        assertNull(m.pollDone(74));
        assertEquals("a", m.pollDone(75).payload);
        assertEquals(100, m.nextDoneAtNs()); // b had received 50 by then, and runs alone afterwards
        assertEquals("b", m.pollDone(100).payload);
        assertEquals(Long.MAX_VALUE, m.nextDoneAtNs());
        assertEquals(100, m.busyNs(100));
    }

    @Test
    void jobsUpToTheNumberOfCoresRunAtFullSpeed() {
        CpuModel m = new CpuModel(2, 1, 4, 0, 0);
        job(m, "a", 100, 0);
        job(m, "b", 100, 0);
        assertEquals(100, m.nextDoneAtNs());
        assertEquals("a", m.pollDone(100).payload); // of two that end at the same time, the one started first
        assertEquals("b", m.pollDone(100).payload);
        assertEquals(200, m.busyNs(100));
    }

    @Test
    void jobsBeyondTheSlotsWaitAndThoseBeyondTheQueueAreRejected() {
        CpuModel m = new CpuModel(1, 1, 1, 1, 0);
        job(m, "runs", 100, 0);
        CpuModel.Job waits = job(m, "waits", 100, 0);
        assertFalse(waits.isRunning());
        assertFalse(m.offer(new CpuModel.Job("too many", 1), 0));
        assertNull(m.pollWaiting());
        assertEquals("runs", m.pollDone(100).payload);
        assertEquals(waits, m.pollWaiting());
        m.startWaiting(waits, 100);
        assertEquals(200, m.nextDoneAtNs());
        assertEquals(1, m.inFlight());
    }

    @Test
    void aChangeOfTheCapacityShareAppliesFromThatTimeOn() {
        CpuModel m = new CpuModel(1, 1, 4, 0, 0);
        job(m, "a", 100, 0);
        m.setCapacityShare(0.25, 50);
        assertEquals(250, m.nextDoneAtNs());
        m.setCapacityShare(0, 150); // half of the remaining work is done
        assertEquals(Long.MAX_VALUE, m.nextDoneAtNs());
        m.setCapacityShare(1, 1000);
        assertEquals(1025, m.nextDoneAtNs());
    }

    @Test
    void aDroppedJobLeavesItsShareToTheOthers() {
        CpuModel m = new CpuModel(1, 1, 4, 0, 0);
        CpuModel.Job a = job(m, "a", 100, 0);
        job(m, "b", 100, 0);
        m.drop(a, 100); // both have received 50
        assertEquals(150, m.nextDoneAtNs());
    }

    @Test
    void capacityHistoryAddsUpTheWorkOverTheSpan() {
        CapacityHistory f = new CapacityHistory();
        f.record(0, 2);
        assertEquals(200, f.workNs(100, 100));
        assertEquals(20, f.workNs(10, 0), "the first capacity also counts before its time");
        f.record(100, 1);
        assertEquals(150, f.workNs(100, 150));
        f.record(150, 0); // the capacity of the span before counts
        assertEquals(150, f.workNs(100, 150));
        assertEquals(50, f.workNs(100, 200));
        assertEquals(0, f.workNs(100, 260));
    }

    @Test
    void keysAndRepeatsAreStoredForTheirRetentionPeriod() {
        KeyCache keys = new KeyCache(100, 2);
        assertFalse(keys.checkAndStore(1, 0));
        assertTrue(keys.checkAndStore(1, 99));
        assertFalse(keys.checkAndStore(1, 199));
        keys.checkAndStore(2, 200);
        keys.checkAndStore(3, 200);
        assertFalse(keys.checkAndStore(1, 201), "only two keys are stored");
        assertFalse(keys.checkAndStore(0, 201), "0 stands for no key");
        RepeatFilter repeats = new RepeatFilter(100);
        assertFalse(repeats.checkAndStore("a", 0));
        assertTrue(repeats.checkAndStore("a", 99));
        assertFalse(repeats.checkAndStore("a", 100), "a repeat does not prolong the window");
    }
}
