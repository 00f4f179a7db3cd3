package gullspar.decide;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Scope;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.TrackedRequest.Attempt;
import java.util.List;

/**
 * Smooth weighted rotation over the eligible servers, own zone first. An ejected server gets a trial request
 * when one is due.
 */
final class Rotation {
    /** A server has room while its queued work takes at most this share of the time left to the latency target. */
    private static final double MAX_WORK_SHARE = 0.25;

    /** Totals of one pass over the servers, for the own zone or for the others. */
    private static final class ZoneTotals {
        double weight;
        /** Sum of weights times expected response times. */
        double weightedTimeNs;
        /** Sum of the weights of servers with room. */
        double openWeight;
    }

    private final Settings settings;
    private final List<Server> servers;
    private final ZoneStats zones;
    private final ServerWeights weights;
    private final Ejection ejection;
    private final ColdBudget coldBudget;
    private final Classes classes;
    private double minLatencyTargetNs;
    private double meanWorth;
    /** No server was eligible in the last pass. */
    private boolean noneEligible;

    Rotation(
            Settings settings,
            List<Server> servers,
            ZoneStats zones,
            ServerWeights weights,
            Ejection ejection,
            ColdBudget coldBudget,
            Classes classes) {
        this.settings = settings;
        this.servers = servers;
        this.zones = zones;
        this.weights = weights;
        this.ejection = ejection;
        this.coldBudget = coldBudget;
        this.classes = classes;
    }

    /** Sets the shortest latency target and the mean worth of all classes. */
    void setTargets(double latencyTargetNs, double worth) {
        minLatencyTargetNs = latencyTargetNs;
        meanWorth = worth;
    }

    /**
     * Returns the server for a request; null if there is none.
     *
     * @param binding the attempt that restricts further ones, null if none does
     * @param subset how many servers of a zone this proxy uses for first attempts
     */
    Server pick(TrackedRequest t, Attempt binding, double subset, long now) {
        Server s = select(t, binding, t.attempts.size() > 0 ? Double.MAX_VALUE : subset, subset, now);
        return s == null && noneEligible ? select(t, binding, Double.MAX_VALUE, subset, now) : s;
    }

    /** One pass over the servers; width is how many servers of each zone it considers, in the order of the subset. */
    private Server select(TrackedRequest t, Attempt binding, double width, double subset, long now) {
        ZoneTotals own = new ZoneTotals();
        ZoneTotals other = new ZoneTotals();
        noneEligible = true;
        double maxWorkNs = classes.usableTimeNs(t.request.profile(), t.usefulUntil - now) * MAX_WORK_SHARE;
        for (Server s : servers) {
            boolean isOwnZone = s.zone() == settings.zone();
            int margin = isOwnZone ? 0 : 1; // a subset has one server fewer in other zones
            s.isEligible = s.subsetPosition * zones.readyCount(s.zone()) < width - margin
                    && isEligible(s, t, binding, subset, now);
            if (!s.isEligible) {
                continue;
            }
            if (!s.isEjected && ejection.isSilent(s, minLatencyTargetNs, now)) {
                ejection.eject(s, now);
            }
            if (s.isEjected) {
                if (startTrialIfDue(s, t, binding, now)) {
                    return s;
                }
                s.isEligible = false;
                continue;
            }
            noneEligible = false;
            add(isOwnZone ? own : other, s, maxWorkNs, now);
        }
        return choose(t, own, other, now);
    }

    /** A trial is one request with no attempt that may have run; AT_MOST_ONCE only if the server has none open. */
    private boolean startTrialIfDue(Server s, TrackedRequest t, Attempt binding, long now) {
        boolean isDue = now >= s.nextTrialAt
                && binding == null
                && (s.openAttempts == 0 || t.profile.effect() != Effect.AT_MOST_ONCE);
        if (isDue) {
            ejection.eject(s, now);
        }
        return isDue;
    }

    private void add(ZoneTotals totals, Server s, double maxWorkNs, long now) {
        double serviceNs = s.serviceNs / weights.warmth(s, now);
        double weight = weights.weight(s);
        totals.weight += weight;
        // Without a reported request count, the utilization gives the expected wait.
        double waitFactor = s.lacksInflight ? 1 / Math.max(ServerWeights.MIN_SPARE_SHARE, s.spareShare) : 1;
        totals.weightedTimeNs += weight * serviceNs * (s.load() + 1) * waitFactor;
        s.isEligible = serviceNs * s.load() <= maxWorkNs;
        totals.openWeight += s.isEligible ? weight : 0;
    }

    private Server choose(TrackedRequest t, ZoneTotals own, ZoneTotals other, long now) {
        // Leaving the zone must save worth, except for ranked classes: their short queues do not show the wait.
        boolean canCross = lostWorthShare(own, t, now) - lostWorthShare(other, t, now) > settings.crossZonePrice()
                || own.openWeight == 0 && classes.isRanked(t.request.profile());
        Server best = null;
        // Credits are in requests, not weights, as weights may change a hundredfold in a second.
        double total = own.openWeight + (canCross ? other.openWeight : 0);
        for (Server s : servers) {
            if (s.isEligible && (canCross || s.zone() == settings.zone())) {
                s.rotationCredit += weights.weight(s) / total;
                best = best == null || s.rotationCredit > best.rotationCredit ? s : best;
            }
        }
        if (best != null) {
            best.rotationCredit--;
        }
        return best;
    }

    /** Share of a mean request's worth lost by missing the latency target at the expected response time. */
    private double lostWorthShare(ZoneTotals totals, TrackedRequest t, long now) {
        double expected = totals.weight > 0 ? totals.weightedTimeNs / totals.weight : Double.MAX_VALUE;
        double lateProbability = Math.exp(-Math.max(1, t.usefulUntil - now) / Math.max(1, expected));
        return lateProbability * t.profile.worth() / meanWorth * (1 - t.profile.lateShare());
    }

    /** Whether this server may get this request. A repeat of one that may have run stays where repeats are dropped. */
    private boolean isEligible(Server s, TrackedRequest t, Attempt binding, double subset, long now) {
        if (!s.isReady() || !coldBudget.allows(s, subset, now)) {
            return false;
        }
        for (Attempt a : t.attempts) {
            if (a.server.id == s.id) {
                return false;
            }
        }
        if (binding == null || t.profile.effect() != Effect.DEDUPLICATED || t.profile.scope() == Scope.ALL) {
            return true;
        }
        // The server's zone and cell at the first attempt; the list may have changed them since.
        return s.zone() == binding.listedAs.zone()
                && (t.profile.scope() == Scope.ZONE || s.listed.cell() == binding.listedAs.cell());
    }
}
