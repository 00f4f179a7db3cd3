package gullspar.versions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;

/** Rate of sent bytes and number of concurrent snapshots. */
class RateLimiterTest {
    private static final long SECOND_NS = 1_000_000_000L;

    @Test
    void anySecondIsWithinTheAllowancePlusOneFrame() {
        RateLimiter p = new RateLimiter(10_000, 0);
        Deque<long[]> last = new ArrayDeque<>();
        long now = 5 * SECOND_NS;
        int within = 0;
        int most = 0;
        int all = 0;
        for (int i = 0; i < 500; i++) {
            now = Math.max(now, p.readyAtNs(now));
            int frame = i % 3 == 0 ? 2048 : 300;
            p.spend(now, frame);
            last.add(new long[] {now, frame});
            within += frame;
            all += frame;
            while (last.peek()[0] <= now - SECOND_NS) {
                within -= last.poll()[1];
            }
            most = Math.max(most, within);
        }
        assertTrue(most <= 10_000 + 2048, "worst second: " + most);
        double mean = all / ((now - 5 * SECOND_NS) / 1e9);
        assertTrue(mean > 6_500 && mean < 7_500, "mean: " + mean);
    }

    @Test
    void slotsAreLimitedAndWaitersServedInOrder() {
        SnapshotSlots t = new SnapshotSlots(2);
        assertTrue(t.tryAcquire("a"));
        assertTrue(t.tryAcquire("b"));
        assertFalse(t.tryAcquire("c"));
        assertFalse(t.tryAcquire("d"));
        assertEquals("c", t.release("a"));
        assertFalse(t.tryAcquire("d"), "c asked before d");
        assertTrue(t.tryAcquire("c"));
        assertEquals(null, t.release("d"));
        assertEquals(null, t.release("b"));
        assertEquals(2, t.peak());
    }
}
