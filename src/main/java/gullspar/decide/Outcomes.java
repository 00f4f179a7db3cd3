package gullspar.decide;

import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.Balancer.Status;
import gullspar.decide.TrackedRequest.Attempt;

/** Updates server, class and load statistics when an attempt ends. */
final class Outcomes {
    private static final double MAX_SERVICE_SAMPLES = 10; // answers averaged for a server's service time
    private static final double SAMPLE_DECAY_NS = 10e9; // decay time of the number of samples
    private static final double KIND_SAMPLES = 4; // weight of the mean of the server's kind, in samples
    /**
     * An answer counts as lost if it took more than half of the latency target and more than this multiple of both
     * the median response time and the reported service time.
     */
    private static final double SLOW_RATIO = 2;

    private final Settings settings;
    private final Classes classes;
    private final TrafficRates rates;
    private final ZoneStats zones;
    private final KindServiceTimes serviceTimes;
    private final ServerWeights weights;
    private final Ejection ejection;
    private final Servers servers;
    private double minLatencyTargetNs;

    Outcomes(
            Settings settings,
            Classes classes,
            TrafficRates rates,
            ZoneStats zones,
            KindServiceTimes serviceTimes,
            ServerWeights weights,
            Ejection ejection,
            Servers servers) {
        this.settings = settings;
        this.classes = classes;
        this.rates = rates;
        this.zones = zones;
        this.serviceTimes = serviceTimes;
        this.weights = weights;
        this.ejection = ejection;
        this.servers = servers;
    }

    /** Sets the shortest latency target of all classes. */
    void setMinLatencyTarget(double latencyTargetNs) {
        minLatencyTargetNs = latencyTargetNs;
    }

    void record(TrackedRequest t, Attempt a, Outcome o, long now) {
        switch (o.status()) {
            case OK -> recordServed(t, a, o, now);
            case FULL, TIMEOUT -> rates.lost++;
            case CANCELLED -> recordCancelled(t);
            default -> rates.discountSend(); // not evidence of load
        }
        recordOverload(a, o, now);
        recordFailure(a.server, o.status(), now);
    }

    /** A client that disconnects before the latency target is no evidence of overload. */
    private void recordCancelled(TrackedRequest t) {
        if (t.clientLeftEarly) {
            rates.discountSend();
        } else {
            rates.lost++;
        }
    }

    private void recordServed(TrackedRequest t, Attempt a, Outcome o, long now) {
        Server s = a.server;
        double serviceNs = Math.max(1000, o.elapsedNs()) / (a.loadAhead + 1) * weights.warmth(s, now);
        double medianNs = classes.recordAnswer(t.request.profile(), o.elapsedNs(), serviceNs / s.serviceNs);
        // Far above both the reported service time and the median means a queue that will delay later answers.
        double reportedWorkNs =
                s.lacksInflight && o.report() != null ? 1e6 * o.report().recentMs() : Double.NaN;
        boolean isSlow = o.elapsedNs()
                > Math.max(t.profile.latencyTargetNs() / 2.0, SLOW_RATIO * Math.max(medianNs, reportedWorkNs));
        rates.servedInTime += isSlow ? 0 : 1;
        rates.lost += isSlow ? 1 : 0;
        s.awaitingSince = now;
        s.consecutiveFailures = 0;
        s.isEjected = false;
        updateServiceTime(s, serviceNs, now);
    }

    private void updateServiceTime(Server s, double serviceNs, long now) {
        double keep = Math.exp((s.serviceUpdatedAt - now) / SAMPLE_DECAY_NS);
        s.serviceUpdatedAt = now;
        serviceTimes.record(s.listed.kind(), serviceNs, now);
        s.serviceSamples = Math.min(MAX_SERVICE_SAMPLES, s.serviceSamples * keep + 1);
        s.ownServiceNs += (serviceNs - s.ownServiceNs) / s.serviceSamples;
        s.serviceNs = (s.serviceSamples * s.ownServiceNs + KIND_SAMPLES * serviceTimes.get(s.listed.kind()))
                / (s.serviceSamples + KIND_SAMPLES);
    }

    /** FULL, or no answer at all since the send, is an overload without a report: estimates the queued work. */
    private void recordOverload(Attempt a, Outcome o, long now) {
        if (o.status() == Status.FULL || o.status() == Status.TIMEOUT && a.server.awaitingSince <= a.sentAt) {
            zones.recordForeignLoad(
                    a.server.zone(), Math.max(minLatencyTargetNs, o.elapsedNs()) / a.server.serviceNs, now);
        }
    }

    /** Records a failure; it updates no service time, as a server that fails fast must not look fast. */
    private void recordFailure(Server s, Status status, long now) {
        switch (status) {
            case OK, MOOT, TIMEOUT, CANCELLED -> {
                return;
            }
            default -> s.awaitingSince = now;
        }
        if (status == Status.CONNECT_FAILED && !settings.usesListWeights()) { // list weights have no cold start
            s.connectFailedAt = now;
            weights.updateFactor(s, now);
            servers.randomizePhase(s, now);
        }
        if (++s.consecutiveFailures >= Ejection.FAILURES_TO_EJECT || status == Status.CONNECT_FAILED) {
            ejection.eject(s, now);
        }
    }
}
