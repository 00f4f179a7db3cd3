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

    /**
     * A closed id is remembered for one to two of these intervals, unless there are too many. A client that left may
     * come again with its id while the first attempt still runs.
     */
    static final long RETENTION_NS = 60_000_000_000L;

    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.8f;

    private final Set<String> open = new HashSet<>();
    private LongObjectHashMap<Boolean> recent = newGeneration();
    private LongObjectHashMap<Boolean> older = newGeneration();
    private long generationSinceNs;

    /** Creates an empty memory; nowNs as for {@link #age}. */
    RequestIds(long nowNs) {
        generationSinceNs = nowNs;
    }

    private static LongObjectHashMap<Boolean> newGeneration() {
        return new LongObjectHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR);
    }

    /** Registers an id; returns false if it is in use or was recently. */
    boolean open(String id) {
        long hash = Fnv.hash(id);
        return !recent.containsKey(hash) && !older.containsKey(hash) && open.add(id);
    }

    void close(String id) {
        if (open.remove(id)) {
            recent.put(Fnv.hash(id), Boolean.TRUE);
            if (recent.size() >= MAX_RECENT) {
                startGeneration();
            }
        }
    }

    /** Removes old ids; to be called from time to time with the time of any monotonic clock, in ns. */
    void age(long nowNs) {
        if (nowNs - generationSinceNs >= RETENTION_NS) {
            generationSinceNs = nowNs;
            startGeneration();
        }
    }

    private void startGeneration() {
        older = recent;
        recent = newGeneration();
    }

    /** Number of closed ids that are remembered. */
    int recentCount() {
        return recent.size() + older.size();
    }
}
