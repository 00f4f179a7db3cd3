package gullspar.versions;

import java.util.LinkedHashSet;
import java.util.Set;

/** Limits concurrent snapshots; further followers wait in the order of their requests. */
public final class SnapshotSlots {
    private final int capacity;
    private final Set<Object> holders = new LinkedHashSet<>();
    private final Set<Object> waiting = new LinkedHashSet<>();
    private int peak;

    public SnapshotSlots(int capacity) {
        this.capacity = capacity;
    }

    /** Whether it holds a slot or has now acquired one; otherwise it is added to the waiting list. */
    public boolean tryAcquire(Object requester) {
        if (holders.contains(requester)) {
            return true;
        }
        waiting.add(requester);
        if (holders.size() < capacity && waiting.iterator().next().equals(requester)) {
            waiting.remove(requester);
            holders.add(requester);
            peak = Math.max(peak, holders.size());
            return true;
        }
        return false;
    }

    /** Releases the slot or leaves the waiting list; returns the next one that may acquire, or null. */
    public Object release(Object requester) {
        holders.remove(requester);
        waiting.remove(requester);
        return holders.size() < capacity && !waiting.isEmpty()
                ? waiting.iterator().next()
                : null;
    }

    /** The highest number of slots held at once so far. */
    public int peak() {
        return peak;
    }
}
