package gullspar.peers;

import java.util.HashSet;
import java.util.Set;

/**
 * A suspicion and the time until it is believed. With each confirmation by somebody else it shrinks, from
 * the most to the least: least &lt;= most - (most - least) log(c + 1) / log(k + 1) (Lifeguard, section
 * IV.B). So one process with bad hearing needs long to convict, and many that agree do not.
 */
final class Suspicion {
    private final int incarnation;
    private final int wanted;
    private final Set<String> accusers = new HashSet<>();
    private final long least;
    private final long most;
    private long since;

    Suspicion(int incarnation, String by, int wanted, long least, long most, long now) {
        this.incarnation = incarnation;
        this.wanted = wanted;
        this.least = least;
        this.most = wanted == 0 ? least : most;
        this.since = now;
        accusers.add(by);
    }

    int incarnation() {
        return incarnation;
    }

    /** Somebody accuses as well; true if that is news, and still wanted. */
    boolean confirm(String by) {
        return accusers.size() <= wanted && accusers.add(by);
    }

    /** When it is believed, in ns. */
    long endsAt() {
        if (wanted == 0) {
            return since + least;
        }
        double part = Math.log(accusers.size()) / Math.log(wanted + 1.0);
        return since + Math.max(least, most - (long) ((most - least) * part));
    }

    /** This process stood still meanwhile: the accused had no chance to be heard. */
    void pausedFor(long ns) {
        since += ns;
    }
}
