package gullspar.peers;

/**
 * How far this process may trust its own hearing (Lifeguard's local health multiplier): who stood still, or
 * has no CPU, misses answers that came in time. The worse it is, the longer it waits and the seldomer it
 * asks.
 */
final class SelfHealth {
    private final int maxScore;
    private int score;

    SelfHealth(int maxScore) {
        this.maxScore = maxScore;
    }

    /** For the worse (more than 0) or the better. */
    void adjust(int delta) {
        score = Math.max(0, Math.min(maxScore, score + delta));
    }

    /** 0 is well. */
    int score() {
        return score;
    }

    /** A time as it is now, in ns. */
    long scale(long ns) {
        return ns * (score + 1);
    }
}
