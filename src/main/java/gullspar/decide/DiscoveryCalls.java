package gullspar.decide;

import gullspar.decide.Balancer.Actions;
import gullspar.decide.Balancer.Settings;
import java.util.SplittableRandom;

/** Schedules requests for the list: regularly where discovery must be polled, and after a failure. */
final class DiscoveryCalls {
    /**
     * Backoff after a failed call; doubles up to the maximum. A change must take effect within 6 s of being
     * available from a reachable discovery; an unanswered call and one that queues behind it take 4.5 s of that.
     */
    private static final long MIN_BACKOFF_NS = 250_000_000L;

    private static final long MAX_BACKOFF_NS = 600_000_000L;

    private final Settings settings;
    private final SplittableRandom random;
    private final Actions actions;
    private long backoffNs = MIN_BACKOFF_NS;
    /** Number of the current call; timers of earlier calls are ignored. */
    private int currentCall;

    DiscoveryCalls(Settings settings, SplittableRandom random, Actions actions) {
        this.settings = settings;
        this.random = random;
        this.actions = actions;
    }

    /** Subscribes to the list, and does so again if no answer comes in time. */
    void subscribe(long now) {
        actions.subscribe(true);
        scheduleAt(now + settings.refreshWithinNs() / 2); // well before the list exceeds its maximum age
    }

    private void scheduleAt(long at) {
        actions.setTimer(at, ++currentCall);
    }

    /** Schedules a retry, as the subscription may be broken. Jitter keeps proxies from calling in step. */
    void onFailure(long now) {
        scheduleAt(now + (long) (backoffNs * (0.5 + random.nextDouble())));
        backoffNs = Math.min(backoffNs * 2, MAX_BACKOFF_NS);
    }

    void onAnswer() {
        currentCall++;
        backoffNs = MIN_BACKOFF_NS;
    }

    void onTimer(long now, long token) {
        if (token == currentCall) {
            subscribe(now);
        }
    }
}
