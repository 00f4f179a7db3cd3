package gullspar.capacity;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.function.Supplier;

/** Processor time and allocation of the calling thread, and heap that is kept: no wall time anywhere. */
final class Cost {
    private static final long WARM_NS = 400_000_000L, ROUND_NS = 200_000_000L;
    private static final int ROUNDS = 5, COPIES = 5;
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    /** What a step has made last, so that nothing is left out as unused. */
    static volatile Object sink;

    /** Of one step: processor time of each round in ns, bytes allocated. */
    record Of(double[] cpuNs, double allocated) {}

    private Cost() {}

    private static long cpu() {
        return THREADS.getCurrentThreadCpuTime();
    }

    /** Repeats a step until it is warm, and then in rounds. */
    static Of step(Supplier<Object> step) {
        long warm = cpu();
        while (cpu() - warm < WARM_NS) {
            sink = step.get();
        }
        double[] each = new double[ROUNDS];
        double allocated = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long bytes = THREADS.getThreadAllocatedBytes(Thread.currentThread().getId());
            long begin = cpu();
            long steps = 0;
            long took;
            do {
                for (int i = 0; i < 8; i++) {
                    sink = step.get();
                }
                steps += 8;
                took = cpu() - begin;
            } while (took < ROUND_NS);
            each[round] = (double) took / steps;
            allocated = (double) (THREADS.getThreadAllocatedBytes(
                                    Thread.currentThread().getId())
                            - bytes)
                    / steps;
        }
        sink = null;
        return new Of(each, allocated);
    }

    /**
     * The heap that what is made keeps in use, in bytes: what is freed when some that are kept side by side
     * are
     * let go. What making leaves behind elsewhere does not count.
     */
    static long kept(Supplier<Object> make) {
        Object[] all = new Object[COPIES];
        sink = all;
        for (int i = 0; i < COPIES; i++) {
            all[i] = make.get();
        }
        make.get(); // what the last one leaves on its way out is not of those that are kept
        long before = used();
        Arrays.fill(all, null);
        long after = used();
        sink = null;
        return Math.max(0, before - after) / COPIES;
    }

    private static long used() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
