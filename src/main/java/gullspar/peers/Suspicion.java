package gullspar.peers;

import java.util.HashSet;
import java.util.Set;

/**
 * A suspicion and its time-out. With c of at most k confirmations by other members the time-out shrinks from the
 * maximum to the minimum: max(min, max - (max - min) log(c + 1) / log(k + 1)) (Lifeguard, section IV.B). So a single
 * process that loses datagrams takes long to get a member marked as gone, and several that agree do not.
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

    /** Records another accuser; true if it is a new one, and a further confirmation still counts. */
    boolean confirm(String accuser) {
        return accusers.size() <= maxConfirmations && accusers.add(accuser);
    }

    /** When it times out, in ns. */
    long expiresAt() {
        if (maxConfirmations == 0) {
            return startedAt + minNs;
        }
        double fraction = Math.log(accusers.size()) / Math.log(maxConfirmations + 1.0);
        return startedAt + Math.max(minNs, maxNs - (long) ((maxNs - minNs) * fraction));
    }

    /** Extends the time-out by a pause of this process, during which a refutation could not be received. */
    void extend(long ns) {
        startedAt += ns;
    }
}
