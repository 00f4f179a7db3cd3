package gullspar.peers;

/** So much a second, and a second's worth at once: a token bucket. */
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

    /** Takes as much if it is there; false, and nothing taken, if not. */
    boolean tryTake(double amount, long now) {
        tokens = Math.min(perSecond, tokens + Math.max(0, now - updatedAt) / SECOND_NS * perSecond);
        updatedAt = Math.max(updatedAt, now);
        if (amount > tokens) {
            return false;
        }
        tokens -= amount;
        return true;
    }

    /** Is there at least that much? */
    boolean canTake(double amount, long now) {
        return tokens + Math.max(0, now - updatedAt) / SECOND_NS * perSecond >= amount;
    }
}
