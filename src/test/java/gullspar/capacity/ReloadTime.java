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
 * Measures a change of an operators' file in one real process: from SIGHUP until a request finds the new
 * file,
 * its processor time by the system's accounts, and the longest answer meanwhile. Run by
 * {@code bench/scale/reload.sh}; not a test.
 */
public final class ReloadTime {
    private static final int[] ROUTES = {60, 240, 800, 2400};
    private static final int SERVERS = 21, CHANGES = 6, PATIENCE_MS = 60_000, STEP_MB = 4;

    private final ResultsWriter results = new ResultsWriter("bench/scale/reload.sh", List.of());
    private final Path folder;
    private final int port;

    private ReloadTime(Path folder, int port) {
        this.folder = folder;
        this.port = port;
    }

    public static void main(String[] args) throws Exception {
        int port;
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = s.getLocalPort();
        }
        Path folder = Files.createTempDirectory("reload");
        ReloadTime r = new ReloadTime(folder, port);
        for (int n : ROUTES) {
            r.leastHeap(n, args[1]);
            r.process(n, args[1] + " " + args[2]);
        }
        r.results.write(Path.of(args[0]));
    }

    private void file(int routes, String mark) throws IOException {
        Path other = folder.resolve("next.toml");
        Files.writeString(other, Inputs.routes(routes, SERVERS, "127.0.0.1:" + port, mark));
        Files.move(
                other,
                folder.resolve("site.toml"),
                StandardCopyOption.REPLACE_EXISTING,
                StandardCopyOption.ATOMIC_MOVE);
    }

    private ProcessBuilder java(String flags, String... arguments) {
        List<String> command = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(List.of(flags.split(" ")));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "gullspar.Main"));
        command.addAll(List.of(arguments));
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile());
    }

    /** The smallest heap with which a file can be read at all, in steps of some MB. */
    private void leastHeap(int routes, String flags) throws Exception {
        file(routes, "mark-0");
        int enough = 320 / STEP_MB;
        int little = 8 / STEP_MB;
        while (enough - little > 1) {
            int middle = (enough + little) / 2;
            Process p = java(
                            flags + " -Xmx" + middle * STEP_MB + "m",
                            "check",
                            folder.resolve("site.toml").toString())
                    .start();
            if (p.waitFor() == 0) {
                enough = middle;
            } else {
                little = middle;
            }
        }
        point(
                "reload.least.heap",
                "the smallest heap with which the file can be read",
                "B",
                routes,
                enough * STEP_MB * 1024.0 * 1024);
    }

    private void process(int routes, String flags) throws Exception {
        file(routes, "mark-0");
        Process p = java(flags, "serve", "--config", folder.resolve("site.toml").toString())
                .start();
        try {
            until("mark-0");
            for (int change = 1; change <= CHANGES; change++) {
                TimeUnit.MILLISECONDS.sleep(300);
                change(p, routes, change);
            }
            point(
                    "reload.resident",
                    "resident memory of the process after " + CHANGES + " changes",
                    "B",
                    routes,
                    resident(p.pid()));
        } finally {
            p.destroy();
            if (!p.waitFor(40, TimeUnit.SECONDS)) {
                p.destroyForcibly();
            }
        }
    }

    private void change(Process p, int routes, int change) throws Exception {
        file(routes, "mark-" + change);
        long cpu = cpu(p.pid());
        long begin = System.nanoTime();
        new ProcessBuilder("kill", "-HUP", String.valueOf(p.pid())).start().waitFor();
        double longest = until("mark-" + change);
        double took = (System.nanoTime() - begin) / 1e9;
        TimeUnit.MILLISECONDS.sleep(100);
        // The first changes of a process find its code cold.
        String when = change == 1 ? "reload.first" : "reload";
        String which = change == 1 ? "the first change of a process" : "a change";
        point(when + ".time", "from SIGHUP until the new file is in force, " + which, "s", routes, took);
        point(
                when + ".cpu",
                "processor time of the process for it, questions included, " + which,
                "ns",
                routes,
                cpu(p.pid()) - cpu);
        point(when + ".longest", "the longest answer meanwhile, " + which, "ns", routes, longest);
    }

    private void point(String id, String what, String unit, int routes, double value) {
        results.point(id, what, unit, "routes", Map.of("servers_a_pool", SERVERS), 2400, routes, value);
    }

    /** Asks until the answer is that; the longest time that one took, in ns. */
    private double until(String mark) throws Exception {
        long begin = System.nanoTime();
        double longest = 0;
        while (System.nanoTime() - begin < PATIENCE_MS * 1_000_000L) {
            long asked = System.nanoTime();
            String got = ask();
            if (got.endsWith(mark)) {
                return longest;
            }
            longest = got.isEmpty() ? longest : Math.max(longest, System.nanoTime() - asked);
            TimeUnit.MILLISECONDS.sleep(2);
        }
        throw new IOException(
                "no '" + mark + "' within " + PATIENCE_MS + " ms: " + Files.readString(folder.resolve("log")));
    }

    private String ask() {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
            s.getOutputStream()
                    .write(("GET /mark HTTP/1.1\r\nHost: mark.example.org\r\nConnection: " + "close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            try (InputStream in = s.getInputStream()) {
                return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
            }
        } catch (IOException e) {
            return "";
        }
    }

    /** Processor time of the process, threads that have ended included: ticks of 10 ms, in ns. */
    private static long cpu(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] f = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(f[11]) + Long.parseLong(f[12])) * 10_000_000L;
    }

    private static double resident(long pid) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                        .filter(l -> l.startsWith("VmRSS"))
                        .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                        .sum()
                * 1024.0;
    }
}
