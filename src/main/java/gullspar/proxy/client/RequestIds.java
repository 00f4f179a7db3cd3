package gullspar.proxy.client;

import java.util.HashSet;
import java.util.Set;

/**
 * The ids of open and recently closed requests. Each request has its own id, also a client's retry. A request with an
 * id that is open or recently closed comes from another client, and backends would take it for a copy of the first
 * request.
 */
final class RequestIds {
    private final Set<String> open = new HashSet<>();
    private Set<String> recent = new HashSet<>();
    private Set<String> older = new HashSet<>();

    /** Registers an id; returns false if it is in use or was recently. */
    boolean open(String id) {
        return !recent.contains(id) && !older.contains(id) && open.add(id);
    }

    void close(String id) {
        if (open.remove(id)) {
            recent.add(id);
        }
    }

    /** Removes the ids closed before the previous call; called periodically to bound memory. */
    void age() {
        older = recent;
        recent = new HashSet<>();
    }
}
