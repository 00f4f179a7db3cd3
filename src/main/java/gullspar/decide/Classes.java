package gullspar.decide;

import gullspar.decide.Balancer.Profile;
import java.util.Arrays;
import java.util.List;

/**
 * What a proxy has learnt of each class of request, and which class gives way to which.
 *
 * <p>A class gives way to each that promises an answer sooner, is worth clearly more for its work and asks
 * for more worth in all: its requests join no queue longer than that one bears. Guards against patient
 * requests that keep every queue longer than the impatient bear, so that what is worth most is refused;
 * costs the patient some of the servers' time.
 */
final class Classes {
    /** A class gives way to one worth so many times as much for its work, by this share of its patience. */
    private static final double MIN_WORTH_RATIO = 2, YIELD_SHARE = 0.75;
    /** So many answers tell how large a class's requests are; the first guess counts as a few. */
    private static final double MAX_SIZE_SAMPLES = 50, INITIAL_SIZE_SAMPLES = 4;
    /** Step by which the median time of a class's answers follows them. */
    private static final double MEDIAN_STEP = 0.05;

    private List<Profile> profiles = List.of();
    private double[] medianNs = {};
    private long[] maxTimeLeftNs = {};
    /** A request's time against that of all at the same server, and how many answers tell it. */
    private double[] relativeSize = {};

    private double[] sizeSamples = {};
    /** The worth asked for lately. */
    private double[] recentWorth = {};
    /** The longest wait that a request of mean size may join for the sake of dearer classes. */
    private double[] maxWaitNs = {};
    /** Another class gives way to it. */
    private boolean[] hasPriority = {};

    void setProfiles(List<Profile> newProfiles) {
        int oldCount = relativeSize.length;
        profiles = newProfiles;
        medianNs = Arrays.copyOf(medianNs, newProfiles.size());
        maxTimeLeftNs = Arrays.copyOf(maxTimeLeftNs, newProfiles.size());
        relativeSize = Arrays.copyOf(relativeSize, newProfiles.size());
        sizeSamples = Arrays.copyOf(sizeSamples, newProfiles.size());
        recentWorth = Arrays.copyOf(recentWorth, newProfiles.size());
        if (oldCount < relativeSize.length) {
            Arrays.fill(relativeSize, oldCount, relativeSize.length, 1);
        }
        updatePriorities();
    }

    /** A request with so much time left; the most that one had. */
    long recordRequest(int profile, long timeLeftNs) {
        recentWorth[profile] += profiles.get(profile).worth();
        maxTimeLeftNs[profile] = Math.max(maxTimeLeftNs[profile], timeLeftNs);
        return maxTimeLeftNs[profile];
    }

    void decay(double keep) {
        for (int c = 0; c < recentWorth.length; c++) {
            recentWorth[c] *= keep;
        }
        updatePriorities();
    }

    /** An answer after so long, so many times what requests take at that server; the median before it. */
    double recordAnswer(int profile, long elapsedNs, double relativeTime) {
        double m = medianNs[profile] == 0 ? elapsedNs : medianNs[profile];
        medianNs[profile] = m * (elapsedNs > m ? 1 + MEDIAN_STEP : 1 - MEDIAN_STEP);
        sizeSamples[profile] = Math.min(MAX_SIZE_SAMPLES, sizeSamples[profile] + 1);
        relativeSize[profile] += (relativeTime - relativeSize[profile]) / (sizeSamples[profile] + INITIAL_SIZE_SAMPLES);
        return m;
    }

    /** The time that half of its answers took, of a promise half at the most; 0 before the first. */
    double typicalNs(int profile) {
        return Math.min(medianNs[profile], profiles.get(profile).latencyTargetNs() / 2.0);
    }

    private void updatePriorities() {
        maxWaitNs = new double[relativeSize.length];
        hasPriority = new boolean[relativeSize.length];
        Arrays.fill(maxWaitNs, Double.MAX_VALUE);
        for (int c = 0; c < relativeSize.length; c++) {
            for (int d = 0; d < relativeSize.length; d++) {
                if (yieldsTo(c, d)) {
                    maxWaitNs[c] =
                            Math.min(maxWaitNs[c], YIELD_SHARE * profiles.get(d).latencyTargetNs() / relativeSize[d]);
                    hasPriority[d] = true;
                }
            }
        }
    }

    private boolean yieldsTo(int c, int d) {
        Profile p = profiles.get(c);
        Profile o = profiles.get(d);
        return o.latencyTargetNs() < p.latencyTargetNs()
                && o.worth() / relativeSize[d] > MIN_WORTH_RATIO * p.worth() / relativeSize[c]
                && recentWorth[d] > recentWorth[c];
    }

    /** Does it give way to another, or another to it? */
    boolean isRanked(int profile) {
        return hasPriority[profile] || maxWaitNs[profile] < Double.MAX_VALUE;
    }

    /** Of the time that is left to a request the most that may matter, for a wait at the mean pace. */
    double usableTimeNs(int profile, double timeLeftNs) {
        return isRanked(profile) ? Math.min(maxWaitNs[profile], timeLeftNs / relativeSize[profile]) : timeLeftNs;
    }
}
