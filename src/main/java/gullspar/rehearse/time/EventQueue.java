package gullspar.rehearse.time;

import java.util.PriorityQueue;

/**
 * The event queue of a simulation in virtual time. Events are ordered by time; at one instant by a tie-break
 * derived from the seed, the source and the instant; within one source in insertion order. So the order of
 * simultaneous events of different sources (a response and a time-out, a drain notice and a send) varies with
 * the seed and is the same for the same seed.
 */
public final class EventQueue {
    private record Entry(long timeNs, long tieBreak, long sequence, Runnable action) {}

    private final PriorityQueue<Entry> entries = new PriorityQueue<>(1024, (a, b) -> {
        int order = Long.compare(a.timeNs, b.timeNs);
        order = order != 0 ? order : Long.compare(a.tieBreak, b.tieBreak);
        return order != 0 ? order : Long.compare(a.sequence, b.sequence);
    });
    private final long seed;
    private long now;
    private long nextSequence;
    private int lastSource;

    /** Starts at a time in ns, from any origin. */
    public EventQueue(long seed, long start) {
        this.seed = seed;
        this.now = start;
    }

    /** The current virtual time, in ns. */
    public long now() {
        return now;
    }

    /**
     * Returns a new source id. Events of one source keep their order: those of a timer wheel, or of one direction of
     * a connection.
     */
    public int newSource() {
        return ++lastSource;
    }

    /** Schedules an event; one whose time has passed runs at the current time. */
    public void schedule(long time, int source, Runnable action) {
        long t = Math.max(time, now);
        entries.add(new Entry(t, tieBreak(source, t), nextSequence++, action));
    }

    /** Returns whether an event is scheduled at or before the time. */
    public boolean hasEventBy(long until) {
        return !entries.isEmpty() && entries.peek().timeNs <= until;
    }

    /** Advances to the next event and runs it. */
    public void runNext() {
        Entry e = entries.remove();
        now = e.timeNs;
        e.action.run();
    }

    /** Advances to a time before which no event is scheduled. */
    public void advanceTo(long time) {
        now = Math.max(now, time);
    }

    private long tieBreak(int source, long time) {
        return mix(seed ^ mix(time) + source * 0x9e3779b97f4a7c15L);
    }

    /** The finaliser of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014). */
    public static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
