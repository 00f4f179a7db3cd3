package gullspar.decide;

import gullspar.decide.Balancer.Profile;
import java.util.Arrays;
import java.util.List;

/**
 * Statistics of each class of request, and which class yields to which.
 *
 * <p>A class yields to each class that has a shorter latency target, a clearly higher worth per unit of work
 * and more requested worth in total: its requests join no queue too long for that class. Otherwise requests
 * with a long target keep every queue too long for those with a short one, and the most valuable are refused.
 * The price is that classes that yield get less of the servers' time.
 */
final class Classes {
    private static final double MIN_WORTH_RATIO = 2; // ratio of worth per unit of work from which a class yields
    private static final double YIELD_SHARE = 0.75; // share of the other's latency target usable by a class that yields
    private static final double MAX_SIZE_SAMPLES = 50; // answers averaged for the relative size of a class
    private static final double INITIAL_SIZE_SAMPLES = 4; // weight of the initial size, in answers
    private static final double MEDIAN_STEP = 0.05; // relative step of the running median of response times

    private List<Profile> profiles = List.of();
    private double[] medianNs = {};
    private long[] maxTimeLeftNs = {};
    /** Service time relative to all requests at the same server, and the number of samples behind it. */
    private double[] relativeSize = {};

    private double[] sizeSamples = {};
    /** Decaying sum of the requested worth. */
    private double[] recentWorth = {};
    /** The longest queue that a request of mean size may join so that classes with priority have room. */
    private double[] maxWaitNs = {};
    /** Whether another class yields to it. */
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

    /** Records a request; returns the largest time left of any in its class. */
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

    /** Records a response time, also relative to the server's mean service time; returns the previous median. */
    double recordAnswer(int profile, long elapsedNs, double relativeTime) {
        double oldMedianNs = medianNs[profile] == 0 ? elapsedNs : medianNs[profile];
        medianNs[profile] = oldMedianNs * (elapsedNs > oldMedianNs ? 1 + MEDIAN_STEP : 1 - MEDIAN_STEP);
        sizeSamples[profile] = Math.min(MAX_SIZE_SAMPLES, sizeSamples[profile] + 1);
        relativeSize[profile] += (relativeTime - relativeSize[profile]) / (sizeSamples[profile] + INITIAL_SIZE_SAMPLES);
        return oldMedianNs;
    }

    /** The median response time, at most half the latency target; 0 before the first answer. */
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
        Profile own = profiles.get(c);
        Profile other = profiles.get(d);
        return other.latencyTargetNs() < own.latencyTargetNs()
                && other.worth() / relativeSize[d] > MIN_WORTH_RATIO * own.worth() / relativeSize[c]
                && recentWorth[d] > recentWorth[c];
    }

    /** Whether it yields to another class or another yields to it. */
    boolean isRanked(int profile) {
        return hasPriority[profile] || maxWaitNs[profile] < Double.MAX_VALUE;
    }

    /** The time left to a request that it may spend in a queue, in units of mean service time. */
    double usableTimeNs(int profile, double timeLeftNs) {
        return isRanked(profile) ? Math.min(maxWaitNs[profile], timeLeftNs / relativeSize[profile]) : timeLeftNs;
    }
}
