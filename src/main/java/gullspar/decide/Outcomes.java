package gullspar.decide;

import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.Balancer.Status;
import gullspar.decide.Ticket.Attempt;

/** What the end of an attempt teaches of its server, its class and the load. */
final class Outcomes {
    /** So many answers tell a pace, for so long at the most; the pace of the kind counts as a few more. */
    private static final double PACE_ANSWERS = 10;

    private static final double PACE_NS = 10e9;
    private static final double KIND_ANSWERS = 4;
    /** An answer so far over the service time, reported and median, and half the promise counts as lost. */
    private static final double TARDY = 2;

    private final Settings settings;
    private final Classes classes;
    private final TrafficRates rates;
    private final ZoneFigures zones;
    private final KindPaces kinds;
    private final ServerWeights weights;
    private final Ejection ejection;
    private final Servers servers;
    private double minPromiseNs;

    Outcomes(
            Settings settings,
            Classes classes,
            TrafficRates rates,
            ZoneFigures zones,
            KindPaces kinds,
            ServerWeights weights,
            Ejection ejection,
            Servers servers) {
        this.settings = settings;
        this.classes = classes;
        this.rates = rates;
        this.zones = zones;
        this.kinds = kinds;
        this.weights = weights;
        this.ejection = ejection;
        this.servers = servers;
    }

    /** The shortest promise of all classes, in ns. */
    void promise(double shortestNs) {
        minPromiseNs = shortestNs;
    }

    void learn(Ticket t, Attempt a, Outcome o, long now) {
        switch (o.status()) {
            case OK -> served(t, a, o, now);
            case FULL, TIMEOUT -> rates.lost++;
            case CANCELLED -> cancelled(t);
            default -> rates.forgetSend(); // says nothing of the load
        }
        jammed(a, o, now);
        failed(a.to, o.status(), now);
    }

    /** A client that leaves before its answer would be late does so for reasons of its own, not of the load. */
    private void cancelled(Ticket t) {
        if (t.leftEarly) {
            rates.forgetSend();
        } else {
            rates.lost++;
        }
    }

    private void served(Ticket t, Attempt a, Outcome o, long now) {
        Server s = a.to;
        double unit = Math.max(1000, o.elapsedNs()) / (a.ahead + 1) * weights.warmth(s, now);
        double m = classes.answered(t.request.profile(), o.elapsedNs(), unit / s.pace);
        // Far over its work, by the server's word and the median: a queue that will lose the next.
        double work = s.blind && o.report() != null ? 1e6 * o.report().recentMs() : Double.NaN;
        boolean tardy = o.elapsedNs() > Math.max(t.profile.promiseNs() / 2.0, TARDY * Math.max(m, work));
        rates.good += tardy ? 0 : 1;
        rates.lost += tardy ? 1 : 0;
        s.owedSince = now;
        s.failures = 0;
        s.ejected = false;
        pace(s, unit, now);
    }

    private void pace(Server s, double unit, long now) {
        double keep = Math.exp((s.learntAt - now) / PACE_NS);
        s.learntAt = now;
        kinds.learn(s.listed.kind(), unit, now);
        s.seen = Math.min(PACE_ANSWERS, s.seen * keep + 1);
        s.ownPace += (unit - s.ownPace) / s.seen;
        s.pace = (s.seen * s.ownPace + KIND_ANSWERS * kinds.of(s.listed.kind())) / (s.seen + KIND_ANSWERS);
    }

    /** No answer or no place: a jam that no report tells of, with so much work ahead at the least. */
    private void jammed(Attempt a, Outcome o, long now) {
        if (o.status() == Status.FULL || o.status() == Status.TIMEOUT && a.to.owedSince <= a.sentAt) {
            zones.crowd(a.to.zone(), Math.max(minPromiseNs, o.elapsedNs()) / a.to.pace, now);
        }
    }

    /** A fast failure teaches no pace: a server that fails fast must not look quick. */
    private void failed(Server s, Status status, long now) {
        switch (status) {
            case OK, MOOT, TIMEOUT, CANCELLED -> {
                return;
            }
            default -> s.owedSince = now;
        }
        if (status == Status.CONNECT_FAILED && !settings.listWeights()) { // there none is cold
            s.refusedAt = now;
            weights.renew(s, now);
            servers.spread(s, now);
        }
        if (++s.failures >= Ejection.FAILURES || status == Status.CONNECT_FAILED) {
            ejection.eject(s, now);
        }
    }
}
