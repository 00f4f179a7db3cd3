package gullspar.decide;

import java.util.Arrays;

/**
 * A proxy's statistics of each zone, by its number in the settings. Grows with the zones listed; makes no
 * decision.
 */
final class ZoneStats {
    /** Decay time of the typical load at the servers of a zone, and of the counts in {@link TrafficRates}. */
    static final double LOAD_DECAY_NS = 2e9;

    private static final int INITIAL_ZONES = 8;

    private final long startedAt;
    /** Decaying count of this proxy's sends per ready server. */
    private double[] sent = new double[0];
    /** Mean share of a server that another request would get: 1 / (1 + load of other proxies). */
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

    /** Counts a server listed as ready; returns how many were counted before it. */
    int countReady(int zone) {
        ensureZone(zone);
        return readyCount[zone]++;
    }

    void resetReady() {
        Arrays.fill(readyCount, 0);
    }

    /** Number of ready servers in the zone. */
    int readyCount(int zone) {
        ensureZone(zone);
        return readyCount[zone];
    }

    /** Counts a send, divided by the servers ready now, so that a shrinking zone does not inflate the rate. */
    void recordSend(int zone) {
        ensureZone(zone);
        sent[zone] += 1.0 / readyCount[zone];
    }

    /** Decaying count of this proxy's sends per server of the zone. */
    double sendsPerServer(int zone) {
        ensureZone(zone);
        return sent[zone];
    }

    /** Records the load of other proxies at a server, as the share that another request would get. */
    void recordForeignLoad(int zone, double foreignLoad, long now) {
        ensureZone(zone);
        double gain = 1 - Math.exp((openShareUpdatedAt[zone] - now) / LOAD_DECAY_NS);
        openShare[zone] += gain * (1 / (1 + foreignLoad) - openShare[zone]);
        openShareUpdatedAt[zone] = now;
    }

    /** Typical load of other proxies at a server, from the mean share, which long queues hardly affect. */
    double typicalForeignLoad(int zone) {
        ensureZone(zone);
        return 1 / openShare[zone] - 1;
    }

    /** Decays the sends and the share in use by other proxies, keeping these parts of each. */
    void decay(double keepSent, double keepForeignLoad) {
        for (int z = 0; z < sent.length; z++) {
            sent[z] *= keepSent;
            openShare[z] = 1 - keepForeignLoad * (1 - openShare[z]);
        }
    }
}
