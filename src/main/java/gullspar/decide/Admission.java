package gullspar.decide;

import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Settings;

/** Which requests are refused before they are sent: those too late to be served in time, and a throttle. */
final class Admission {
    /** Attempts lately sent for each served, and as many more to find out; from so many lost. */
    private static final double THROTTLE_RATIO = 1.2;

    private static final double THROTTLE_MIN_SENDS = 1;
    private static final double THROTTLE_MIN_LOST = 0.7;
    /** Share of the arrivals that may go out while fewer than that were served. */
    private static final double THROTTLE_TRIAL_SHARE = 0.3;
    /** Requests that wait are looked at this often, besides at each answer, in ns. */
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
     * When an answer stops earning anything. A client's repeat with less time than first tries have has
     * waited since the first, and what lay unread since it was sent: the promise counts from there. Guards
     * against work for late answers; hurts where marked repeats come short of time for another reason.
     */
    long usefulUntil(Request r, Profile p, long now) {
        long maxTimeLeftNs = classes.recordRequest(r.profile(), r.timeLeftNs());
        long waitedNs = r.isRepeat() && r.timeLeftNs() < maxTimeLeftNs - settings.clockStepNs()
                ? p.clientTimeoutNs() - r.timeLeftNs()
                : 0;
        return now + Math.min(r.timeLeftNs(), p.latencyTargetNs() - Math.max(waitedNs, r.ageNs()));
    }

    /**
     * Most sends are lost: no more go out than so many for each served. Where few were served lately, a share
     * of the arrivals goes out all the same. That guards against a proxy that loses its first sends, by its
     * own slow start or a short outage: with nothing sent nothing is served, and the throttle stays shut.
     */
    boolean isThrottled() {
        double trialSends = Math.max(THROTTLE_MIN_SENDS, THROTTLE_TRIAL_SHARE * rates.arrivals - rates.servedInTime);
        return rates.lost >= THROTTLE_MIN_LOST && rates.sent > THROTTLE_RATIO * rates.servedInTime + trialSends;
    }

    /**
     * Has a request less time left than half of its class's answers took? Guards against work for clients
     * that will have left: of little patience, or held here for long.
     */
    boolean isHopeless(TrackedRequest t, long now) {
        return t.usefulUntil - now < classes.typicalNs(t.request.profile())
                || now >= t.deadline - WAITING_CHECK_NS - 2 * settings.clockStepNs();
    }
}
