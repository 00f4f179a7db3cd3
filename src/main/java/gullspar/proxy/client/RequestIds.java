package gullspar.proxy.client;

import java.util.HashSet;
import java.util.Set;

/**
 * The ids of requests that are open, and of those that were until lately. Every request has an id of its
 * own, a client's retry too: one that comes again is another client's, and would be a second copy at the
 * backends.
 */
final class RequestIds {
    private final Set<String> open = new HashSet<>();
    private Set<String> recent = new HashSet<>();
    private Set<String> older = new HashSet<>();

    /** False if the id is in use or was lately. */
    boolean open(String id) {
        return !recent.contains(id) && !older.contains(id) && open.add(id);
    }

    void close(String id) {
        if (open.remove(id)) {
            recent.add(id);
        }
    }

    /** Forgets those that were closed before the last call; called now and then, it keeps them bounded. */
    void age() {
        older = recent;
        recent = new HashSet<>();
    }
}
