package gullspar.decide;

import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Settings;

/**
 * Computes factors from load reports: capacity times spare share, low during cold start (docs/DESIGN.md). The
 * weight in the rotation is the factor reduced by the server's estimated queue.
 */
final class ServerWeights {
    /** Minimum interval between updates of a factor. */
    private static final long FACTOR_INTERVAL_NS = 200_000_000L;
    /** Weight of a new report's spare share: averaging two reports halves the noise without doubling the lag. */
    private static final double SPARE_SMOOTHING = 0.5;
    /** Lower bound of the spare share: a server at 0 would never get the request whose report updates it. */
    static final double MIN_SPARE_SHARE = 0.1;
    /** Reports of more requests than this are ignored. */
    private static final double MAX_REPORTED_REQUESTS = 1000;
    /** Weight of a new report in a server's mean throughput and utilization. */
    private static final double THROUGHPUT_SMOOTHING = 0.2;

    private final Settings settings;
    private final ZoneStats zones;
    /** Whether the list's weights apply, as no server has reported its load yet. */
    private boolean usesListWeights;

    private double meanConcurrency = 1;
    private double minLatencyTargetNs;

    ServerWeights(Settings settings, ZoneStats zones) {
        this.settings = settings;
        this.zones = zones;
        this.usesListWeights = settings.usesListWeights();
    }

    /** Sets the shortest latency target of all classes. */
    void setMinLatencyTarget(double latencyTargetNs) {
        minLatencyTargetNs = latencyTargetNs;
    }

    /** Mean number of requests that a server runs concurrently without slowing each other. */
    double meanConcurrency() {
        return meanConcurrency;
    }

    /**
     * Share of its capacity that a server is sure to have now; 1 when warm. A server that refused a connection
     * may have restarted since, and the list shows that only seconds after it is back. Without this, all proxies
     * would give a restarted server its old share while it is cold. A server that was only unreachable or had
     * no room for a connection loses part of its share for the length of a cold start.
     */
    double warmth(Server s, long now) {
        long start = Math.max(s.startedAtNs, s.connectFailedAt);
        double age = (now - start) / (double) settings.coldStartNs();
        return start <= 0 || age >= 1
                ? 1
                : settings.startCapacity() + (1 - settings.startCapacity()) * Math.max(0, age);
    }

    /** Applies the report of an answer; null if it had none. */
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
        // Answers repeat a report until the next is made; a new one differs in utilization, even with no requests.
        boolean isNew = requests != s.reportedRequests || Double.compare(r.utilization(), s.reportedUtilization) != 0;
        if (requests >= 0 && requests < MAX_REPORTED_REQUESTS && isNew) {
            s.reportedRequests = requests;
            s.reportedUtilization = r.utilization();
            double foreignLoad = Math.max(0, requests - s.ownRequests()) / s.concurrency;
            s.reportedForeignLoad += SPARE_SMOOTHING * (foreignLoad - s.reportedForeignLoad);
            s.foreignLoad = s.reportedForeignLoad;
            s.reportFreshness = 1;
            zones.recordForeignLoad(s.zone(), foreignLoad, now);
        }
    }

    private void updateConcurrency(Server s, Report r) {
        if (r.requestsPerSecond() > 0 && r.utilization() > 0 && r.requestsPerSecond() != s.reportedThroughput) {
            // Capacity is throughput over utilization, whatever the requests wait for.
            s.reportedThroughput = r.requestsPerSecond();
            s.meanThroughput += THROUGHPUT_SMOOTHING * (r.requestsPerSecond() - s.meanThroughput);
            s.meanUtilization += THROUGHPUT_SMOOTHING * (Math.min(1, r.utilization()) - s.meanUtilization);
            s.concurrency = Math.max(1, s.meanThroughput / s.meanUtilization * s.serviceNs / 1e9);
            meanConcurrency += THROUGHPUT_SMOOTHING * (s.concurrency - meanConcurrency);
        }
    }

    /** The formula of the design: capacity times spare share, reduced during cold start. */
    void updateFactor(Server s, long now) {
        s.factorUpdatedAt = now;
        s.factor = minLatencyTargetNs
                / s.serviceNs
                * s.concurrency
                * Math.max(MIN_SPARE_SHARE, s.spareShare)
                * warmth(s, now);
    }

    /**
     * The factor divided by the fourth power of the queue, which evens out queues, not rates. Without any load
     * report it is the weight in the list: servers that do not report get the shares that their operator
     * declared, however fast each seems.
     */
    double weight(Server s) {
        if (usesListWeights) {
            return s.listed.weight();
        }
        double wait = 1 + s.load();
        return s.factor / (wait * wait * wait * wait);
    }
}
