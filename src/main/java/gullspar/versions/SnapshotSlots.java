package gullspar.versions;

import java.util.LinkedHashSet;
import java.util.Set;

/** How many followers get a snapshot at the same time; the others wait in the order in which they came. */
public final class SnapshotSlots {
    private final int capacity;
    private final Set<Object> holders = new LinkedHashSet<>();
    private final Set<Object> waiting = new LinkedHashSet<>();
    private int peak;

    public SnapshotSlots(int capacity) {
        this.capacity = capacity;
    }

    /** Has it a turn? If not, it waits for one from now on. */
    public boolean tryAcquire(Object who) {
        if (holders.contains(who)) {
            return true;
        }
        waiting.add(who);
        if (holders.size() < capacity && waiting.iterator().next().equals(who)) {
            waiting.remove(who);
            holders.add(who);
            peak = Math.max(peak, holders.size());
            return true;
        }
        return false;
    }

    /** It is done, or has gone; the next one that may come, null for none. */
    public Object release(Object who) {
        holders.remove(who);
        waiting.remove(who);
        return holders.size() < capacity && !waiting.isEmpty()
                ? waiting.iterator().next()
                : null;
    }

    /** How many had one at once, at the most so far. */
    public int peak() {
        return peak;
    }
}
