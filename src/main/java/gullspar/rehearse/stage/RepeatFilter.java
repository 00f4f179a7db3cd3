package gullspar.rehearse.stage;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The keys of orders that the nodes of one scope have met lately: repeats of these take no effect. */
final class RepeatFilter {
    private final long windowNs;
    /** By key, the one met first ahead. */
    private final Map<String, Long> firstSeenNs = new LinkedHashMap<>();

    RepeatFilter(long windowNs) {
        this.windowNs = windowNs;
    }

    /** Is it a repeat? If it is not, it is remembered from now on. */
    boolean checkAndStore(String key, long now) {
        for (Iterator<Long> i = firstSeenNs.values().iterator(); i.hasNext() && now - i.next() >= windowNs; ) {
            i.remove();
        }
        return firstSeenNs.putIfAbsent(key, now) != null;
    }

    /** What was met of it took no effect after all. */
    void forget(String key) {
        firstSeenNs.remove(key);
    }
}
