package gullspar.proxy.discovery;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * When listed backends started, by this process's own monotonic clock. Lists give wall clock times of other
 * machines; only their differences and the moment in which they are first seen are relied upon, so a clock that
 * is wrong or steps makes no cold backend look warm.
 */
final class StartTimes {
    /** For a backend that started long ago. */
    static final long LONG_AGO_NS = 0;

    private record Start(long startedAtMs, long startTimeNs) {}

    private final Map<String, Start> starts = new HashMap<>();
    private long newestStartMs;

    /** A list is about to be read in which that is the latest start, Unix time in ms. */
    void recordNewestStart(long startMs) {
        newestStartMs = Math.max(newestStartMs, startMs);
    }

    /**
     * When a backend started, in ns of the clock that now comes from.
     *
     * @param startedAtMs what the list says, Unix time in ms; 0 or less for long ago
     * @param watched whether lists were heard before this one, so that a start not seen before is new; of others
     *     only the least age is known, by the latest start of all
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

    /** Only these are listed any more. */
    void retain(Set<String> ids) {
        starts.keySet().retainAll(ids);
    }

    /** It is listed no more. */
    void remove(String id) {
        starts.remove(id);
    }
}
