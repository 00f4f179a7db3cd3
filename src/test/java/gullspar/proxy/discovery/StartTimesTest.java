package gullspar.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Start times from lists, whose wall clock may be ahead of or behind this machine's. */
class StartTimesTest {
    private static final long MS = 1_000_000L;
    private static final long NOW_MS = 1_800_000_000_000L;
    private static final long NOW = NOW_MS * MS;

    private final StartTimes starts = new StartTimes();

    private long startTimeOf(String id, long startedAtMs, boolean watched, long now) {
        starts.recordNewestStart(startedAtMs);
        return starts.startTimeNs(id, startedAtMs, watched, now);
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -1000, 0, 1000, 3_600_000})
    void startSeenWhileWatchingIsNewWhateverTheClocksSay(long aheadMs) {
        assertEquals(NOW, startTimeOf("s", NOW_MS + aheadMs, true, NOW));
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -1000, 0, 1000, 3_600_000})
    void startBeforeFirstListUsesMinimumAge(long aheadMs) {
        starts.recordNewestStart(NOW_MS + aheadMs - 500);
        starts.recordNewestStart(NOW_MS + aheadMs - 4000);
        assertEquals(NOW, starts.startTimeNs("newest", NOW_MS + aheadMs - 500, false, NOW));
        assertEquals(NOW - 3500 * MS, starts.startTimeNs("older", NOW_MS + aheadMs - 4000, false, NOW));
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -1000, 1000, 3_600_000})
    void sameStartKeepsItsTimeAndNewStartIsNewDespiteClockStep(long stepMs) {
        startTimeOf("s", NOW_MS, true, NOW);
        assertEquals(NOW, startTimeOf("s", NOW_MS, true, NOW + 7000 * MS));
        assertEquals(NOW + 9000 * MS, startTimeOf("s", NOW_MS + 9000 + stepMs, true, NOW + 9000 * MS));
    }

    @Test
    void missingStartTimeMeansLongAgo() {
        assertEquals(StartTimes.LONG_AGO_NS, startTimeOf("s", 0, true, NOW));
        assertEquals(StartTimes.LONG_AGO_NS, startTimeOf("s", -1, false, NOW));
    }

    @Test
    void unlistedBackendIsForgotten() {
        startTimeOf("s", NOW_MS, true, NOW);
        starts.retain(Set.of());
        assertEquals(NOW + MS, startTimeOf("s", NOW_MS, true, NOW + MS));
    }
}
