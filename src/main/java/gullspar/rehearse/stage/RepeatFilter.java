package gullspar.rehearse.stage;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Detects repeats in one scope: the idempotency keys of orders that its nodes received within the window. */
final class RepeatFilter {
    private final long windowNs;
    /** By key, oldest first. */
    private final Map<String, Long> firstSeenNs = new LinkedHashMap<>();

    RepeatFilter(long windowNs) {
        this.windowNs = windowNs;
    }

    /** Whether the key is a repeat; if it is not, it is stored. */
    boolean checkAndStore(String key, long now) {
        for (Iterator<Long> i = firstSeenNs.values().iterator(); i.hasNext() && now - i.next() >= windowNs; ) {
            i.remove();
        }
        return firstSeenNs.putIfAbsent(key, now) != null;
    }

    /** Removes a key whose order was dropped without effect. */
    void forget(String key) {
        firstSeenNs.remove(key);
    }
}
