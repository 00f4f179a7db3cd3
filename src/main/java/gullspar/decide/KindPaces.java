package gullspar.decide;

import java.util.Arrays;

/** The time of a request at a warm server of each kind, in ns. Grows with the kinds listed. State only. */
final class KindPaces {
    /** Memory of the pace of a kind, in ns. */
    static final double MEMORY_NS = 5e9;

    private final double firstGuessNs;
    private final long startedAt;
    private double[] pace = new double[0];
    private long[] at = new long[0];

    KindPaces(double firstGuessNs, long now) {
        this.firstGuessNs = firstGuessNs;
        this.startedAt = now;
    }

    private void know(int kind) {
        int had = pace.length;
        if (kind >= had) {
            pace = Arrays.copyOf(pace, kind + 1);
            at = Arrays.copyOf(at, kind + 1);
            Arrays.fill(pace, had, pace.length, firstGuessNs);
            Arrays.fill(at, had, at.length, startedAt);
        }
    }

    double of(int kind) {
        know(kind);
        return pace[kind];
    }

    /** A server of the kind, if it were warm, took so long for a request. */
    void learn(int kind, double ns, long now) {
        know(kind);
        double gain = 1 - Math.exp((at[kind] - now) / MEMORY_NS);
        pace[kind] += gain * (ns - pace[kind]);
        at[kind] = now;
    }
}
