package gullspar.proxy.client;

import java.util.HashSet;
import java.util.Set;

/**
 * The ids of open and recently closed requests. Every request has an id of its own, and so has a client's
 * retry: a repeated id belongs to another client, and would be a second copy at the backends.
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

    /** Forgets the ids closed before the previous call; called periodically to bound memory. */
    void age() {
        older = recent;
        recent = new HashSet<>();
    }
}
