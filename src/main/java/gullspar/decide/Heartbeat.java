package gullspar.decide;

/**
 * The timer by which the module notices that the proxy has stalled; it is set again if the host has lost it.
 */
final class Heartbeat {
    /** Interval of the timer. */
    static final long INTERVAL_NS = 50_000_000L;
    /** A timer this late is not delivered any more: an error has kept the host from setting it. */
    private static final long LOST_AFTER_NS = 1_000_000_000L;

    private final Balancer.Actions actions;
    private final long token;
    private long dueAt;

    /** Creates it and sets the timer for the first time; token is its token. */
    Heartbeat(Balancer.Actions actions, long token, long now) {
        this.actions = actions;
        this.token = token;
        set(now);
    }

    private void set(long now) {
        dueAt = now + INTERVAL_NS;
        actions.setTimer(dueAt, token);
    }

    void onTimer(long now) {
        if (now >= dueAt) {
            set(now);
        }
    }

    /** To be called at every event. */
    void setIfLost(long now) {
        if (now - dueAt > LOST_AFTER_NS) {
            set(now);
        }
    }
}
