package gullspar.proxy.operator;

import java.util.Arrays;

/** Counts accepted requests by class index and result, since startup. */
public final class RequestCounters {
    private long[] completed = {};
    private long[] rejected = {};
    private long[] failed = {};
    private int reloads;
    private int reloadErrors;

    /** Counts a request's final response. */
    public void countEnded(int classIndex, int status) {
        if (classIndex >= completed.length) {
            completed = Arrays.copyOf(completed, classIndex + 1);
            rejected = Arrays.copyOf(rejected, classIndex + 1);
            failed = Arrays.copyOf(failed, classIndex + 1);
        }
        (status == 200 ? completed : status == 503 || status == 429 ? rejected : failed)[classIndex]++;
    }

    /** Counts a configuration that was reloaded: applied if accepted, else rejected. */
    public void countReload(boolean accepted) {
        reloads += accepted ? 1 : 0;
        reloadErrors += accepted ? 0 : 1;
    }

    /** Requests answered with 200. */
    public long completed(int classIndex) {
        return classIndex < completed.length ? completed[classIndex] : 0;
    }

    /** Requests refused with 503 or 429, which are safe to repeat. */
    public long rejected(int classIndex) {
        return classIndex < rejected.length ? rejected[classIndex] : 0;
    }

    /** Requests with any other status. */
    public long failed(int classIndex) {
        return classIndex < failed.length ? failed[classIndex] : 0;
    }

    /** The sum of one counter over all classes. */
    public long sum(Counter counter) {
        long sum = 0;
        for (int i = 0; i < completed.length; i++) {
            sum += counter.count(this, i);
        }
        return sum;
    }

    /** A counter by class. */
    public interface Counter {
        long count(RequestCounters counters, int classIndex);
    }

    /** Configurations applied. */
    public int reloads() {
        return reloads;
    }

    /** Configurations rejected. */
    public int reloadErrors() {
        return reloadErrors;
    }
}
