package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.ResourceLock;

/** Several processes in succession serve the same inherited listener under load. */
@Timeout(120)
@ResourceLock("much of the machine")
class UpgradeTest {
    private static final int CLIENTS = 4;
    private static final int UPGRADES = 2;
    /**
     * A request that would miss its latency target is refused by design, and a busy machine stalls a process for
     * longer than the usual target of 250 ms. With this value and the next a refusal is due to an upgrade. Both are
     * shorter than the clients' read timeout of 20 s.
     */
    private static final long LATENCY_TARGET_NS = 10_000_000_000L;

    private static final long CLIENT_TIMEOUT_NS = 15_000_000_000L;

    @TempDir
    Path folder;

    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger responses = new AtomicInteger();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final List<Throwable> errors = new ArrayList<>();

    /** Serves as backend or discovery, with a thread per connection. */
    private static ServerSocket serve(String answer) throws IOException {
        ServerSocket s = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        startThread(() -> {
            while (true) {
                Peer.Wire w = new Peer.Wire(s.accept());
                startThread(() -> {
                    while (!w.read().isEmpty()) {
                        w.write(answer);
                    }
                });
            }
        });
        return s;
    }

    private interface Task {
        void run() throws Exception;
    }

    private static Thread startThread(Task work) {
        Thread t = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // the peer has closed the connection
            }
        });
        t.setDaemon(true);
        t.start();
        return t;
    }

    /** Sends requests in a loop, reusing each connection while it stays open. */
    private void client(InetSocketAddress proxy) {
        try {
            while (!stopped.get()) {
                try (Peer.Wire w = Peer.Wire.to(proxy)) {
                    for (boolean open = true; open && !stopped.get(); ) {
                        requests.incrementAndGet();
                        String answer = w.write(Setup.getRequest()).read();
                        assertTrue(answer.startsWith("HTTP/1.1 200"), "'" + answer + "'");
                        responses.incrementAndGet();
                        open = !answer.contains("connection: close");
                    }
                }
            }
        } catch (Throwable t) {
            synchronized (errors) {
                errors.add(t);
            }
        }
    }

    private static String call(InetSocketAddress operator, String path) throws IOException {
        try (Peer.Wire w = Peer.Wire.to(operator)) {
            return w.write("GET " + path + " HTTP/1.1\r\nHost: o\r\n\r\n").read();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    @Test
    void upgradesUnderLoadLoseNoRequest() throws Exception {
        Assumptions.assumeTrue(
                new File("/usr/bin/perl").canExecute() && new File("/proc/self/fd").exists(),
                "needs Linux and perl, which runs the script that holds the listener");
        ServerSocket backend = serve("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        String list = "{\"generation\":42,\"reset\":false,\"instances\":[]}\n";
        ServerSocket discovery = serve("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
        JsonNode config =
                Setup.json("127.0.0.1:" + discovery.getLocalPort(), "127.0.0.1:" + backend.getLocalPort(), 1024, 5000);
        for (JsonNode profile : config.at("/settings/profiles")) {
            ((ObjectNode) profile).put("promise_ns", LATENCY_TARGET_NS).put("give_up_ns", CLIENT_TIMEOUT_NS);
        }
        Files.writeString(folder.resolve("config.json"), config.toString());
        Process holder = new ProcessBuilder(
                        "/usr/bin/perl",
                        "src/test/resources/hold-listener.pl",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "gullspar.Main",
                        "serve")
                .redirectError(folder.resolve("log").toFile())
                .start();
        try (BufferedReader holderOutput =
                        new BufferedReader(new InputStreamReader(holder.getInputStream(), StandardCharsets.UTF_8));
                Writer holderInput = holder.outputWriter()) {
            int port = Integer.parseInt(holderOutput.readLine().substring("port ".length()));
            InetSocketAddress proxy = new InetSocketAddress("127.0.0.1", port);
            List<Thread> clients = new ArrayList<>();
            ProcessHandle old = null;
            for (int i = 0; i <= UPGRADES; i++) {
                InetSocketAddress operator = new InetSocketAddress("127.0.0.1", freePort());
                holderInput.write("NODE_SOCKET_FD=0 NODE_OPERATOR=127.0.0.1:" + operator.getPort() + " NODE_CONFIG="
                        + folder.resolve("config.json") + "\n");
                holderInput.flush();
                ProcessHandle next = ProcessHandle.of(
                                Long.parseLong(holderOutput.readLine().substring("started ".length())))
                        .orElseThrow();
                while (!isReady(operator)) {
                    assertTrue(next.isAlive(), () -> "process ended before it was ready: " + log());
                    Thread.onSpinWait();
                }
                if (old == null) {
                    for (int c = 0; c < CLIENTS; c++) {
                        clients.add(startThread(() -> client(proxy)));
                    }
                } else {
                    old.destroy();
                    old.onExit().get();
                    assertTrue(call(operator, "/_vars").contains("\"completed\":{\"look\":"));
                }
                int before = responses.get();
                while (responses.get() < before + 200 && errors.isEmpty()) {
                    Thread.onSpinWait();
                }
                old = next;
            }
            stopped.set(true);
            for (Thread t : clients) {
                t.join();
            }
            old.destroy();
            old.onExit().get();
        } finally {
            holder.destroy();
            backend.close();
            discovery.close();
        }
        assertEquals(List.of(), errors, this::log);
        assertEquals(requests.get(), responses.get());
        assertEquals(UPGRADES + 1, log().split("drained", -1).length - 1, this::log);
    }

    private static boolean isReady(InetSocketAddress operator) {
        try {
            return call(operator, "/_ready").startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false; // it does not listen yet
        }
    }

    private String log() {
        try {
            return Files.readString(folder.resolve("log"));
        } catch (IOException e) {
            return e.toString();
        }
    }
}
