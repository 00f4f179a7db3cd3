package gullspar.proxy.operator;

import java.util.Arrays;

/** What has become of the requests that were taken, by the number of their class; from 0 at each start. */
public final class RequestCounters {
    private long[] completed = {};
    private long[] rejected = {};
    private long[] failed = {};
    private int reloads;
    private int reloadErrors;

    /** A request of a class has got its final answer. */
    public void countEnded(int classIndex, int status) {
        if (classIndex >= completed.length) {
            completed = Arrays.copyOf(completed, classIndex + 1);
            rejected = Arrays.copyOf(rejected, classIndex + 1);
            failed = Arrays.copyOf(failed, classIndex + 1);
        }
        (status == 200 ? completed : status == 503 || status == 429 ? rejected : failed)[classIndex]++;
    }

    /** A configuration was taken over, or turned down. */
    public void countReload(boolean accepted) {
        reloads += accepted ? 1 : 0;
        reloadErrors += accepted ? 0 : 1;
    }

    /** Requests served. */
    public long completed(int classIndex) {
        return classIndex < completed.length ? completed[classIndex] : 0;
    }

    /** Requests refused: a repeat is harmless. */
    public long rejected(int classIndex) {
        return classIndex < rejected.length ? rejected[classIndex] : 0;
    }

    /** Requests failed. */
    public long failed(int classIndex) {
        return classIndex < failed.length ? failed[classIndex] : 0;
    }

    /** One of the three, over all classes. */
    public long sum(Counter counter) {
        long sum = 0;
        for (int i = 0; i < completed.length; i++) {
            sum += counter.count(this, i);
        }
        return sum;
    }

    /** One of the counts by class. */
    public interface Counter {
        long count(RequestCounters counters, int classIndex);
    }

    /** Configurations taken over. */
    public int reloads() {
        return reloads;
    }

    /** Configurations turned down. */
    public int reloadErrors() {
        return reloadErrors;
    }
}
