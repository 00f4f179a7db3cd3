package gullspar.decide;

import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Settings;

/**
 * Makes factors of load reports: capacity times spare share, low while young (docs/DESIGN.md). The weight in
 * the rotation is the factor less what unanswered requests and reports say of the server's queue.
 */
final class ServerWeights {
    /** A factor is renewed by the first report so long after the last renewal, in ns. */
    private static final long FACTOR_INTERVAL_NS = 200_000_000L;
    /** Weight of a new report's spare share: two reports halve the noise without doubling their lateness. */
    private static final double SPARE_SMOOTHING = 0.5;
    /** No spare share under this: a server at 0 would never get the request that renews it. */
    static final double MIN_SPARE_SHARE = 0.1;
    /** Of more requests in hand no report is believed. */
    private static final double MAX_REPORTED_REQUESTS = 1000;
    /** Weight of a new report in what a server can do in a second. */
    private static final double THROUGHPUT_SMOOTHING = 0.2;

    private final Settings settings;
    private final ZoneStats zones;
    /** No server has reported its load: the weights of the list count. */
    private boolean usesListWeights;

    private double meanConcurrency = 1;
    private double minLatencyTargetNs;

    ServerWeights(Settings settings, ZoneStats zones) {
        this.settings = settings;
        this.zones = zones;
        this.usesListWeights = settings.usesListWeights();
    }

    /** The shortest promise of all classes, in ns. */
    void setMinLatencyTarget(double latencyTargetNs) {
        minLatencyTargetNs = latencyTargetNs;
    }

    /** Requests that a server runs side by side without slowing each other, in the mean. */
    double meanConcurrency() {
        return meanConcurrency;
    }

    /**
     * Share of its capacity that a server surely has by now; 1 when warm. One that refused a connection may
     * have started anew since: the list says so only seconds after it is back. Guards against proxies that
     * all give a server that crashed its old share again while it is cold; costs one that was merely cut off
     * or had no place for a connection a part of its share for the time of a start.
     */
    double warmth(Server s, long now) {
        long start = Math.max(s.startedAtNs, s.connectFailedAt);
        double age = (now - start) / (double) settings.coldStartNs();
        return start <= 0 || age >= 1
                ? 1
                : settings.startCapacity() + (1 - settings.startCapacity()) * Math.max(0, age);
    }

    /** Takes in the report of an answer; null if it held none. */
    void applyReport(Server s, long now, Report r) {
        if (r == null) {
            return;
        }
        usesListWeights = false;
        updateForeignLoad(s, now, r);
        updateConcurrency(s, r);
        if (now - s.factorUpdatedAt >= FACTOR_INTERVAL_NS) {
            if (Double.isFinite(r.utilization())) {
                s.spareShare += SPARE_SMOOTHING * (1 - Math.max(0, Math.min(1, r.utilization())) - s.spareShare);
            }
            updateFactor(s, now);
        }
    }

    private void updateForeignLoad(Server s, long now, Report r) {
        s.lacksInflight = !Double.isFinite(r.inflight());
        double requests = Double.isFinite(r.inflight()) ? r.inflight() : r.queued();
        // Answers repeat a report until the next is made; of two the util differs, also where both held none.
        boolean isNew = requests != s.reportedRequests || Double.compare(r.utilization(), s.reportedUtilization) != 0;
        if (requests >= 0 && requests < MAX_REPORTED_REQUESTS && isNew) {
            s.reportedRequests = requests;
            s.reportedUtilization = r.utilization();
            double foreignLoad = Math.max(0, requests - s.openAttempts) / s.concurrency;
            s.reportedForeignLoad += SPARE_SMOOTHING * (foreignLoad - s.reportedForeignLoad);
            s.foreignLoad = s.reportedForeignLoad;
            s.reportFreshness = 1;
            zones.recordForeignLoad(s.zone(), foreignLoad, now);
        }
    }

    private void updateConcurrency(Server s, Report r) {
        if (r.requestsPerSecond() > 0 && r.utilization() > 0 && r.requestsPerSecond() != s.reportedThroughput) {
            // What it does in a second over its busy share is what it can do, whatever its requests wait for.
            s.reportedThroughput = r.requestsPerSecond();
            s.meanThroughput += THROUGHPUT_SMOOTHING * (r.requestsPerSecond() - s.meanThroughput);
            s.meanUtilization += THROUGHPUT_SMOOTHING * (Math.min(1, r.utilization()) - s.meanUtilization);
            s.concurrency = Math.max(1, s.meanThroughput / s.meanUtilization * s.serviceNs / 1e9);
            meanConcurrency += THROUGHPUT_SMOOTHING * (s.concurrency - meanConcurrency);
        }
    }

    /** The design's formula: low while young, else capacity times spare share. */
    void updateFactor(Server s, long now) {
        s.factorUpdatedAt = now;
        s.factor = minLatencyTargetNs
                / s.serviceNs
                * s.concurrency
                * Math.max(MIN_SPARE_SHARE, s.spareShare)
                * warmth(s, now);
    }

    /**
     * The factor, less what waits there: as a fourth power, to level the queues and not the rates. Where no
     * report makes factors it is the design's start, the list's weight: servers that tell nothing get the
     * shares that their operator declared, however quick each seems.
     */
    double weight(Server s) {
        if (usesListWeights) {
            return s.listed.weight();
        }
        double wait = 1 + s.load();
        return s.factor / (wait * wait * wait * wait);
    }
}
