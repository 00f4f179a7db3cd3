package gullspar.capacity;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.function.Supplier;

/** Measures processor time and allocation of the calling thread, and retained heap; never wall-clock time. */
final class CostMeter {
    private static final long WARM_UP_NS = 400_000_000L, ROUND_NS = 200_000_000L;
    private static final int ROUNDS = 5, COPIES = 5;
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    /** The last result of a step, so that the compiler cannot eliminate the step as unused. */
    static volatile Object sink;

    /** Cost of one step: its mean processor time in each round, and the bytes it allocates. */
    record Measurement(double[] cpuNs, double allocatedBytes) {}

    private CostMeter() {}

    private static long threadCpuNs() {
        return THREADS.getCurrentThreadCpuTime();
    }

    /** Repeats a step until it is warmed up, and then measures it in rounds. */
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
     * Returns the bytes of heap that one created object retains, measured as the heap that is freed when
     * several of them are released. What their creation leaves elsewhere does not count.
     */
    static long retainedHeap(Supplier<Object> factory) {
        Object[] copies = new Object[COPIES];
        sink = copies;
        for (int i = 0; i < COPIES; i++) {
            copies[i] = factory.get();
        }
        factory.get(); // anything that the last creation leaves elsewhere then belongs to none of the copies
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
