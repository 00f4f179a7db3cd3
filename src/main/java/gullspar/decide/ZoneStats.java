package gullspar.decide;

import java.util.Arrays;

/**
 * What a proxy knows of each zone, by the zone's number in the settings. Grows with the zones that are
 * listed. State only, no decision.
 */
final class ZoneStats {
    /** Memory of what is usual for the requests at all servers, in ns. */
    static final double DECAY_NS = 2e9;

    private static final int INITIAL_ZONES = 8;

    private final long startedAt;
    private double[] sent = new double[0];
    private double[] openShare = new double[0];
    private long[] openShareUpdatedAt = new long[0];
    private int[] readyCount = new int[0];

    ZoneStats(long now) {
        startedAt = now;
        grow(INITIAL_ZONES);
    }

    private void grow(int zones) {
        int oldCount = sent.length;
        sent = Arrays.copyOf(sent, zones);
        openShare = Arrays.copyOf(openShare, zones);
        openShareUpdatedAt = Arrays.copyOf(openShareUpdatedAt, zones);
        readyCount = Arrays.copyOf(readyCount, zones);
        Arrays.fill(openShare, oldCount, zones, 1);
        Arrays.fill(openShareUpdatedAt, oldCount, zones, startedAt);
    }

    private void ensureZone(int zone) {
        if (zone >= sent.length) {
            grow(Math.max(zone + 1, 2 * sent.length));
        }
    }

    /** A server of the zone has been listed as ready; returns how many were before it. */
    int countReady(int zone) {
        ensureZone(zone);
        return readyCount[zone]++;
    }

    void resetReady() {
        Arrays.fill(readyCount, 0);
    }

    /** Servers of the zone that are ready. */
    int readyCount(int zone) {
        ensureZone(zone);
        return readyCount[zone];
    }

    /** A request was sent there. Counted by those ready now: a zone that shrinks grows no rate by it. */
    void sent(int zone) {
        ensureZone(zone);
        sent[zone] += 1.0 / readyCount[zone];
    }

    /** Own sends to a server of the zone in the mean, of the time that is remembered. */
    double sendsPerServer(int zone) {
        ensureZone(zone);
        return sent[zone];
    }

    /** A report tells of so many requests of others at a server: the share that a further one would get. */
    void recordForeignLoad(int zone, double foreignLoad, long now) {
        ensureZone(zone);
        double gain = 1 - Math.exp((openShareUpdatedAt[zone] - now) / DECAY_NS);
        openShare[zone] += gain * (1 / (1 + foreignLoad) - openShare[zone]);
        openShareUpdatedAt[zone] = now;
    }

    /** Others' requests that are usual at a server: by the mean share, which long queues hardly move. */
    double typicalForeignLoad(int zone) {
        ensureZone(zone);
        return 1 / openShare[zone] - 1;
    }

    /** Time passes: keeps that part of the sends, and that part of what is not open. */
    void decay(double keepSent, double keepForeignLoad) {
        for (int z = 0; z < sent.length; z++) {
            sent[z] *= keepSent;
            openShare[z] = 1 - keepForeignLoad * (1 - openShare[z]);
        }
    }
}
