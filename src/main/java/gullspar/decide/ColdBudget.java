package gullspar.decide;

import gullspar.decide.Balancer.Settings;

/**
 * Token bucket that limits what this proxy sends to a cold server. Its rate is this proxy's rate to the average
 * server of the zone, scaled up by its subset, times the overload multiple and the warmth: if every proxy does
 * the same, the total stays below the multiple of the server's capacity, however unevenly traffic is spread over
 * the proxies. The rate is lower if the server reports itself busy, as its cold capacity may be reduced further.
 *
 * <p>Requests that were not sent to any server count as well, up to this proxy's even share of the server's
 * capacity. Otherwise, in a fleet that is cold as a whole, each limit would reduce the sends that the next is
 * computed from, and a proxy with no history would never send more.
 */
final class ColdBudget {
    /** Share of the budget used; the rest covers bursts and proxies with other estimates. */
    private static final double SAFETY_SHARE = 0.6;

    private final Settings settings;
    private final ZoneStats zones;
    private final TrafficRates rates;
    private final ServerWeights weights;

    ColdBudget(Settings settings, ZoneStats zones, TrafficRates rates, ServerWeights weights) {
        this.settings = settings;
        this.zones = zones;
        this.rates = rates;
        this.weights = weights;
    }

    /** Whether a request may be sent there now; subset is how many servers of a zone this proxy uses. */
    boolean allows(Server s, double subset, long now) {
        double warmth = weights.warmth(s, now);
        if (warmth >= 1) {
            return true;
        }
        double rate = rate(s, warmth, subset, now);
        s.tokens = Math.min(
                Math.max(1, rate * settings.overloadWindowNs() / 2), s.tokens + rate * (now - s.tokensUpdatedAt));
        s.tokensUpdatedAt = now;
        return s.tokens >= 1;
    }

    /** Requests per ns. */
    private double rate(Server s, double warmth, double subset, long now) {
        int ready = Math.max(1, zones.readyCount(s.zone()));
        double ownRate = zones.sendsPerServer(s.zone())
                / rates.effectiveWindowNs(TrafficRates.SENDS_DECAY_NS, now)
                * Math.max(1, zones.readyCount(s.zone()) / subset);
        double demandRate = ownRate + rates.unsent / rates.effectiveWindowNs(ZoneStats.LOAD_DECAY_NS, now) / ready;
        double evenRate = s.concurrency / s.serviceNs / Math.max(1, settings.proxyCount());
        ownRate = Math.max(ownRate, Math.min(demandRate, evenRate));
        double idleFactor = Math.min(1, 2 * Math.max(ServerWeights.MIN_SPARE_SHARE, s.spareShare));
        return SAFETY_SHARE
                * idleFactor
                * Math.max(
                        ownRate * settings.overloadMultiple() * warmth,
                        1.0 / settings.overloadWindowNs() / Math.max(1, settings.proxyCount()));
    }
}
