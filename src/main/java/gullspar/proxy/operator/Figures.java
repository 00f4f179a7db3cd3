package gullspar.proxy.operator;

import java.util.Arrays;

/** What has become of the requests that were taken, by the number of their class; from 0 at each start. */
public final class Figures {
    private long[] completed = {};
    private long[] rejected = {};
    private long[] failed = {};
    private int reloads;
    private int reloadErrors;

    /** A request of a class has got its final answer. */
    public void ended(int place, int status) {
        if (place >= completed.length) {
            completed = Arrays.copyOf(completed, place + 1);
            rejected = Arrays.copyOf(rejected, place + 1);
            failed = Arrays.copyOf(failed, place + 1);
        }
        (status == 200 ? completed : status == 503 || status == 429 ? rejected : failed)[place]++;
    }

    /** A configuration was taken over, or turned down. */
    public void reloaded(boolean taken) {
        reloads += taken ? 1 : 0;
        reloadErrors += taken ? 0 : 1;
    }

    /** Requests served. */
    public long completed(int place) {
        return place < completed.length ? completed[place] : 0;
    }

    /** Requests refused: a repeat is harmless. */
    public long rejected(int place) {
        return place < rejected.length ? rejected[place] : 0;
    }

    /** Requests failed. */
    public long failed(int place) {
        return place < failed.length ? failed[place] : 0;
    }

    /** One of the three, over all classes. */
    public long sum(Counted of) {
        long sum = 0;
        for (int i = 0; i < completed.length; i++) {
            sum += of.count(this, i);
        }
        return sum;
    }

    /** One of the counts by class. */
    public interface Counted {
        long count(Figures of, int place);
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
