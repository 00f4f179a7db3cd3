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

/** Where and when results were taken. */
final class Machine {
    private Machine() {}

    static void describe(Results r, Options o) throws IOException {
        r.head("script", "bench/scale/run.sh " + (o.full() ? "full" : "small"));
        r.head("date", LocalDate.now(ZoneOffset.UTC).toString());
        r.head("commit", commit());
        Map<String, Object> machine = new LinkedHashMap<>();
        machine.put("cores", Runtime.getRuntime().availableProcessors());
        machine.put("memory_gib", Math.round(memoryKb() / 1048576.0));
        machine.put("java", System.getProperty("java.version"));
        machine.put("kernel", System.getProperty("os.version"));
        machine.put("load_average_before", load());
        r.head("machine", machine);
        r.head("seeds", List.of(1));
    }

    static void describeEnd(Results r, Children c) throws IOException {
        r.head("load_average_after", load());
        r.head("peak_resident_mb_of_children", c.peakBytes() >> 20);
    }

    private static String load() throws IOException {
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
