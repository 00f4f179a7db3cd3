package gullspar.proxy.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Since when what a look found may have been readable. */
class LookTimesTest {
    private static final long MS = 1_000_000L;
    private final LookTimes times = new LookTimes();

    @Test
    void theFirstLookDatesByItsBeginning() {
        times.looked(100 * MS, 100 * MS + 5, 0);
        assertEquals(100 * MS, times.readableSince());
    }

    @Test
    void aLookThatMayNotWaitDatesByTheOneBefore() {
        times.looked(0, 50 * MS, 50 * MS);
        times.looked(60 * MS, 75 * MS, 0);
        assertEquals(50 * MS, times.readableSince());
    }

    @Test
    void dataThatEndsAWaitHasJustCome() {
        times.looked(0, 1, 0);
        assertEquals(0, times.looked(1 * MS, 40 * MS, 50 * MS));
        assertEquals(40 * MS, times.readableSince());
    }

    @Test
    void aWaitThatLastsTooLongDatesByItsBeginning() {
        times.looked(0, 1, 0);
        assertEquals(949 * MS, times.looked(1 * MS, 1000 * MS, 50 * MS));
        assertEquals(1 * MS, times.readableSince());
    }

    /** A wait that SIGSTOP cuts short ends with nothing, and the next look finds what came meanwhile. */
    @Test
    void whatIsFoundBehindAWaitThatLastedTooLongIsDatedByTheBeginningOfThatWait() {
        times.looked(0, 1, 0);
        times.looked(1 * MS, 1000 * MS, 50 * MS);
        assertTrue(times.unsure(1000 * MS));
        times.looked(1000 * MS, 1000 * MS + 5, 0);
        assertEquals(1 * MS, times.readableSince());
        assertFalse(times.unsure(1000 * MS + 6));
    }

    @Test
    void afterMuchWorkALookMayNotWaitAtFirst() {
        times.looked(0, 10 * MS, 50 * MS);
        assertFalse(times.unsure(10 * MS + LookTimes.SHORT_NS - 1));
        assertTrue(times.unsure(10 * MS + LookTimes.SHORT_NS));
        assertEquals(LookTimes.SHORT_NS, times.worked(10 * MS + LookTimes.SHORT_NS));
    }

    @Test
    void aLookThatMayNotWaitAndTakesLongStoodStill() {
        times.looked(0, 10 * MS, 50 * MS);
        assertEquals(500 * MS, times.looked(20 * MS, 520 * MS, 0));
        assertEquals(10 * MS, times.readableSince());
    }
}
