package gullspar.rehearse.stage;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;

/**
 * A model of a node's processors, without a clock or I/O. Up to {@code slots} jobs run concurrently and
 * share the cores evenly (processor sharing); further jobs wait in a queue. Work is in ns of one core at
 * speed 1.
 */
final class CpuModel {
    /** The work of one request. */
    static final class Job {
        final Object payload;
        private final double workNs;
        private double endsAtNs;
        private long number;
        private boolean isRunning;
        private boolean finished;

        Job(Object payload, double workNs) {
            this.payload = payload;
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
    /** The share of the full capacity that is available now, 0 to 1. */
    private double capacityShare = 1;
    /** The work that a job running since the start would have received so far. */
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

    /** The work that each running job receives, in ns per ns. */
    private double rate() {
        return running.isEmpty() ? 0 : speed * capacityShare * Math.min(1, cores / (double) running.size());
    }

    private void advance(long now) {
        double ns = Math.max(0, now - updatedAtNs);
        attainedNs += rate() * ns;
        busyNs += Math.min(cores, running.size()) * ns;
        updatedAtNs = Math.max(updatedAtNs, now);
    }

    /** Sets the share of the full capacity that is available. */
    void setCapacityShare(double share, long now) {
        advance(now);
        capacityShare = share;
    }

    /** Runs or queues a job; false if the queue is full. */
    boolean offer(Job job, long now) {
        advance(now);
        if (running.size() < slots) {
            start(job);
        } else if (waiting.size() < queueCapacity) {
            waiting.add(job);
        } else {
            return false;
        }
        return true;
    }

    private void start(Job job) {
        job.isRunning = true;
        job.number = nextNumber++;
        job.endsAtNs = attainedNs + job.workNs;
        running.add(job);
    }

    /** Removes a job that runs or waits. */
    void drop(Job job, long now) {
        advance(now);
        job.finished = true;
        if (!running.remove(job)) {
            waiting.remove(job);
        }
    }

    /** Removes the first waiting job if a slot is free, for the caller to start; otherwise null. */
    Job pollWaiting() {
        return running.size() < slots ? waiting.poll() : null;
    }

    /** Starts a job that was returned by {@link #pollWaiting}. */
    void startWaiting(Job job, long now) {
        advance(now);
        start(job);
    }

    /** Removes and returns the next job that is done by then; null if there is none. */
    Job pollDone(long now) {
        advance(now);
        Job job = running.peek();
        // Rounding may leave up to half a ns of work when a job is due to end.
        if (job == null || job.endsAtNs > attainedNs + 0.5) {
            return null;
        }
        running.remove();
        job.finished = true;
        return job;
    }

    /** When the next job will be done if nothing changes; Long.MAX_VALUE if none will. */
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

    /** The core time used so far. */
    double busyNs(long now) {
        advance(now);
        return busyNs;
    }

    int cores() {
        return cores;
    }
}
