package gullspar.rehearse.time;

import java.util.PriorityQueue;

/**
 * What is still to happen, in virtual time. The order is defined: by time; at one instant by lot, drawn from
 * the seed for each source of events and instant; of one source in the order in which it was entered. So what
 * crosses at one instant (an answer and a time-out, a drain notice and a send) goes now this way and now that
 * with the seed, and for one seed always the same way.
 */
public final class Agenda {
    private record Entry(long at, long lot, long number, Runnable what) {}

    private final PriorityQueue<Entry> entries = new PriorityQueue<>(1024, (a, b) -> {
        int order = Long.compare(a.at, b.at);
        order = order != 0 ? order : Long.compare(a.lot, b.lot);
        return order != 0 ? order : Long.compare(a.number, b.number);
    });
    private final long seed;
    private long now;
    private long numbers;
    private int sources;

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
    public int source() {
        return ++sources;
    }

    /** Enters an event; one that is late happens now. */
    public void at(long time, int source, Runnable what) {
        long t = Math.max(time, now);
        entries.add(new Entry(t, lot(source, t), numbers++, what));
    }

    /** Is anything entered up to that time? */
    public boolean due(long until) {
        return !entries.isEmpty() && entries.peek().at <= until;
    }

    /** Lets the next event happen. */
    public void step() {
        Entry e = entries.remove();
        now = e.at;
        e.what.run();
    }

    /** Goes on to a time up to which nothing is entered. */
    public void skipTo(long time) {
        now = Math.max(now, time);
    }

    private long lot(int source, long time) {
        return mix(seed ^ mix(time) + source * 0x9e3779b97f4a7c15L);
    }

    /** The finaliser of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014). */
    public static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
