package gullspar.proxy.discovery;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Start times of listed backends on this process's monotonic clock. Lists hold wall-clock times of other
 * machines; only their differences and the time at which they are first seen are used, so a clock that is wrong
 * or steps does not make a cold backend look warm.
 */
final class StartTimes {
    /** Start time of a backend whose start is not listed; it counts as warm. */
    static final long LONG_AGO_NS = 0;

    /** A start as listed, Unix time in ms, and on this process's clock. */
    private record Start(long startedAtMs, long startTimeNs) {}

    private final Map<String, Start> starts = new HashMap<>();
    private long newestStartMs;

    /** Records the most recent start, Unix time in ms, of a list about to be read. */
    void recordNewestStart(long startMs) {
        newestStartMs = Math.max(newestStartMs, startMs);
    }

    /**
     * Returns when a backend started, in ns of the clock of nowNs.
     *
     * @param startedAtMs start in the list, Unix time in ms; 0 or less for long ago
     * @param hadList whether a list was received before this one, so that a new start has just happened;
     *     otherwise only the minimum age is known, relative to the most recent start of all
     */
    long startTimeNs(String id, long startedAtMs, boolean hadList, long nowNs) {
        if (startedAtMs <= 0) {
            starts.remove(id);
            return LONG_AGO_NS;
        }
        Start known = starts.get(id);
        if (known == null || known.startedAtMs != startedAtMs) {
            long minAgeNs = hadList ? 0 : TimeUnit.MILLISECONDS.toNanos(newestStartMs - startedAtMs);
            known = new Start(startedAtMs, Math.max(LONG_AGO_NS + 1, nowNs - minAgeNs));
            starts.put(id, known);
        }
        return known.startTimeNs;
    }

    /** Removes all backends but these, which are still listed. */
    void retain(Set<String> ids) {
        starts.keySet().retainAll(ids);
    }

    /** Removes a backend that is no longer listed. */
    void remove(String id) {
        starts.remove(id);
    }
}
