package gullspar.decide;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Scope;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.TrackedRequest.Attempt;
import java.util.List;

/**
 * Smooth weighted rotation over the servers that may get a request, of the own zone first. A server that is
 * ejected gets a trial when it is due.
 */
final class Rotation {
    /** A server has room while the work ahead takes this share of what is left of a promise. */
    private static final double MAX_WORK_SHARE = 0.25;

    /** What one pass over the servers adds up, of the own zone or of the others. */
    private static final class ZoneTotals {
        double weight;
        /** Weights times expected times, in ns. */
        double weightedTimeNs;
        /** Weights of those with room. */
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
    /** No server was fit in the last pass. */
    private boolean noneEligible;

    Rotation(
            Settings settings,
            List<Server> servers,
            ZoneStats zones,
            ServerWeights weights,
            Ejection ejection,
            ColdBudget cold,
            Classes classes) {
        this.settings = settings;
        this.servers = servers;
        this.zones = zones;
        this.weights = weights;
        this.ejection = ejection;
        this.coldBudget = cold;
        this.classes = classes;
    }

    /** The shortest promise and the mean worth of all classes. */
    void setTargets(double latencyTargetNs, double worth) {
        minLatencyTargetNs = latencyTargetNs;
        meanWorth = worth;
    }

    /**
     * The server that a request goes to; null if there is none.
     *
     * @param bound the attempt that binds further ones, null if none does
     * @param subset how many servers of a zone this proxy uses for first attempts
     */
    Server pick(TrackedRequest t, Attempt binding, double subset, long now) {
        Server s = select(t, binding, t.attempts.size() > 0 ? Double.MAX_VALUE : subset, subset, now);
        return s == null && noneEligible ? select(t, binding, Double.MAX_VALUE, subset, now) : s;
    }

    private Server select(TrackedRequest t, Attempt binding, double width, double subset, long now) {
        ZoneTotals own = new ZoneTotals();
        ZoneTotals other = new ZoneTotals();
        noneEligible = true;
        double maxWorkNs = classes.usableTimeNs(t.request.profile(), t.usefulUntil - now) * MAX_WORK_SHARE;
        for (Server s : servers) {
            boolean isOwnZone = s.zone() == settings.zone();
            int margin = isOwnZone ? 0 : 1; // of another zone one fewer
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

    /** A trial: one request at a time that is still whole, and none that could be lost with it. */
    private boolean startTrialIfDue(Server s, TrackedRequest t, Attempt binding, long now) {
        boolean isDue = now >= s.nextTrialAt
                && binding == null
                && (s.openAttempts == 0 || t.profile.effect() != Effect.AT_MOST_ONCE);
        if (isDue) {
            ejection.eject(s, now);
        }
        return isDue;
    }

    private void add(ZoneTotals side, Server s, double maxWorkNs, long now) {
        double serviceNs = s.serviceNs / weights.warmth(s, now);
        double weight = weights.weight(s);
        side.weight += weight;
        // Where no report tells what a server holds, its busy share tells how long one waits there.
        double waitFactor = s.lacksInflight ? 1 / Math.max(ServerWeights.MIN_SPARE_SHARE, s.spareShare) : 1;
        side.weightedTimeNs += weight * serviceNs * (s.load() + 1) * waitFactor;
        s.isEligible = serviceNs * s.load() <= maxWorkNs;
        side.openWeight += s.isEligible ? weight : 0;
    }

    private Server choose(TrackedRequest t, ZoneTotals own, ZoneTotals other, long now) {
        // Own zone first: crossing must save worth. Where classes give way short queues tell of no wait.
        boolean canCross = lostWorthShare(own, t, now) - lostWorthShare(other, t, now) > settings.crossZonePrice()
                || own.openWeight == 0 && classes.isRanked(t.request.profile());
        Server best = null;
        // Tallies count in requests: a debt must not outlast weights that change a hundredfold in a second.
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

    /** Share of a mean request's worth lost by missing the promise, at the rotation's expected time. */
    private double lostWorthShare(ZoneTotals side, TrackedRequest t, long now) {
        double expected = side.weight > 0 ? side.weightedTimeNs / side.weight : Double.MAX_VALUE;
        double p = Math.exp(-Math.max(1, t.usefulUntil - now) / Math.max(1, expected));
        return p * t.profile.worth() / meanWorth * (1 - t.profile.lateShare());
    }

    /** May this server get this request? A repeat of what may have run stays where repeats are dropped. */
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
        // Where that was when it got the first: the list may have moved it since.
        return s.zone() == binding.listedAs.zone()
                && (t.profile.scope() == Scope.ZONE || s.listed.cell() == binding.listedAs.cell());
    }
}
