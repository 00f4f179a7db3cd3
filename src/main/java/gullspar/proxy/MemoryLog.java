package gullspar.proxy;

import gullspar.proxy.http.MemoryBudget;
import gullspar.proxy.io.HeapStatistics;
import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/** Describes what holds the memory of the process, for the log. */
final class MemoryLog {
    private static final int BYTES_PER_KB = 1024;

    private final HeapStatistics heap = new HeapStatistics();
    private final MemoryBudget budget;
    private long lastCollections;
    private long lastCollectionMs;

    MemoryLog(MemoryBudget budget) {
        this.budget = budget;
    }

    /** A line on the time since the last call; connections describes those that are open. */
    String describe(String connections) {
        long collections = heap.collections();
        long collectionMs = heap.collectionMs();
        String line = "memory in KB: " + toKb(heap.bytesAfterCollection()) + " of "
                + toKb(Runtime.getRuntime().maxMemory()) + " in use after collection, "
                + (collections - lastCollections) + " collections in " + (collectionMs - lastCollectionMs)
                + " ms; reserved " + toKb(budget.reservedBytes()) + " of " + toKb(budget.limit()) + ": " + byUse()
                + "; " + connections;
        lastCollections = collections;
        lastCollectionMs = collectionMs;
        return line;
    }

    private String byUse() {
        return Arrays.stream(MemoryBudget.Use.values())
                .map(use -> use.name().toLowerCase(Locale.ROOT) + " " + toKb(budget.bytesFor(use)))
                .collect(Collectors.joining(", "));
    }

    private static long toKb(long bytes) {
        return bytes / BYTES_PER_KB;
    }
}
