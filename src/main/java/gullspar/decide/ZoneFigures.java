package gullspar.decide;

import java.util.Arrays;

/**
 * What a proxy knows of each zone, by the zone's number in the settings. Grows with the zones that are
 * listed. State only, no decision.
 */
final class ZoneFigures {
    /** Memory of what is usual for the requests at all servers, in ns. */
    static final double USUAL_NS = 2e9;

    private static final int FIRST_ZONES = 8;

    private final long startedAt;
    private double[] sent = new double[0];
    private double[] openShare = new double[0];
    private long[] openShareAt = new long[0];
    private int[] ready = new int[0];

    ZoneFigures(long now) {
        startedAt = now;
        grow(FIRST_ZONES);
    }

    private void grow(int zones) {
        int had = sent.length;
        sent = Arrays.copyOf(sent, zones);
        openShare = Arrays.copyOf(openShare, zones);
        openShareAt = Arrays.copyOf(openShareAt, zones);
        ready = Arrays.copyOf(ready, zones);
        Arrays.fill(openShare, had, zones, 1);
        Arrays.fill(openShareAt, had, zones, startedAt);
    }

    private void know(int zone) {
        if (zone >= sent.length) {
            grow(Math.max(zone + 1, 2 * sent.length));
        }
    }

    /** A server of the zone has been listed as ready; returns how many were before it. */
    int countReady(int zone) {
        know(zone);
        return ready[zone]++;
    }

    void forgetReady() {
        Arrays.fill(ready, 0);
    }

    /** Servers of the zone that are ready. */
    int ready(int zone) {
        know(zone);
        return ready[zone];
    }

    /** A request was sent there. Counted by those ready now: a zone that shrinks grows no rate by it. */
    void sent(int zone) {
        know(zone);
        sent[zone] += 1.0 / ready[zone];
    }

    /** Own sends to a server of the zone in the mean, of the time that is remembered. */
    double sentToEach(int zone) {
        know(zone);
        return sent[zone];
    }

    /** A report tells of so many requests of others at a server: the share that a further one would get. */
    void crowd(int zone, double others, long now) {
        know(zone);
        double gain = 1 - Math.exp((openShareAt[zone] - now) / USUAL_NS);
        openShare[zone] += gain * (1 / (1 + others) - openShare[zone]);
        openShareAt[zone] = now;
    }

    /** Others' requests that are usual at a server: by the mean share, which long queues hardly move. */
    double usualOthers(int zone) {
        know(zone);
        return 1 / openShare[zone] - 1;
    }

    /** Time passes: keeps that part of the sends, and that part of what is not open. */
    void age(double keepSent, double keepCrowd) {
        for (int z = 0; z < sent.length; z++) {
            sent[z] *= keepSent;
            openShare[z] = 1 - keepCrowd * (1 - openShare[z]);
        }
    }
}
