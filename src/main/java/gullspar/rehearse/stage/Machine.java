package gullspar.rehearse.stage;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;

/**
 * The processors of a node: a model with no clock of its own and no I/O. Up to so many jobs run side by side
 * and share the cores evenly (processor sharing), the rest wait in line. Work is in ns of one core at speed
 * 1.
 */
final class Machine {
    /** One request's work. */
    static final class Job {
        final Object what;
        private final double workNs;
        private double endsAt;
        private long number;
        private boolean running;
        private boolean over;

        Job(Object what, double workNs) {
            this.what = what;
            this.workNs = workNs;
        }

        boolean running() {
            return running;
        }
    }

    private final int cores;
    private final double speed;
    private final int slots;
    private final int places;
    private final PriorityQueue<Job> running = new PriorityQueue<>((a, b) -> {
        int order = Double.compare(a.endsAt, b.endsAt);
        return order != 0 ? order : Long.compare(a.number, b.number);
    });
    private final Deque<Job> waiting = new ArrayDeque<>();
    /** The share of its power that it has now, 0 to 1. */
    private double power = 1;
    /** Work that each running job has got since the beginning, had it run all along. */
    private double attained;

    private double busyNs;
    private long at;
    private long numbers;

    Machine(int cores, double speed, int slots, int places, long now) {
        this.cores = cores;
        this.speed = speed;
        this.slots = slots;
        this.places = places;
        this.at = now;
    }

    /** What each running job gets, in ns of work in a ns. */
    private double rate() {
        return running.isEmpty() ? 0 : speed * power * Math.min(1, cores / (double) running.size());
    }

    private void advance(long now) {
        double ns = Math.max(0, now - at);
        attained += rate() * ns;
        busyNs += Math.min(cores, running.size()) * ns;
        at = Math.max(at, now);
    }

    /** Changes the share of its power that it has. */
    void power(double share, long now) {
        advance(now);
        power = share;
    }

    /** Takes a job, to run or to wait; false if it is full. */
    boolean offer(Job j, long now) {
        advance(now);
        if (running.size() < slots) {
            start(j);
        } else if (waiting.size() < places) {
            waiting.add(j);
        } else {
            return false;
        }
        return true;
    }

    private void start(Job j) {
        j.running = true;
        j.number = numbers++;
        j.endsAt = attained + j.workNs;
        running.add(j);
    }

    /** Drops a job. */
    void drop(Job j, long now) {
        advance(now);
        j.over = true;
        if (!running.remove(j)) {
            waiting.remove(j);
        }
    }

    /** A job that waits and may run now, with a place for it; null if there is none. The caller starts it. */
    Job next() {
        return running.size() < slots ? waiting.poll() : null;
    }

    void begin(Job j, long now) {
        advance(now);
        start(j);
    }

    /** The next job that is done by then; null if there is none. */
    Job done(long now) {
        advance(now);
        Job j = running.peek();
        // Half a ns: what rounding may leave of a job when its time has come.
        if (j == null || j.endsAt > attained + 0.5) {
            return null;
        }
        running.remove();
        j.over = true;
        return j;
    }

    /** When the next job will be done if nothing changes, in ns; Long.MAX_VALUE if none will. */
    long doneAt() {
        double rate = rate();
        if (rate <= 0) {
            return Long.MAX_VALUE;
        }
        double left = Math.max(0, running.peek().endsAt - attained) / rate;
        return left > 1e17 ? Long.MAX_VALUE : at + (long) Math.ceil(left);
    }

    int held() {
        return running.size() + waiting.size();
    }

    int waits() {
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
