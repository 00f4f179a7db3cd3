package gullspar.proxy.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Since when the data found by a poll may have been readable. */
class PollTimesTest {
    private static final long MS = 1_000_000L;
    private final PollTimes times = new PollTimes();

    @Test
    void firstPollCountsFromItsStart() {
        times.recordPoll(100 * MS, 100 * MS + 5, 0);
        assertEquals(100 * MS, times.readableSinceNs());
    }

    @Test
    void nonBlockingPollCountsFromTheEndOfThePreviousOne() {
        times.recordPoll(0, 50 * MS, 50 * MS);
        times.recordPoll(60 * MS, 75 * MS, 0);
        assertEquals(50 * MS, times.readableSinceNs());
    }

    @Test
    void dataThatEndsAWaitHasJustArrived() {
        times.recordPoll(0, 1, 0);
        assertEquals(0, times.recordPoll(1 * MS, 40 * MS, 50 * MS));
        assertEquals(40 * MS, times.readableSinceNs());
    }

    @Test
    void overlongWaitCountsFromItsStart() {
        times.recordPoll(0, 1, 0);
        assertEquals(949 * MS, times.recordPoll(1 * MS, 1000 * MS, 50 * MS));
        assertEquals(1 * MS, times.readableSinceNs());
    }

    /** A wait interrupted by SIGSTOP finds nothing, and the next poll finds the data that arrived meanwhile. */
    @Test
    void pollAfterAnOverlongWaitCountsFromTheStartOfThatWait() {
        times.recordPoll(0, 1, 0);
        times.recordPoll(1 * MS, 1000 * MS, 50 * MS);
        assertTrue(times.needsNonBlockingPoll(1000 * MS));
        times.recordPoll(1000 * MS, 1000 * MS + 5, 0);
        assertEquals(1 * MS, times.readableSinceNs());
        assertFalse(times.needsNonBlockingPoll(1000 * MS + 6));
    }

    @Test
    void longWorkRequiresANonBlockingPoll() {
        times.recordPoll(0, 10 * MS, 50 * MS);
        assertFalse(times.needsNonBlockingPoll(10 * MS + PollTimes.SHORT_WORK_NS - 1));
        assertTrue(times.needsNonBlockingPoll(10 * MS + PollTimes.SHORT_WORK_NS));
        assertEquals(PollTimes.SHORT_WORK_NS, times.workedNs(10 * MS + PollTimes.SHORT_WORK_NS));
    }

    @Test
    void longNonBlockingPollIsAStandstill() {
        times.recordPoll(0, 10 * MS, 50 * MS);
        assertEquals(500 * MS, times.recordPoll(20 * MS, 520 * MS, 0));
        assertEquals(10 * MS, times.readableSinceNs());
    }
}
