package gullspar.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Starts of backends as lists tell them, whose wall clock may be ahead of or behind this machine's. */
class StartTimesTest {
    private static final long MS = 1_000_000L;
    private static final long NOW_MS = 1_800_000_000_000L;
    private static final long NOW = NOW_MS * MS;

    private final StartTimes starts = new StartTimes();

    private long of(String id, long startedAtMs, boolean watched, long now) {
        starts.listed(startedAtMs);
        return starts.of(id, startedAtMs, watched, now);
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -1000, 0, 1000, 3_600_000})
    void aStartSeenWhileWatchingIsNewWhateverTheClocksSay(long aheadMs) {
        assertEquals(NOW, of("s", NOW_MS + aheadMs, true, NOW));
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -1000, 0, 1000, 3_600_000})
    void ofStartsFromBeforeTheLeastAgeCounts(long aheadMs) {
        starts.listed(NOW_MS + aheadMs - 500);
        starts.listed(NOW_MS + aheadMs - 4000);
        assertEquals(NOW, starts.of("newest", NOW_MS + aheadMs - 500, false, NOW));
        assertEquals(NOW - 3500 * MS, starts.of("older", NOW_MS + aheadMs - 4000, false, NOW));
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -1000, 1000, 3_600_000})
    void theSameStartKeepsItsTimeAndAnotherIsNewThoughItsClockStepped(long stepMs) {
        of("s", NOW_MS, true, NOW);
        assertEquals(NOW, of("s", NOW_MS, true, NOW + 7000 * MS));
        assertEquals(NOW + 9000 * MS, of("s", NOW_MS + 9000 + stepMs, true, NOW + 9000 * MS));
    }

    @Test
    void longAgoStaysLongAgo() {
        assertEquals(StartTimes.LONG_AGO_NS, of("s", 0, true, NOW));
        assertEquals(StartTimes.LONG_AGO_NS, of("s", -1, false, NOW));
    }

    @Test
    void aBackendThatIsListedNoMoreIsForgotten() {
        of("s", NOW_MS, true, NOW);
        starts.retain(Set.of());
        assertEquals(NOW + MS, of("s", NOW_MS, true, NOW + MS));
    }
}
