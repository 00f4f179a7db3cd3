package gullspar.rehearse.stage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The model of a node's processors, its capacity history, key cache and repeat filter. Times are in ns. */
class CpuModelTest {
    private static CpuModel.Job job(CpuModel model, String name, double work, long now) {
        CpuModel.Job j = new CpuModel.Job(name, work);
        assertTrue(model.offer(j, now));
        return j;
    }

    @Test
    void jobsShareTheCoresEvenly() {
        CpuModel model = new CpuModel(1, 2, 4, 0, 0);
        job(model, "a", 100, 0);
        assertEquals(50, model.nextDoneAtNs());
        job(model, "b", 100, 25); // a has 50 left, and now gets half of the core
        assertEquals(75, model.nextDoneAtNs());
        assertNull(model.pollDone(74));
        assertEquals("a", model.pollDone(75).payload);
        assertEquals(100, model.nextDoneAtNs()); // b had received 50 by then, and runs alone afterwards
        assertEquals("b", model.pollDone(100).payload);
        assertEquals(Long.MAX_VALUE, model.nextDoneAtNs());
        assertEquals(100, model.busyNs(100));
    }

    @Test
    void jobsUpToTheNumberOfCoresRunAtFullSpeed() {
        CpuModel model = new CpuModel(2, 1, 4, 0, 0);
        job(model, "a", 100, 0);
        job(model, "b", 100, 0);
        assertEquals(100, model.nextDoneAtNs());
        assertEquals("a", model.pollDone(100).payload); // of two that end at the same time, the one started first
        assertEquals("b", model.pollDone(100).payload);
        assertEquals(200, model.busyNs(100));
    }

    @Test
    void jobsBeyondTheSlotsWaitAndThoseBeyondTheQueueAreRejected() {
        CpuModel model = new CpuModel(1, 1, 1, 1, 0);
        job(model, "runs", 100, 0);
        CpuModel.Job waits = job(model, "waits", 100, 0);
        assertFalse(waits.isRunning());
        assertFalse(model.offer(new CpuModel.Job("too many", 1), 0));
        assertNull(model.pollWaiting());
        assertEquals("runs", model.pollDone(100).payload);
        assertEquals(waits, model.pollWaiting());
        model.startWaiting(waits, 100);
        assertEquals(200, model.nextDoneAtNs());
        assertEquals(1, model.inFlight());
    }

    @Test
    void aChangeOfTheCapacityShareAppliesFromThatTimeOn() {
        CpuModel model = new CpuModel(1, 1, 4, 0, 0);
        job(model, "a", 100, 0);
        model.setCapacityShare(0.25, 50);
        assertEquals(250, model.nextDoneAtNs());
        model.setCapacityShare(0, 150); // half of the remaining work is done
        assertEquals(Long.MAX_VALUE, model.nextDoneAtNs());
        model.setCapacityShare(1, 1000);
        assertEquals(1025, model.nextDoneAtNs());
    }

    @Test
    void aDroppedJobLeavesItsShareToTheOthers() {
        CpuModel model = new CpuModel(1, 1, 4, 0, 0);
        CpuModel.Job a = job(model, "a", 100, 0);
        job(model, "b", 100, 0);
        model.drop(a, 100); // both have received 50
        assertEquals(150, model.nextDoneAtNs());
    }

    @Test
    void capacityHistoryAddsUpTheWorkOverTheSpan() {
        CapacityHistory history = new CapacityHistory();
        history.record(0, 2);
        assertEquals(200, history.workNs(100, 100));
        assertEquals(20, history.workNs(10, 0), "the first capacity also counts before its time");
        history.record(100, 1);
        assertEquals(150, history.workNs(100, 150));
        history.record(150, 0); // the capacity of the span before counts
        assertEquals(150, history.workNs(100, 150));
        assertEquals(50, history.workNs(100, 200));
        assertEquals(0, history.workNs(100, 260));
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
