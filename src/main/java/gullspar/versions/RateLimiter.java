package gullspar.versions;

/**
 * A token bucket: in any second at most the allowed bytes are sent, plus one frame. 70% of the allowance is
 * refilled per second, 30% is the burst.
 */
public final class RateLimiter {
    private static final double NS_PER_SECOND = 1e9;

    private final double perNs;
    private final double burst;
    private double tokens;
    private long refilledAtNs;

    /** bytesPerSecond: 1 or more. */
    public RateLimiter(long bytesPerSecond, long now) {
        perNs = bytesPerSecond * 0.7 / NS_PER_SECOND;
        burst = bytesPerSecond * 0.3;
        tokens = burst;
        refilledAtNs = now;
    }

    private void refill(long now) {
        tokens = Math.min(burst, tokens + Math.max(0, now - refilledAtNs) * perNs);
        refilledAtNs = Math.max(refilledAtNs, now);
    }

    /** The earliest time to send the next frame; now if immediately. */
    public long readyAtNs(long now) {
        refill(now);
        return tokens > 0 ? now : now + 1 + (long) (-tokens / perNs);
    }

    /** Records sent bytes. */
    public void spend(long now, int bytes) {
        refill(now);
        tokens -= bytes;
    }
}
