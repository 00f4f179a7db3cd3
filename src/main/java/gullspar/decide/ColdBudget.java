package gullspar.decide;

import gullspar.decide.Balancer.Settings;

/**
 * How much a cold server gets from this proxy: a token bucket. Its rate is what this proxy sent to the
 * average server of that zone, for as many as its subset leaves to it, times the multiple and the warmth: if
 * every peer does the same, all together stay under the multiple of what the server can do, however unevenly
 * the traffic falls on them. Less where the server reports itself busy: something else may hold down what it
 * can do while cold.
 *
 * <p>Requests that no server got count as well, up to this proxy's even part of what the server can do.
 * Guards against a fleet that is cold as a whole: by its sends alone a proxy would be held to less than it
 * sent, send less for it, and be held to less again. One with no past would never get out of that.
 */
final class ColdBudget {
    /** Part of the budget that this proxy uses; bursts and peers that see it otherwise take the rest. */
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

    /** May a request go there now? subset: how many servers of a zone this proxy uses. */
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

    /** Requests in a ns. */
    private double rate(Server s, double warmth, double subset, long now) {
        int ready = Math.max(1, zones.readyCount(s.zone()));
        double ownRate = zones.sendsPerServer(s.zone())
                / rates.effectiveWindowNs(TrafficRates.DECAY_NS, now)
                * Math.max(1, zones.readyCount(s.zone()) / subset);
        double demandRate = ownRate + rates.unsent / rates.effectiveWindowNs(ZoneStats.DECAY_NS, now) / ready;
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
