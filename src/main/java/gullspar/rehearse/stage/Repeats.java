package gullspar.rehearse.stage;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The keys of orders that the nodes of one scope have met lately: repeats of these take no effect. */
final class Repeats {
    private final long windowNs;
    /** By key, the one met first ahead. */
    private final Map<String, Long> met = new LinkedHashMap<>();

    Repeats(long windowNs) {
        this.windowNs = windowNs;
    }

    /** Is it a repeat? If it is not, it is remembered from now on. */
    boolean repeat(String key, long now) {
        for (Iterator<Long> i = met.values().iterator(); i.hasNext() && now - i.next() >= windowNs; ) {
            i.remove();
        }
        return met.putIfAbsent(key, now) != null;
    }

    /** What was met of it took no effect after all. */
    void forget(String key) {
        met.remove(key);
    }
}
