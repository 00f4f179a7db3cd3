package gullspar.rehearse.stage;

import java.util.LinkedHashMap;
import java.util.Map;

/** The keys whose data a node has cached: limited in number and by time, least recently used evicted first. */
final class KeyCache {
    private final long retentionNs;
    private final Map<Integer, Long> lastSeenNs;

    KeyCache(long retentionNs, int maxKeys) {
        this.retentionNs = retentionNs;
        this.lastSeenNs = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Integer, Long> eldest) {
                return size() > maxKeys;
            }
        };
    }

    /** Whether the key is cached; stores it in any case. */
    boolean checkAndStore(int key, long now) {
        if (key == 0 || retentionNs == 0) {
            return false;
        }
        Long last = lastSeenNs.put(key, now);
        return last != null && now - last < retentionNs;
    }
}
