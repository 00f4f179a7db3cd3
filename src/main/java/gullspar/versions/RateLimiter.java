package gullspar.versions;

/**
 * A token bucket: in any second no more goes out than the allowance, but for one frame. Seven tenths of it
 * come back in a second, three tenths may be spent at once.
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

    /** From when on the next frame may go: now or earlier if at once. */
    public long readyAtNs(long now) {
        refill(now);
        return tokens > 0 ? now : now + 1 + (long) (-tokens / perNs);
    }

    /** So many bytes have gone. */
    public void spend(long now, int bytes) {
        refill(now);
        tokens -= bytes;
    }
}
