package gullspar.rehearse.stage;

import java.util.ArrayDeque;
import java.util.Deque;

/** The recent history of a node's capacity; the caller passes the time. */
final class CapacityHistory {
    /** A capacity in ns of work per ns, valid from that time on. */
    private record Change(long at, double capacity) {}

    private final Deque<Change> changes = new ArrayDeque<>();

    /** Records the capacity that is valid from now on. */
    void record(long now, double capacity) {
        if (!changes.isEmpty() && changes.peekLast().at == now) {
            changes.removeLast();
        }
        if (changes.isEmpty() || changes.peekLast().capacity != capacity) {
            changes.addLast(new Change(now, capacity));
        }
    }

    /**
     * The work, in ns, that the node could have done in the span that ends now. The first recorded capacity
     * also counts for the time before it.
     */
    double workNs(long spanNs, long now) {
        long from = now - spanNs;
        // The last change before the span holds the capacity at its start.
        while (changes.size() > 1 && second().at <= from) {
            changes.removeFirst();
        }
        double work = 0;
        long until = now;
        for (var i = changes.descendingIterator(); i.hasNext(); ) {
            Change s = i.next();
            long since = i.hasNext() ? Math.max(from, s.at) : from;
            work += s.capacity * Math.max(0, until - since);
            until = Math.min(until, s.at);
        }
        return work;
    }

    private Change second() {
        var i = changes.iterator();
        i.next();
        return i.next();
    }
}
