package gullspar.peers;

/**
 * Lifeguard's local health multiplier: a process that was paused or lacks CPU misses answers that arrived in time. The
 * higher its score, the longer it waits for answers and the less often it probes.
 */
final class SelfHealth {
    private final int maxScore;
    private int score;

    SelfHealth(int maxScore) {
        this.maxScore = maxScore;
    }

    /** Changes the score: a positive delta makes the health worse. */
    void adjust(int delta) {
        score = Math.max(0, Math.min(maxScore, score + delta));
    }

    /** The score; 0 is healthy. */
    int score() {
        return score;
    }

    /** Scales a time by the current score, in ns. */
    long scale(long ns) {
        return ns * (score + 1);
    }
}
