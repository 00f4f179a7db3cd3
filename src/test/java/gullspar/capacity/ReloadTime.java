package gullspar.capacity;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measures reloads of an operators' file in a real process: the time from SIGHUP until a request is served
 * from the new file, the processor time of the process as the kernel accounts it, and the longest response time
 * meanwhile. Run by {@code bench/scale/reload.sh}; not a test.
 */
public final class ReloadTime {
    private static final int[] ROUTES = {60, 240, 800, 2400};
    private static final int SERVERS_PER_POOL = 21, RELOADS = 6, TIMEOUT_MS = 60_000, HEAP_STEP_MB = 4;

    private final ResultsWriter results = new ResultsWriter("bench/scale/reload.sh", List.of());
    private final Path folder;
    private final int port;

    private ReloadTime(Path folder, int port) {
        this.folder = folder;
        this.port = port;
    }

    public static void main(String[] args) throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        Path folder = Files.createTempDirectory("reload");
        ReloadTime measurement = new ReloadTime(folder, port);
        for (int n : ROUTES) {
            measurement.measureMinHeap(n, args[1]);
            measurement.measureProcess(n, args[1] + " " + args[2]);
        }
        measurement.results.write(Path.of(args[0]));
    }

    private void writeFile(int routes, String marker) throws IOException {
        Path next = folder.resolve("next.toml");
        Files.writeString(next, GeneratedInputs.routesFile(routes, SERVERS_PER_POOL, "127.0.0.1:" + port, marker));
        Files.move(
                next, folder.resolve("site.toml"), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    private ProcessBuilder javaProcess(String flags, String... arguments) {
        List<String> command = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(List.of(flags.split(" ")));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "gullspar.Main"));
        command.addAll(List.of(arguments));
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile());
    }

    /** Finds the smallest heap with which the file can be read, by bisection in steps of a few MB. */
    private void measureMinHeap(int routes, String flags) throws Exception {
        writeFile(routes, "mark-0");
        int sufficient = 320 / HEAP_STEP_MB;
        int insufficient = 8 / HEAP_STEP_MB;
        while (sufficient - insufficient > 1) {
            int middle = (sufficient + insufficient) / 2;
            Process p = javaProcess(
                            flags + " -Xmx" + middle * HEAP_STEP_MB + "m",
                            "check",
                            folder.resolve("site.toml").toString())
                    .start();
            if (p.waitFor() == 0) {
                sufficient = middle;
            } else {
                insufficient = middle;
            }
        }
        addPoint(
                "reload.least.heap",
                "the smallest heap with which the file can be read",
                "B",
                routes,
                sufficient * HEAP_STEP_MB * 1024.0 * 1024);
    }

    private void measureProcess(int routes, String flags) throws Exception {
        writeFile(routes, "mark-0");
        Process p = javaProcess(
                        flags, "serve", "--config", folder.resolve("site.toml").toString())
                .start();
        try {
            awaitMarker("mark-0");
            for (int reload = 1; reload <= RELOADS; reload++) {
                TimeUnit.MILLISECONDS.sleep(300);
                measureReload(p, routes, reload);
            }
            addPoint(
                    "reload.resident",
                    "resident memory of the process after " + RELOADS + " changes",
                    "B",
                    routes,
                    residentBytes(p.pid()));
        } finally {
            p.destroy();
            if (!p.waitFor(40, TimeUnit.SECONDS)) {
                p.destroyForcibly();
            }
        }
    }

    private void measureReload(Process p, int routes, int reload) throws Exception {
        writeFile(routes, "mark-" + reload);
        long cpuBefore = processCpuNs(p.pid());
        long start = System.nanoTime();
        new ProcessBuilder("kill", "-HUP", String.valueOf(p.pid())).start().waitFor();
        double longest = awaitMarker("mark-" + reload);
        double elapsed = (System.nanoTime() - start) / 1e9;
        TimeUnit.MILLISECONDS.sleep(100);
        // The first reload of a process runs code that is not compiled yet.
        String prefix = reload == 1 ? "reload.first" : "reload";
        String which = reload == 1 ? "the first change of a process" : "a change";
        addPoint(prefix + ".time", "from SIGHUP until the new file is in force, " + which, "s", routes, elapsed);
        addPoint(
                prefix + ".cpu",
                "processor time of the process for it, questions included, " + which,
                "ns",
                routes,
                processCpuNs(p.pid()) - cpuBefore);
        addPoint(prefix + ".longest", "the longest answer meanwhile, " + which, "ns", routes, longest);
    }

    private void addPoint(String id, String description, String unit, int routes, double value) {
        results.addPoint(
                id, description, unit, "routes", Map.of("servers_a_pool", SERVERS_PER_POOL), 2400, routes, value);
    }

    /** Sends requests until a response ends with the marker; returns the longest earlier response time in ns. */
    private double awaitMarker(String marker) throws Exception {
        long start = System.nanoTime();
        double longest = 0;
        while (System.nanoTime() - start < TIMEOUT_MS * 1_000_000L) {
            long requestStart = System.nanoTime();
            String response = request();
            if (response.endsWith(marker)) {
                return longest;
            }
            longest = response.isEmpty() ? longest : Math.max(longest, System.nanoTime() - requestStart);
            TimeUnit.MILLISECONDS.sleep(2);
        }
        throw new IOException("no response with '" + marker + "' within " + TIMEOUT_MS + " ms: "
                + Files.readString(folder.resolve("log")));
    }

    private String request() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
            socket.getOutputStream()
                    .write(("GET /mark HTTP/1.1\r\nHost: mark.example.org\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            try (InputStream in = socket.getInputStream()) {
                return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
            }
        } catch (IOException e) {
            return "";
        }
    }

    /** Returns the processor time of the process in ns, ended threads included; resolution is a tick of 10 ms. */
    private static long processCpuNs(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * 10_000_000L;
    }

    private static double residentBytes(long pid) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                        .filter(l -> l.startsWith("VmRSS"))
                        .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                        .sum()
                * 1024.0;
    }
}
