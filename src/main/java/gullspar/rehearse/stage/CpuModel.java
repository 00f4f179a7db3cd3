package gullspar.rehearse.stage;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;

/**
 * The processors of a node: a model with no clock of its own and no I/O. Up to so many jobs run side by side
 * and share the cores evenly (processor sharing), the rest wait in line. Work is in ns of one core at speed
 * 1.
 */
final class CpuModel {
    /** One request's work. */
    static final class Job {
        final Object payload;
        private final double workNs;
        private double endsAtNs;
        private long number;
        private boolean isRunning;
        private boolean finished;

        Job(Object what, double workNs) {
            this.payload = what;
            this.workNs = workNs;
        }

        boolean isRunning() {
            return isRunning;
        }
    }

    private final int cores;
    private final double speed;
    private final int slots;
    private final int queueCapacity;
    private final PriorityQueue<Job> running = new PriorityQueue<>((a, b) -> {
        int order = Double.compare(a.endsAtNs, b.endsAtNs);
        return order != 0 ? order : Long.compare(a.number, b.number);
    });
    private final Deque<Job> waiting = new ArrayDeque<>();
    /** The share of its power that it has now, 0 to 1. */
    private double capacityShare = 1;
    /** Work that each running job has got since the beginning, had it run all along. */
    private double attainedNs;

    private double busyNs;
    private long updatedAtNs;
    private long nextNumber;

    CpuModel(int cores, double speed, int slots, int queueCapacity, long now) {
        this.cores = cores;
        this.speed = speed;
        this.slots = slots;
        this.queueCapacity = queueCapacity;
        this.updatedAtNs = now;
    }

    /** What each running job gets, in ns of work in a ns. */
    private double rate() {
        return running.isEmpty() ? 0 : speed * capacityShare * Math.min(1, cores / (double) running.size());
    }

    private void advance(long now) {
        double ns = Math.max(0, now - updatedAtNs);
        attainedNs += rate() * ns;
        busyNs += Math.min(cores, running.size()) * ns;
        updatedAtNs = Math.max(updatedAtNs, now);
    }

    /** Changes the share of its power that it has. */
    void capacityShare(double share, long now) {
        advance(now);
        capacityShare = share;
    }

    /** Takes a job, to run or to wait; false if it is full. */
    boolean offer(Job j, long now) {
        advance(now);
        if (running.size() < slots) {
            start(j);
        } else if (waiting.size() < queueCapacity) {
            waiting.add(j);
        } else {
            return false;
        }
        return true;
    }

    private void start(Job j) {
        j.isRunning = true;
        j.number = nextNumber++;
        j.endsAtNs = attainedNs + j.workNs;
        running.add(j);
    }

    /** Drops a job. */
    void drop(Job j, long now) {
        advance(now);
        j.finished = true;
        if (!running.remove(j)) {
            waiting.remove(j);
        }
    }

    /** A job that waits and may run now, with a place for it; null if there is none. The caller starts it. */
    Job pollWaiting() {
        return running.size() < slots ? waiting.poll() : null;
    }

    void startWaiting(Job j, long now) {
        advance(now);
        start(j);
    }

    /** The next job that is done by then; null if there is none. */
    Job pollDone(long now) {
        advance(now);
        Job j = running.peek();
        // Half a ns: what rounding may leave of a job when its time has come.
        if (j == null || j.endsAtNs > attainedNs + 0.5) {
            return null;
        }
        running.remove();
        j.finished = true;
        return j;
    }

    /** When the next job will be done if nothing changes, in ns; Long.MAX_VALUE if none will. */
    long nextDoneAtNs() {
        double rate = rate();
        if (rate <= 0) {
            return Long.MAX_VALUE;
        }
        double remainingNs = Math.max(0, running.peek().endsAtNs - attainedNs) / rate;
        return remainingNs > 1e17 ? Long.MAX_VALUE : updatedAtNs + (long) Math.ceil(remainingNs);
    }

    int inFlight() {
        return running.size() + waiting.size();
    }

    int waitingCount() {
        return waiting.size();
    }

    /** The core time used so far, in ns. */
    double busyNs(long now) {
        advance(now);
        return busyNs;
    }

    int cores() {
        return cores;
    }
}
