package gullspar.decide;

import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Settings;

/** Decides which requests are not sent: those that cannot be served in time, and those beyond the throttle. */
final class Admission {
    private static final double THROTTLE_RATIO = 1.2; // recent attempts allowed per attempt served in time
    private static final double THROTTLE_MIN_SENDS = 1; // attempts always allowed beyond that
    private static final double THROTTLE_MIN_LOST = 0.7; // recent losses from which sends are limited
    /** Share of the arrivals that may be sent while fewer than that were served. */
    private static final double THROTTLE_TRIAL_SHARE = 0.3;
    /** Interval at which waiting requests are checked, besides at each outcome. */
    static final long WAITING_CHECK_NS = 20_000_000L;

    private final Settings settings;
    private final Classes classes;
    private final TrafficRates rates;

    Admission(Settings settings, Classes classes, TrafficRates rates) {
        this.settings = settings;
        this.classes = classes;
        this.rates = rates;
    }

    /**
     * The time after which an answer misses its latency target. For a client's repeat with less time left
     * than first tries have, the target counts from the first try; for a request that was unread for some time, from
     * when the client sent it. This avoids work on late answers; it is wrong if a repeat has less time for another
     * reason.
     */
    long usefulUntil(Request r, Profile p, long now) {
        long maxTimeLeftNs = classes.recordRequest(r.profile(), r.timeLeftNs());
        long waitedNs = r.isRepeat() && r.timeLeftNs() < maxTimeLeftNs - settings.clockStepNs()
                ? p.clientTimeoutNs() - r.timeLeftNs()
                : 0;
        return now + Math.min(r.timeLeftNs(), p.latencyTargetNs() - Math.max(waitedNs, r.ageNs()));
    }

    /**
     * Limits sends to a multiple of those served while most are lost. If few were served recently, a share of
     * the arrivals is still sent: a proxy that lost its first sends, by its own slow start or a short outage,
     * would otherwise send nothing, have nothing served, and stay throttled.
     */
    boolean isThrottled() {
        double trialSends = Math.max(THROTTLE_MIN_SENDS, THROTTLE_TRIAL_SHARE * rates.arrivals - rates.servedInTime);
        return rates.lost >= THROTTLE_MIN_LOST && rates.sent > THROTTLE_RATIO * rates.servedInTime + trialSends;
    }

    /**
     * Whether a request has less time left than half of its class's answers took. Avoids work for clients that will
     * have disconnected by then, as their timeout is short or the request has waited in the proxy for long.
     */
    boolean hasTooLittleTime(TrackedRequest t, long now) {
        return t.usefulUntil - now < classes.typicalNs(t.request.profile())
                || now >= t.deadline - WAITING_CHECK_NS - 2 * settings.clockStepNs();
    }
}
