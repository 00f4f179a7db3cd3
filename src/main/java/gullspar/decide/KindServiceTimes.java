package gullspar.decide;

import java.util.Arrays;

/** Mean service time, in ns, of a warm server of each kind. Grows with the kinds listed; makes no decision. */
final class KindServiceTimes {
    /** Decay time of the mean service time, and of the typical load in {@link ZoneStats} without new reports. */
    static final double DECAY_NS = 5e9;

    private final double initialNs;
    private final long startedAt;
    private double[] serviceNs = new double[0];
    private long[] updatedAt = new long[0];

    KindServiceTimes(double initialNs, long now) {
        this.initialNs = initialNs;
        this.startedAt = now;
    }

    private void ensureKind(int kind) {
        int oldCount = serviceNs.length;
        if (kind >= oldCount) {
            serviceNs = Arrays.copyOf(serviceNs, kind + 1);
            updatedAt = Arrays.copyOf(updatedAt, kind + 1);
            Arrays.fill(serviceNs, oldCount, serviceNs.length, initialNs);
            Arrays.fill(updatedAt, oldCount, updatedAt.length, startedAt);
        }
    }

    double get(int kind) {
        ensureKind(kind);
        return serviceNs[kind];
    }

    /** Records a service time, already scaled to a warm server. */
    void record(int kind, double ns, long now) {
        ensureKind(kind);
        double gain = 1 - Math.exp((updatedAt[kind] - now) / DECAY_NS);
        serviceNs[kind] += gain * (ns - serviceNs[kind]);
        updatedAt[kind] = now;
    }
}
