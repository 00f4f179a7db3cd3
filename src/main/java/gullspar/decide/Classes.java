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
    private static final double DEARER = 2, YIELD = 0.75;
    /** So many answers tell how large a class's requests are; the first guess counts as a few. */
    private static final double SIZE_ANSWERS = 50, SIZE_FIRST = 4;
    /** Step by which the median time of a class's answers follows them. */
    private static final double MEDIAN_STEP = 0.05;

    private List<Profile> profiles = List.of();
    private double[] median = {};
    private long[] mostLeft = {};
    /** A request's time against that of all at the same server, and how many answers tell it. */
    private double[] size = {};

    private double[] sized = {};
    /** The worth asked for lately. */
    private double[] worth = {};
    /** The longest wait that a request of mean size may join for the sake of dearer classes. */
    private double[] mostWait = {};
    /** Another class gives way to it. */
    private boolean[] dear = {};

    void know(List<Profile> known) {
        int had = size.length;
        profiles = known;
        median = Arrays.copyOf(median, known.size());
        mostLeft = Arrays.copyOf(mostLeft, known.size());
        size = Arrays.copyOf(size, known.size());
        sized = Arrays.copyOf(sized, known.size());
        worth = Arrays.copyOf(worth, known.size());
        if (had < size.length) {
            Arrays.fill(size, had, size.length, 1);
        }
        rank();
    }

    /** A request with so much time left; the most that one had. */
    long asked(int profile, long leftNs) {
        worth[profile] += profiles.get(profile).worth();
        mostLeft[profile] = Math.max(mostLeft[profile], leftNs);
        return mostLeft[profile];
    }

    void age(double keep) {
        for (int c = 0; c < worth.length; c++) {
            worth[c] *= keep;
        }
        rank();
    }

    /** An answer after so long, so many times what requests take at that server; the median before it. */
    double answered(int profile, long elapsedNs, double times) {
        double m = median[profile] == 0 ? elapsedNs : median[profile];
        median[profile] = m * (elapsedNs > m ? 1 + MEDIAN_STEP : 1 - MEDIAN_STEP);
        sized[profile] = Math.min(SIZE_ANSWERS, sized[profile] + 1);
        size[profile] += (times - size[profile]) / (sized[profile] + SIZE_FIRST);
        return m;
    }

    /** The time that half of its answers took, of a promise half at the most; 0 before the first. */
    double usual(int profile) {
        return Math.min(median[profile], profiles.get(profile).promiseNs() / 2.0);
    }

    private void rank() {
        mostWait = new double[size.length];
        dear = new boolean[size.length];
        Arrays.fill(mostWait, Double.MAX_VALUE);
        for (int c = 0; c < size.length; c++) {
            for (int d = 0; d < size.length; d++) {
                if (givesWay(c, d)) {
                    mostWait[c] = Math.min(mostWait[c], YIELD * profiles.get(d).promiseNs() / size[d]);
                    dear[d] = true;
                }
            }
        }
    }

    private boolean givesWay(int c, int d) {
        Profile p = profiles.get(c);
        Profile o = profiles.get(d);
        return o.promiseNs() < p.promiseNs()
                && o.worth() / size[d] > DEARER * p.worth() / size[c]
                && worth[d] > worth[c];
    }

    /** Does it give way to another, or another to it? */
    boolean ranked(int profile) {
        return dear[profile] || mostWait[profile] < Double.MAX_VALUE;
    }

    /** Of the time that is left to a request the most that may matter, for a wait at the mean pace. */
    double room(int profile, double leftNs) {
        return ranked(profile) ? Math.min(mostWait[profile], leftNs / size[profile]) : leftNs;
    }
}
