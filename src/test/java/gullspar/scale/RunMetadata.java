package gullspar.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Adds to the results where and when they were measured: machine, commit, date and load. */
final class RunMetadata {
    private RunMetadata() {}

    static void addStart(Results r, Options o) throws IOException {
        r.setProperty("script", "bench/scale/run.sh " + (o.full() ? "full" : "small"));
        r.setProperty("date", LocalDate.now(ZoneOffset.UTC).toString());
        r.setProperty("commit", commit());
        Map<String, Object> machine = new LinkedHashMap<>();
        machine.put("cores", Runtime.getRuntime().availableProcessors());
        machine.put("memory_gib", Math.round(memoryKb() / 1048576.0));
        machine.put("java", System.getProperty("java.version"));
        machine.put("kernel", System.getProperty("os.version"));
        machine.put("load_average_before", loadAverage());
        r.setProperty("machine", machine);
        r.setProperty("seeds", List.of(1));
    }

    static void addEnd(Results r, ChildProcesses c) throws IOException {
        r.setProperty("load_average_after", loadAverage());
        r.setProperty("peak_resident_mb_of_children", c.peakBytes() >> 20);
    }

    private static String loadAverage() throws IOException {
        return String.join(
                " ",
                List.of(Files.readString(Path.of("/proc/loadavg")).split(" ")).subList(0, 3));
    }

    private static long memoryKb() throws IOException {
        return Long.parseLong(
                Files.readAllLines(Path.of("/proc/meminfo")).get(0).replaceAll("\\D", ""));
    }

    private static String commit() throws IOException {
        Process p = new ProcessBuilder("git", "rev-parse", "--short", "HEAD")
                .redirectErrorStream(true)
                .start();
        return new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
    }
}
