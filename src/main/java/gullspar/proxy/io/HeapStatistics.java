package gullspar.proxy.io;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.util.List;

/** What the runtime's collector has done, and how much of the heap it could not free. */
public final class HeapStatistics {
    private final List<MemoryPoolMXBean> heapPools = ManagementFactory.getMemoryPoolMXBeans().stream()
            .filter(pool -> pool.getType() == MemoryType.HEAP)
            .toList();
    private final List<GarbageCollectorMXBean> collectors = ManagementFactory.getGarbageCollectorMXBeans();

    /** Bytes of the heap that were in use after the last collection of each of its parts. */
    public long bytesAfterCollection() {
        long bytes = 0;
        for (MemoryPoolMXBean pool : heapPools) {
            MemoryUsage usage = pool.getCollectionUsage();
            bytes += usage == null ? 0 : usage.getUsed();
        }
        return bytes;
    }

    /** Number of collections since the start. */
    public long collections() {
        return collectors.stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionCount)
                .sum();
    }

    /** Time of all collections since the start, in ms. */
    public long collectionMs() {
        return collectors.stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                .sum();
    }
}
