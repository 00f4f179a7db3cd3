package gullspar.scale;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** What the system has booked on processes: processor time and memory. */
final class ProcessUsage {
    private static final int PAGE_BYTES = 4096;
    private static final long TICK_NS = 10_000_000L;

    static final CpuTime ZERO = new CpuTime(Map.of(), 0);

    private ProcessUsage() {}

    /** Processor time of a process so far: by thread that lives, in ns, and of all there were, in ticks. */
    record CpuTime(Map<String, Long> nsByThread, long ticks) {
        /**
         * What has been booked since, in ns. Threads that have ended take their exact time with them, the
         * compiler's do; where that makes more than a tick, the ticks count.
         */
        long nsSince(CpuTime before) {
            long ns = 0;
            for (Map.Entry<String, Long> t : nsByThread.entrySet()) {
                ns += t.getValue() - before.nsByThread.getOrDefault(t.getKey(), 0L);
            }
            return Math.max(ns, (ticks - before.ticks - 1) * TICK_NS);
        }
    }

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
                    continue; // it has just ended
                }
            }
        }
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return new CpuTime(threads, Long.parseLong(fields[11]) + Long.parseLong(fields[12]));
    }

    /** What all of them have been booked since, in ms. */
    static double cpuMsSince(Map<Long, CpuTime> before) throws IOException {
        long ns = 0;
        for (Map.Entry<Long, CpuTime> b : before.entrySet()) {
            ns += cpuTime(b.getKey()).nsSince(b.getValue());
        }
        return ns / 1e6;
    }

    /** Resident memory, in bytes. */
    static long residentBytes(long pid) throws IOException {
        return Long.parseLong(
                        Files.readString(Path.of("/proc/" + pid + "/statm")).split(" ")[1])
                * PAGE_BYTES;
    }

    /** What the machine can still give, in bytes. */
    static long availableBytes() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
            if (line.startsWith("MemAvailable:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) << 10;
            }
        }
        throw new IOException("/proc/meminfo does not say what is available");
    }
}
