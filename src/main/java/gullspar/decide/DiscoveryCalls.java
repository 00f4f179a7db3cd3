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
    private static final long FIRST_PAUSE_NS = 250_000_000L;

    private static final long MOST_PAUSE_NS = 600_000_000L;

    private final Settings settings;
    private final SplittableRandom random;
    private final Actions out;
    private long pauseNs = FIRST_PAUSE_NS;
    /** Calls are numbered: the timer of an earlier one is void. */
    private int calls;

    DiscoveryCalls(Settings settings, SplittableRandom random, Actions out) {
        this.settings = settings;
        this.random = random;
        this.out = out;
    }

    void ask(long now) {
        out.subscribe(true);
        askAt(now + settings.askWithinNs() / 2); // well before an unheard list would bind this proxy
    }

    private void askAt(long at) {
        out.timer(at, ++calls);
    }

    /** A failure may mean a broken subscription. Jitter keeps the proxies from asking in step. */
    void failed(long now) {
        askAt(now + (long) (pauseNs * (0.5 + random.nextDouble())));
        pauseNs = Math.min(pauseNs * 2, MOST_PAUSE_NS);
    }

    /** The call is answered. */
    void answered() {
        calls++;
        pauseNs = FIRST_PAUSE_NS;
    }

    void onTimer(long now, long token) {
        if (token == calls) {
            ask(now);
        }
    }
}
