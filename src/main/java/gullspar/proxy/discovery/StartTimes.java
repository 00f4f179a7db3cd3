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

    private record Start(long startedAtMs, long atNs) {}

    private final Map<String, Start> starts = new HashMap<>();
    private long newestMs;

    /** A list is about to be read in which that is the latest start, Unix time in ms. */
    void listed(long latestMs) {
        newestMs = Math.max(newestMs, latestMs);
    }

    /**
     * When a backend started, in ns of the clock that now comes from.
     *
     * @param startedAtMs what the list says, Unix time in ms; 0 or less for long ago
     * @param watched whether lists were heard before this one, so that a start not seen before is new; of others
     *     only the least age is known, by the latest start of all
     */
    long of(String id, long startedAtMs, boolean watched, long now) {
        if (startedAtMs <= 0) {
            starts.remove(id);
            return LONG_AGO_NS;
        }
        Start known = starts.get(id);
        if (known == null || known.startedAtMs != startedAtMs) {
            long leastAgeNs = watched ? 0 : TimeUnit.MILLISECONDS.toNanos(newestMs - startedAtMs);
            known = new Start(startedAtMs, Math.max(LONG_AGO_NS + 1, now - leastAgeNs));
            starts.put(id, known);
        }
        return known.atNs;
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
