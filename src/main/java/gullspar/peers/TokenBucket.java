package gullspar.peers;

/** A token bucket that holds the tokens of one second. */
final class TokenBucket {
    private static final double SECOND_NS = 1e9;

    private final double perSecond;
    private double tokens;
    private long updatedAt;

    TokenBucket(double perSecond, long now) {
        this.perSecond = perSecond;
        this.tokens = perSecond;
        this.updatedAt = now;
    }

    /** Takes that many tokens; returns false, and takes none, if there are fewer. */
    boolean tryTake(double amount, long now) {
        tokens = Math.min(perSecond, tokens + Math.max(0, now - updatedAt) / SECOND_NS * perSecond);
        updatedAt = Math.max(updatedAt, now);
        if (amount > tokens) {
            return false;
        }
        tokens -= amount;
        return true;
    }

    /** Whether that many tokens are available. */
    boolean canTake(double amount, long now) {
        return tokens + Math.max(0, now - updatedAt) / SECOND_NS * perSecond >= amount;
    }
}
