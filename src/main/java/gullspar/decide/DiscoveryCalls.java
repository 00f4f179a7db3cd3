package gullspar.decide;

import gullspar.decide.Balancer.Actions;
import gullspar.decide.Balancer.Settings;
import java.util.SplittableRandom;

/** When discovery is asked for the list: regularly where it has to be asked, and again after a failure. */
final class DiscoveryCalls {
    /**
     * First pause before discovery is asked again after a failure; it doubles, up to the other. A change
     * counts 6 s after discovery had it and could be reached, and a call that is never answered and one that
     * waits in turn take 4.5 of them. In ns.
     */
    private static final long MIN_BACKOFF_NS = 250_000_000L;

    private static final long MAX_BACKOFF_NS = 600_000_000L;

    private final Settings settings;
    private final SplittableRandom random;
    private final Actions actions;
    private long backoffNs = MIN_BACKOFF_NS;
    /** Calls are numbered: the timer of an earlier one is void. */
    private int currentCall;

    DiscoveryCalls(Settings settings, SplittableRandom random, Actions actions) {
        this.settings = settings;
        this.random = random;
        this.actions = actions;
    }

    void requestList(long now) {
        actions.subscribe(true);
        requestListAt(now + settings.refreshWithinNs() / 2); // well before an unheard list would bind this proxy
    }

    private void requestListAt(long at) {
        actions.setTimer(at, ++currentCall);
    }

    /** A failure may mean a broken subscription. Jitter keeps the proxies from asking in step. */
    void onFailure(long now) {
        requestListAt(now + (long) (backoffNs * (0.5 + random.nextDouble())));
        backoffNs = Math.min(backoffNs * 2, MAX_BACKOFF_NS);
    }

    /** The call is answered. */
    void onAnswer() {
        currentCall++;
        backoffNs = MIN_BACKOFF_NS;
    }

    void onTimer(long now, long token) {
        if (token == currentCall) {
            requestList(now);
        }
    }
}
