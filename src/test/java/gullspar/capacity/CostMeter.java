package gullspar.capacity;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.function.Supplier;

/** Processor time and allocation of the calling thread, and heap that is kept: no wall time anywhere. */
final class CostMeter {
    private static final long WARM_UP_NS = 400_000_000L, ROUND_NS = 200_000_000L;
    private static final int ROUNDS = 5, COPIES = 5;
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    /** What a step has made last, so that nothing is left out as unused. */
    static volatile Object sink;

    /** Of one step: processor time of each round in ns, bytes allocated. */
    record Measurement(double[] cpuNs, double allocatedBytes) {}

    private CostMeter() {}

    private static long threadCpuNs() {
        return THREADS.getCurrentThreadCpuTime();
    }

    /** Repeats a step until it is warm, and then in rounds. */
    static Measurement measure(Supplier<Object> step) {
        long warmUpStart = threadCpuNs();
        while (threadCpuNs() - warmUpStart < WARM_UP_NS) {
            sink = step.get();
        }
        double[] nsPerStep = new double[ROUNDS];
        double bytesPerStep = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long allocatedBefore =
                    THREADS.getThreadAllocatedBytes(Thread.currentThread().getId());
            long start = threadCpuNs();
            long steps = 0;
            long elapsed;
            do {
                for (int i = 0; i < 8; i++) {
                    sink = step.get();
                }
                steps += 8;
                elapsed = threadCpuNs() - start;
            } while (elapsed < ROUND_NS);
            nsPerStep[round] = (double) elapsed / steps;
            bytesPerStep = (double) (THREADS.getThreadAllocatedBytes(
                                    Thread.currentThread().getId())
                            - allocatedBefore)
                    / steps;
        }
        sink = null;
        return new Measurement(nsPerStep, bytesPerStep);
    }

    /**
     * The heap that what is made keeps in use, in bytes: what is freed when some that are kept side by side
     * are
     * let go. What making leaves behind elsewhere does not count.
     */
    static long retainedHeap(Supplier<Object> factory) {
        Object[] copies = new Object[COPIES];
        sink = copies;
        for (int i = 0; i < COPIES; i++) {
            copies[i] = factory.get();
        }
        factory.get(); // what the last one leaves on its way out is not of those that are kept
        long before = usedHeap();
        Arrays.fill(copies, null);
        long after = usedHeap();
        sink = null;
        return Math.max(0, before - after) / COPIES;
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
