package gullspar.peers;

/** So much a second, and a second's worth at once: a token bucket. */
final class Allowance {
    private static final double SECOND_NS = 1e9;

    private final double perSecond;
    private double left;
    private long at;

    Allowance(double perSecond, long now) {
        this.perSecond = perSecond;
        this.left = perSecond;
        this.at = now;
    }

    /** Takes as much if it is there; false, and nothing taken, if not. */
    boolean take(double amount, long now) {
        left = Math.min(perSecond, left + Math.max(0, now - at) / SECOND_NS * perSecond);
        at = Math.max(at, now);
        if (amount > left) {
            return false;
        }
        left -= amount;
        return true;
    }

    /** Is there at least that much? */
    boolean has(double amount, long now) {
        return left + Math.max(0, now - at) / SECOND_NS * perSecond >= amount;
    }
}
