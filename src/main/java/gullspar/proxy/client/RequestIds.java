package gullspar.proxy.client;

import gullspar.proxy.config.Fnv;
import io.netty.util.collection.LongObjectHashMap;
import java.util.HashSet;
import java.util.Set;

/**
 * The ids of open and recently closed requests. Each request has its own id, also a client's retry. A request with an
 * id that is open or recently closed comes from another client, and backends would take it for a copy of the first
 * request. Closed ids are kept as hashes and bounded in number, as a client may send ever new ones at full speed.
 */
final class RequestIds {
    /** Between one and two times this many closed ids are remembered. */
    static final int MAX_RECENT = 32_768;

    private final Set<String> open = new HashSet<>();
    private LongObjectHashMap<Boolean> recent = new LongObjectHashMap<>();
    private LongObjectHashMap<Boolean> older = new LongObjectHashMap<>();

    /** Registers an id; returns false if it is in use or was recently. */
    boolean open(String id) {
        long hash = Fnv.hash(id);
        return !recent.containsKey(hash) && !older.containsKey(hash) && open.add(id);
    }

    void close(String id) {
        if (open.remove(id)) {
            recent.put(Fnv.hash(id), Boolean.TRUE);
            if (recent.size() >= MAX_RECENT) {
                age();
            }
        }
    }

    /** Removes the ids closed before the previous call; called periodically to bound memory. */
    void age() {
        older = recent;
        recent = new LongObjectHashMap<>();
    }

    /** Number of closed ids that are remembered. */
    int recentCount() {
        return recent.size() + older.size();
    }
}
