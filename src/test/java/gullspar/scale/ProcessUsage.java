package gullspar.scale;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** Processor time and memory of processes, as accounted by the kernel. */
final class ProcessUsage {
    private static final int PAGE_BYTES = 4096;
    private static final long TICK_NS = 10_000_000L;

    static final CpuTime ZERO = new CpuTime(Map.of(), 0);

    private ProcessUsage() {}

    /**
     * Processor time of a process so far: of each living thread in ns, and of all threads there have been in
     * ticks.
     */
    record CpuTime(Map<String, Long> nsByThread, long ticks) {
        /**
         * Returns the processor time since an earlier reading, in ns. The exact time of threads that have ended,
         * such as the compiler's, is lost; where that exceeds a tick, the ticks are used.
         */
        long nsSince(CpuTime before) {
            long ns = 0;
            for (Map.Entry<String, Long> t : nsByThread.entrySet()) {
                ns += t.getValue() - before.nsByThread.getOrDefault(t.getKey(), 0L);
            }
            return Math.max(ns, (ticks - before.ticks - 1) * TICK_NS);
        }
    }

    /** Reads the processor time of a process. */
    static CpuTime cpuTime(long pid) throws IOException {
        Map<String, Long> threads = new HashMap<>();
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(Path.of("/proc/" + pid + "/task"))) {
            for (Path t : tasks) {
                try {
                    threads.put(
                            t.getFileName().toString(),
                            Long.parseLong(
                                    Files.readString(t.resolve("schedstat")).split(" ")[0]));
                } catch (NoSuchFileException e) {
                    continue; // the thread has just ended
                }
            }
        }
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return new CpuTime(threads, Long.parseLong(fields[11]) + Long.parseLong(fields[12]));
    }

    /** Returns the processor time of all processes since the given readings, by process id, in ms. */
    static double cpuMsSince(Map<Long, CpuTime> before) throws IOException {
        long ns = 0;
        for (Map.Entry<Long, CpuTime> b : before.entrySet()) {
            ns += cpuTime(b.getKey()).nsSince(b.getValue());
        }
        return ns / 1e6;
    }

    static long residentBytes(long pid) throws IOException {
        return Long.parseLong(
                        Files.readString(Path.of("/proc/" + pid + "/statm")).split(" ")[1])
                * PAGE_BYTES;
    }

    /** Returns the memory that the machine has available, in bytes. */
    static long availableBytes() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
            if (line.startsWith("MemAvailable:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) << 10;
            }
        }
        throw new IOException("no MemAvailable in /proc/meminfo");
    }
}
