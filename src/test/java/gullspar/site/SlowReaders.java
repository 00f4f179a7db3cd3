package gullspar.site;

import gullspar.proxy.Peer;
import gullspar.proxy.Peer.Wire;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Measures the memory of a proxy process while one client reads a response of 1 GB and 100 others read slowly from
 * responses of the same size. Run by bench/site/slow-readers.sh; prints the resident set from /proc.
 */
public final class SlowReaders {
    private static final long SIZE = 1L << 30;
    private static final int SLOW = 100;

    private SlowReaders() {}

    public static void main(String[] args) throws Exception {
        Peer server = new Peer();
        start(() -> {
            while (true) {
                Wire w = server.accept();
                start(() -> answer(w));
            }
        });
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        Path file = Files.createTempFile("slow", ".toml");
        Files.writeString(
                file, "[[listener]]\naddress = \"127.0.0.1:" + port + "\"\n" + ProxyFixture.poolConfig("", server));
        List<String> command = new ArrayList<>(List.of(
                "java",
                "-XX:+UseSerialGC",
                "-Xmx64m",
                "-Xss512k",
                "-XX:MaxDirectMemorySize=16m",
                "-XX:MaxMetaspaceSize=40m",
                "-XX:ReservedCodeCacheSize=20m",
                "-XX:TieredStopAtLevel=1",
                "-jar",
                "target/gullspar.jar",
                "serve",
                "--config",
                file.toString()));
        Process daemon = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        try {
            InetSocketAddress at = new InetSocketAddress("127.0.0.1", port);
            while (!listens(at)) {
                TimeUnit.MILLISECONDS.sleep(50);
            }
            System.out.println("at rest: " + resident(daemon) + " kB");
            AtomicBoolean stop = new AtomicBoolean();
            for (int i = 0; i < SLOW; i++) {
                start(() -> {
                    try (Wire w = sendRequest(at)) {
                        while (!stop.get()) {
                            w.readBytes(16 << 10);
                            TimeUnit.MILLISECONDS.sleep(250);
                        }
                    }
                });
            }
            TimeUnit.SECONDS.sleep(3);
            System.out.println(SLOW + " slow readers: " + resident(daemon) + " kB");
            long from = System.nanoTime();
            long maxKb = 0;
            try (Wire w = sendRequest(at)) {
                for (long got = 0; got < SIZE; got += 1 << 20) {
                    if (w.readBytes(1 << 20).length() != 1 << 20) {
                        throw new IllegalStateException("the answer is cut short");
                    }
                    maxKb = Math.max(maxKb, got % (32 << 20) == 0 ? resident(daemon) : 0);
                }
            }
            System.out.printf("1 GB beside them: %.1f s, at most %d kB%n", (System.nanoTime() - from) / 1e9, maxKb);
            stop.set(true);
        } finally {
            daemon.destroyForcibly();
            Files.delete(file);
        }
        System.exit(0);
    }

    private static boolean listens(InetSocketAddress at) {
        try {
            Wire.to(at).close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static Wire sendRequest(InetSocketAddress at) throws IOException {
        Wire w = Wire.to(at).write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        w.readUntil("\r\n\r\n");
        return w;
    }

    private static void answer(Wire w) throws IOException {
        w.readUntil("\r\n\r\n");
        w.write("HTTP/1.1 200 OK\r\nContent-Length: " + SIZE + "\r\n\r\n");
        String piece = "a".repeat(1 << 16);
        for (long sent = 0; sent < SIZE; sent += piece.length()) {
            w.write(piece);
        }
    }

    private static long resident(Process p) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + p.pid() + "/status")).stream()
                .filter(l -> l.startsWith("VmRSS"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                .findFirst()
                .orElse(0);
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void start(Task work) {
        Thread t = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException | AssertionError e) {
                // the peer has closed, or the run has ended
            }
        });
        t.setDaemon(true);
        t.start();
    }
}
