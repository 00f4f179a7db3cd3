package gullspar.decide;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Scope;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.Ticket.Attempt;
import java.util.List;

/**
 * Smooth weighted rotation over the servers that may get a request, of the own zone first. A server that is
 * ejected gets a trial when it is due.
 */
final class Rotation {
    /** A server has room while the work ahead takes this share of what is left of a promise. */
    private static final double ADMIT = 0.25;

    /** What one pass over the servers adds up, of the own zone or of the others. */
    private static final class Side {
        double weights;
        /** Weights times expected times, in ns. */
        double times;
        /** Weights of those with room. */
        double open;
    }

    private final Settings settings;
    private final List<Server> servers;
    private final ZoneFigures zones;
    private final ServerWeights weights;
    private final Ejection ejection;
    private final ColdBudget cold;
    private final Classes classes;
    private double minPromiseNs;
    private double meanWorth;
    /** No server was fit in the last pass. */
    private boolean none;

    Rotation(
            Settings settings,
            List<Server> servers,
            ZoneFigures zones,
            ServerWeights weights,
            Ejection ejection,
            ColdBudget cold,
            Classes classes) {
        this.settings = settings;
        this.servers = servers;
        this.zones = zones;
        this.weights = weights;
        this.ejection = ejection;
        this.cold = cold;
        this.classes = classes;
    }

    /** The shortest promise and the mean worth of all classes. */
    void profiles(double shortestPromiseNs, double worth) {
        minPromiseNs = shortestPromiseNs;
        meanWorth = worth;
    }

    /**
     * The server that a request goes to; null if there is none.
     *
     * @param bound the attempt that binds further ones, null if none does
     * @param subset how many servers of a zone this proxy uses for first attempts
     */
    Server pick(Ticket t, Attempt bound, double subset, long now) {
        Server s = pass(t, bound, t.attempts.size() > 0 ? Double.MAX_VALUE : subset, subset, now);
        return s == null && none ? pass(t, bound, Double.MAX_VALUE, subset, now) : s;
    }

    private Server pass(Ticket t, Attempt bound, double width, double subset, long now) {
        Side own = new Side();
        Side other = new Side();
        none = true;
        double most = classes.room(t.request.profile(), t.aim - now) * ADMIT;
        for (Server s : servers) {
            boolean home = s.zone() == settings.zone();
            int fewer = home ? 0 : 1; // of another zone one fewer
            s.fit = s.place * zones.ready(s.zone()) < width - fewer && fit(s, t, bound, subset, now);
            if (!s.fit) {
                continue;
            }
            if (!s.ejected && ejection.silent(s, minPromiseNs, now)) {
                ejection.eject(s, now);
            }
            if (s.ejected) {
                if (trial(s, t, bound, now)) {
                    return s;
                }
                s.fit = false;
                continue;
            }
            none = false;
            add(home ? own : other, s, most, now);
        }
        return best(t, own, other, now);
    }

    /** A trial: one request at a time that is still whole, and none that could be lost with it. */
    private boolean trial(Server s, Ticket t, Attempt bound, long now) {
        boolean may = now >= s.trialAt && bound == null && (s.out == 0 || t.profile.effect() != Effect.AT_MOST_ONCE);
        if (may) {
            ejection.eject(s, now);
        }
        return may;
    }

    private void add(Side side, Server s, double most, long now) {
        double slow = s.pace / weights.warmth(s, now);
        double weight = weights.weight(s);
        side.weights += weight;
        // Where no report tells what a server holds, its busy share tells how long one waits there.
        double waits = s.blind ? 1 / Math.max(ServerWeights.SPARE_FLOOR, s.spare) : 1;
        side.times += weight * slow * (s.load() + 1) * waits;
        s.fit = slow * s.load() <= most;
        side.open += s.fit ? weight : 0;
    }

    private Server best(Ticket t, Side own, Side other, long now) {
        // Own zone first: crossing must save worth. Where classes give way short queues tell of no wait.
        boolean cross = missed(own, t, now) - missed(other, t, now) > settings.crossZonePrice()
                || own.open == 0 && classes.ranked(t.request.profile());
        Server best = null;
        // Tallies count in requests: a debt must not outlast weights that change a hundredfold in a second.
        double total = own.open + (cross ? other.open : 0);
        for (Server s : servers) {
            if (s.fit && (cross || s.zone() == settings.zone())) {
                s.tally += weights.weight(s) / total;
                best = best == null || s.tally > best.tally ? s : best;
            }
        }
        if (best != null) {
            best.tally--;
        }
        return best;
    }

    /** Share of a mean request's worth lost by missing the promise, at the rotation's expected time. */
    private double missed(Side side, Ticket t, long now) {
        double expected = side.weights > 0 ? side.times / side.weights : Double.MAX_VALUE;
        double p = Math.exp(-Math.max(1, t.aim - now) / Math.max(1, expected));
        return p * t.profile.worth() / meanWorth * (1 - t.profile.lateShare());
    }

    /** May this server get this request? A repeat of what may have run stays where repeats are dropped. */
    private boolean fit(Server s, Ticket t, Attempt bound, double subset, long now) {
        if (!s.ready() || !cold.allows(s, subset, now)) {
            return false;
        }
        for (Attempt a : t.attempts) {
            if (a.to.id == s.id) {
                return false;
            }
        }
        if (bound == null || t.profile.effect() != Effect.DEDUPLICATED || t.profile.scope() == Scope.ALL) {
            return true;
        }
        // Where that was when it got the first: the list may have moved it since.
        return s.zone() == bound.group.zone()
                && (t.profile.scope() == Scope.ZONE || s.listed.cell() == bound.group.cell());
    }
}
