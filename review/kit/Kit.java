package kit;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What the cases share: the record, the proxies of the deploy file, their configuration, and the end of it all. */
public final class Kit implements AutoCloseable {
    /** A body of a thread. */
    public interface Body {
        void run() throws Exception;
    }

    /** The body of a case; returns whether the rule held. */
    public interface Case {
        boolean run(Kit kit) throws Exception;
    }

    /** Whether the disruption takes place. */
    public static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** The exit code of a broken rule; 1 is the runtime's own. */
    private static final int BROKEN = 3;

    /** A case may take 120 s. */
    private static final long MAX_RUN_MS = 115_000;

    private static final long START_NS = System.nanoTime();
    private final PrintWriter record;
    private final Path folder = Files.createTempDirectory("gullspar-review");
    private final List<Process> processes = new ArrayList<>();
    private boolean sortedKeys;

    private Kit(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    }

    /** Runs a case and exits: 0 if the rule held, 3 if it was broken, 2 if the case could not run; see case.sh. */
    public static void main(Path recordFile, Case body) {
        int code = 2;
        try (Kit kit = new Kit(recordFile)) {
            Runtime.getRuntime().addShutdownHook(new Thread(kit::cleanUp));
            thread("time limit", () -> {
                Thread.sleep(MAX_RUN_MS);
                kit.log("COULD NOT RUN: not over in time");
                System.exit(2);
            });
            try {
                kit.log("trouble " + (TROUBLE ? "on" : "off"));
                code = body.run(kit) ? 0 : BROKEN;
                kit.log(code == 0 ? "RULE HELD" : "RULE BROKEN");
            } catch (Throwable e) {
                kit.log("COULD NOT RUN: " + e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.out.println(code == 0 ? "rule held" : code == BROKEN ? "RULE BROKEN" : "could not run");
        System.exit(code);
    }

    /** Writes a line to the record, with the time in ms. */
    public synchronized void log(String line) {
        record.printf(java.util.Locale.ROOT, "%9.3f %s%n", (System.nanoTime() - START_NS) / 1e6, line);
    }

    public static void thread(String name, Body body) {
        Thread t = new Thread(null, () -> {
            try {
                body.run();
            } catch (IOException | InterruptedException e) {
                return; // the connection has ended
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name, 256 << 10);
        t.setDaemon(true);
        t.start();
    }

    public static void waitUntil(long dueNs) {
        for (long left = dueNs - System.nanoTime(); left > 0; left = dueNs - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    public static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    /** A proxy that was started. */
    public record Proxy(Process process, int port, Path config, Path log) {}

    /** A class of the settings. */
    public static String profile(
            String name, String effect, String scope, long windowMs, long promiseMs, long giveUpMs, double worth) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"dedup_scope\":\"" + scope
                + "\",\"window_ns\":" + windowMs + "000000,\"promise_ns\":" + promiseMs + "000000,\"give_up_ns\":"
                + giveUpMs + "000000,\"late_share\":0.0,\"streamed\":false,\"worth\":" + worth + "}";
    }

    /** The settings of one proxy, with the figures of the site frontera-preorders where none are given. */
    public static String settings(String profiles, int balancers, String zones, long maxRetryAfterMs, long graceMs) {
        return "{\"me\":0,\"balancers\":" + balancers + ",\"zone\":0,\"step_ns\":5000000,\"zones\":[" + zones
                + "],\"skus\":[\"mid-1c\"],\"tenants\":[],\"discovery\":\"pushed\",\"weights\":\"live\",\"profiles\":["
                + profiles + "],\"report\":{\"how\":\"piggyback\",\"columns\":[\"utilization\",\"outstanding\"]},"
                + "\"prices\":{\"cross_zone\":0.01},\"clients\":{\"marks_retry\":true},"
                + "\"limits\":{\"cancelling\":true,\"may_duplicate\":true,\"max_attempts\":5,\"retry_after\":true,"
                + "\"max_retry_after_ns\":" + maxRetryAfterMs + "000000,\"connect_timeout_ns\":120000000,"
                + "\"keepalive_ns\":15000000000,\"multiplex\":1,\"probing\":false,\"peer_messages\":false},"
                + "\"rules\":{\"start_capacity\":0.31,\"cold_ns\":8800000000,\"tip_multiple\":3.0,"
                + "\"fall_ns\":1500000000,\"drain_grace_ns\":" + graceMs + "000000,"
                + "\"grace_to_answer_ns\":20000000,\"ask_within_ns\":10000000000}}";
    }

    /** Starts a proxy with the deploy file's run and waits until it is ready. */
    public Proxy startProxy(String name, String discovery, String known, String settings) throws Exception {
        return startProxy(name, freePort(), discovery, known, settings);
    }

    public Proxy startProxy(String name, int port, String discovery, String known, String settings) throws Exception {
        Proxy proxy = startUnready(name, port, discovery, known, settings);
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!isReady(port)) {
            if (!proxy.process().isAlive() || System.nanoTime() > until) {
                throw new IllegalStateException("the proxy is not ready: " + Files.readString(proxy.log()));
            }
            Thread.sleep(20);
        }
        log("proxy " + name + " is ready");
        return proxy;
    }

    /** The same without waiting. */
    public Proxy startUnready(String name, int port, String discovery, String known, String settings)
            throws Exception {
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IllegalStateException("no run in the deploy file");
        }
        Path config = folder.resolve(name + ".json");
        writeConfig(config, name, port, discovery, known, settings);
        Path log = folder.resolve(name + "." + System.nanoTime() + ".log");
        Path tmp = Files.createDirectories(folder.resolve(name + "-tmp"));
        ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", run.group(1));
        b.environment().put("NODE_NAME", name);
        b.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
        b.environment().put("NODE_DISCOVERY", discovery);
        b.environment().put("NODE_CONFIG", config.toString());
        b.environment().put("TMPDIR", tmp.toString());
        b.redirectErrorStream(true).redirectOutput(log.toFile());
        Process p = b.start();
        synchronized (processes) {
            processes.add(p);
        }
        log("started proxy " + name);
        return new Proxy(p, port, config, log);
    }

    /** Writes a configuration, in one step for whoever reads it. */
    public void writeConfig(Path file, String name, int port, String discovery, String known, String settings)
            throws IOException {
        Path next = Path.of(file + ".next");
        if (sortedKeys) {
            Files.writeString(
                    next,
                    "{\"discovery\":\"" + discovery + "\",\"known\":" + known
                            + ",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"listen\":\"127.0.0.1:"
                            + port + "\",\"name\":\"" + name + "\",\"seed\":\"8c1f30d27a5be964\",\"settings\":"
                            + settings + "}");
            Files.move(next, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
            return;
        }
        Files.writeString(
                next,
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                        + "\"sockets\":1024},\"known\":" + known + ",\"settings\":" + settings + "}");
        Files.move(next, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    /** Whether configurations are written with their keys in alphabetical order, rather than as on the page. */
    public void setSortedKeys(boolean sorted) {
        sortedKeys = sorted;
    }

    public static boolean isReady(int port) {
        try (Client c = new Client(port)) {
            c.write("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
            Http.Message m = c.read(1000);
            return m != null && m.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal to a process that this test started. */
    public static void signal(Process p, String signal) throws Exception {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + p.pid()).start().waitFor();
    }

    /** Copies a proxy's log to the record. */
    public void logOf(Proxy p) throws IOException {
        for (String line : Files.readAllLines(p.log())) {
            log("proxy: " + line);
        }
    }

    /** Ends all processes and removes the temporary folder; may be called again. */
    private void cleanUp() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
            processes.forEach(p -> p.onExit().join());
        }
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path f : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(f);
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
    }

    @Override
    public void close() {
        cleanUp();
        record.close();
    }

    static Socket connect(int port) throws IOException {
        return new Socket(InetAddress.getByName("127.0.0.1"), port);
    }
}
