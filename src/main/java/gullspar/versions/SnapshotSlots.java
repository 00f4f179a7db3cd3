package gullspar.versions;

import java.util.LinkedHashSet;
import java.util.Set;

/** How many followers get a snapshot at the same time; the others wait in the order in which they came. */
public final class SnapshotSlots {
    private final int most;
    private final Set<Object> have = new LinkedHashSet<>();
    private final Set<Object> wait = new LinkedHashSet<>();
    private int highest;

    public SnapshotSlots(int most) {
        this.most = most;
    }

    /** Has it a turn? If not, it waits for one from now on. */
    public boolean has(Object who) {
        if (have.contains(who)) {
            return true;
        }
        wait.add(who);
        if (have.size() < most && wait.iterator().next().equals(who)) {
            wait.remove(who);
            have.add(who);
            highest = Math.max(highest, have.size());
            return true;
        }
        return false;
    }

    /** It is done, or has gone; the next one that may come, null for none. */
    public Object over(Object who) {
        have.remove(who);
        wait.remove(who);
        return have.size() < most && !wait.isEmpty() ? wait.iterator().next() : null;
    }

    /** How many had one at once, at the most so far. */
    public int highest() {
        return highest;
    }
}
