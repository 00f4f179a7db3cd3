package gullspar.decide;

import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Settings;

/**
 * Makes factors of load reports: capacity times spare share, low while young (docs/DESIGN.md). The weight in
 * the rotation is the factor less what unanswered requests and reports say of the server's queue.
 */
final class ServerWeights {
    /** A factor is renewed by the first report so long after the last renewal, in ns. */
    private static final long RENEW_NS = 200_000_000L;
    /** Weight of a new report's spare share: two reports halve the noise without doubling their lateness. */
    private static final double SPARE_GAIN = 0.5;
    /** No spare share under this: a server at 0 would never get the request that renews it. */
    static final double SPARE_FLOOR = 0.1;
    /** Of more requests in hand no report is believed. */
    private static final double HELD_MOST = 1000;
    /** Weight of a new report in what a server can do in a second. */
    private static final double PARALLEL_GAIN = 0.2;

    private final Settings settings;
    private final ZoneFigures zones;
    /** No server has reported its load: the weights of the list count. */
    private boolean byList;

    private double parallel = 1;
    private double minPromiseNs;

    ServerWeights(Settings settings, ZoneFigures zones) {
        this.settings = settings;
        this.zones = zones;
        this.byList = settings.listWeights();
    }

    /** The shortest promise of all classes, in ns. */
    void promise(double shortestNs) {
        minPromiseNs = shortestNs;
    }

    /** Requests that a server runs side by side without slowing each other, in the mean. */
    double parallel() {
        return parallel;
    }

    /**
     * Share of its capacity that a server surely has by now; 1 when warm. One that refused a connection may
     * have started anew since: the list says so only seconds after it is back. Guards against proxies that
     * all give a server that crashed its old share again while it is cold; costs one that was merely cut off
     * or had no place for a connection a part of its share for the time of a start.
     */
    double warmth(Server s, long now) {
        long start = Math.max(s.bootNs, s.refusedAt);
        double age = (now - start) / (double) settings.coldNs();
        return start <= 0 || age >= 1
                ? 1
                : settings.startCapacity() + (1 - settings.startCapacity()) * Math.max(0, age);
    }

    /** Takes in the report of an answer; null if it held none. */
    void report(Server s, long now, Report r) {
        if (r == null) {
            return;
        }
        byList = false;
        held(s, now, r);
        rate(s, r);
        if (now - s.renewedAt >= RENEW_NS) {
            if (Double.isFinite(r.util())) {
                s.spare += SPARE_GAIN * (1 - Math.max(0, Math.min(1, r.util())) - s.spare);
            }
            renew(s, now);
        }
    }

    private void held(Server s, long now, Report r) {
        s.blind = !Double.isFinite(r.inflight());
        double held = Double.isFinite(r.inflight()) ? r.inflight() : r.queue();
        // Answers repeat a report until the next is made; of two the util differs, also where both held none.
        boolean news = held != s.held || Double.compare(r.util(), s.util) != 0;
        if (held >= 0 && held < HELD_MOST && news) {
            s.held = held;
            s.util = r.util();
            double others = Math.max(0, held - s.out) / s.parallel;
            s.heard += SPARE_GAIN * (others - s.heard);
            s.others = s.heard;
            s.fresh = 1;
            zones.crowd(s.zone(), others, now);
        }
    }

    private void rate(Server s, Report r) {
        if (r.perSecond() > 0 && r.util() > 0 && r.perSecond() != s.told) {
            // What it does in a second over its busy share is what it can do, whatever its requests wait for.
            s.told = r.perSecond();
            s.rate += PARALLEL_GAIN * (r.perSecond() - s.rate);
            s.busy += PARALLEL_GAIN * (Math.min(1, r.util()) - s.busy);
            s.parallel = Math.max(1, s.rate / s.busy * s.pace / 1e9);
            parallel += PARALLEL_GAIN * (s.parallel - parallel);
        }
    }

    /** The design's formula: low while young, else capacity times spare share. */
    void renew(Server s, long now) {
        s.renewedAt = now;
        s.factor = minPromiseNs / s.pace * s.parallel * Math.max(SPARE_FLOOR, s.spare) * warmth(s, now);
    }

    /**
     * The factor, less what waits there: as a fourth power, to level the queues and not the rates. Where no
     * report makes factors it is the design's start, the list's weight: servers that tell nothing get the
     * shares that their operator declared, however quick each seems.
     */
    double weight(Server s) {
        if (byList) {
            return s.listed.units();
        }
        double wait = 1 + s.load();
        return s.factor / (wait * wait * wait * wait);
    }
}
