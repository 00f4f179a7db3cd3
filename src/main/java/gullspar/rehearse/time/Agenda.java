package gullspar.rehearse.time;

import java.util.PriorityQueue;

/**
 * What is still to happen, in virtual time. The order is defined: by time; at one instant by lot, drawn from
 * the seed for each source of events and instant; of one source in the order in which it was entered. So what
 * crosses at one instant (an answer and a time-out, a drain notice and a send) goes now this way and now that
 * with the seed, and for one seed always the same way.
 */
public final class Agenda {
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

    /** Begins at a time in ns, from any origin. */
    public Agenda(long seed, long start) {
        this.seed = seed;
        this.now = start;
    }

    /** The time of what is happening, in ns. */
    public long now() {
        return now;
    }

    /**
     * A number for whoever enters events whose own order must be kept: a timer wheel, one way of a
     * connection.
     */
    public int newSource() {
        return ++lastSource;
    }

    /** Enters an event; one that is late happens now. */
    public void schedule(long time, int source, Runnable action) {
        long t = Math.max(time, now);
        entries.add(new Entry(t, tieBreak(source, t), nextSequence++, action));
    }

    /** Is anything entered up to that time? */
    public boolean hasEventBy(long until) {
        return !entries.isEmpty() && entries.peek().timeNs <= until;
    }

    /** Lets the next event happen. */
    public void runNext() {
        Entry e = entries.remove();
        now = e.timeNs;
        e.action.run();
    }

    /** Goes on to a time up to which nothing is entered. */
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
