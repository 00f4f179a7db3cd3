package gullspar.rehearse.stage;

import java.util.ArrayDeque;
import java.util.Deque;

/** What a node could do over the last while, as that changed: no clock of its own. */
final class CapacityHistory {
    /** From a time on it could do so much, in ns of work in a ns. */
    private record Change(long at, double capacity) {}

    private final Deque<Change> changes = new ArrayDeque<>();

    /** From now on it can do that. */
    void record(long now, double capacity) {
        if (!changes.isEmpty() && changes.peekLast().at == now) {
            changes.removeLast();
        }
        if (changes.isEmpty() || changes.peekLast().capacity != capacity) {
            changes.addLast(new Change(now, capacity));
        }
    }

    /**
     * All the work that it could have done in the time up to now, in ns; before the first word it was as
     * then.
     */
    double workNs(long spanNs, long now) {
        long from = now - spanNs;
        // Of those before the span the last one says how it began.
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
