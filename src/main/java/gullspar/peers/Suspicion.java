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
    private final int maxConfirmations;
    private final Set<String> accusers = new HashSet<>();
    private final long minNs;
    private final long maxNs;
    private long startedAt;

    Suspicion(int incarnation, String accuser, int maxConfirmations, long minNs, long maxNs, long now) {
        this.incarnation = incarnation;
        this.maxConfirmations = maxConfirmations;
        this.minNs = minNs;
        this.maxNs = maxConfirmations == 0 ? minNs : maxNs;
        this.startedAt = now;
        accusers.add(accuser);
    }

    int incarnation() {
        return incarnation;
    }

    /** Somebody accuses as well; true if that is news, and still wanted. */
    boolean confirm(String accuser) {
        return accusers.size() <= maxConfirmations && accusers.add(accuser);
    }

    /** When it is believed, in ns. */
    long expiresAt() {
        if (maxConfirmations == 0) {
            return startedAt + minNs;
        }
        double fraction = Math.log(accusers.size()) / Math.log(maxConfirmations + 1.0);
        return startedAt + Math.max(minNs, maxNs - (long) ((maxNs - minNs) * fraction));
    }

    /** This process stood still meanwhile: the accused had no chance to be heard. */
    void extend(long ns) {
        startedAt += ns;
    }
}
