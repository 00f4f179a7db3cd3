package gullspar.rehearse.stage;

import java.util.LinkedHashMap;
import java.util.Map;

/** What a node remembers of the things that requests were about: so many, for so long. */
final class KeyMemory {
    private final long memoryNs;
    private final Map<Integer, Long> met;

    KeyMemory(long memoryNs, int most) {
        this.memoryNs = memoryNs;
        this.met = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Integer, Long> eldest) {
                return size() > most;
            }
        };
    }

    /** Is it remembered? From now on it is. */
    boolean remembers(int key, long now) {
        if (key == 0 || memoryNs == 0) {
            return false;
        }
        Long last = met.put(key, now);
        return last != null && now - last < memoryNs;
    }
}
