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
        RateLimiter limiter = new RateLimiter(10_000, 0);
        Deque<long[]> last = new ArrayDeque<>();
        long now = 5 * SECOND_NS;
        int within = 0;
        int worst = 0;
        int all = 0;
        for (int i = 0; i < 500; i++) {
            now = Math.max(now, limiter.readyAtNs(now));
            int frame = i % 3 == 0 ? 2048 : 300;
            limiter.spend(now, frame);
            last.add(new long[] {now, frame});
            within += frame;
            all += frame;
            while (last.peek()[0] <= now - SECOND_NS) {
                within -= last.poll()[1];
            }
            worst = Math.max(worst, within);
        }
        assertTrue(worst <= 10_000 + 2048, "worst second: " + worst);
        double mean = all / ((now - 5 * SECOND_NS) / 1e9);
        assertTrue(mean > 6_500 && mean < 7_500, "mean: " + mean);
    }

    @Test
    void slotsAreLimitedAndWaitersServedInOrder() {
        SnapshotSlots slots = new SnapshotSlots(2);
        assertTrue(slots.tryAcquire("a"));
        assertTrue(slots.tryAcquire("b"));
        assertFalse(slots.tryAcquire("c"));
        assertFalse(slots.tryAcquire("d"));
        assertEquals("c", slots.release("a"));
        assertFalse(slots.tryAcquire("d"), "c asked before d");
        assertTrue(slots.tryAcquire("c"));
        assertEquals(null, slots.release("d"));
        assertEquals(null, slots.release("b"));
        assertEquals(2, slots.peak());
    }
}
