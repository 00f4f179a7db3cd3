package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A process limited to the descriptors of its configuration, with many more clients that connect and stay
 * idle.
 */
@Timeout(120)
class FullOfIdleClientsTest {
    private static final int DESCRIPTORS = 256;

    @TempDir
    Path folder;

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return (InetSocketAddress) s.getLocalSocketAddress();
        }
    }

    private static void awaitLogLine(BufferedReader log, String text) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            line = log.readLine();
        }
        assertTrue(line != null, "the process ended without logging: " + text);
    }

    private static String list(int generation, Peer backend, String lifecycle) {
        String json = "{\"generation\":" + generation + ",\"reset\":true,\"instances\":["
                + "{\"instanceId\":\"s-1\",\"hostPort\":\"" + backend.hostPort()
                + "\",\"zone\":\"a\",\"machineType\":\"m1\",\"cell\":3,"
                + "\"lifecycle\":\"" + lifecycle + "\",\"weight\":1.0,\"startedAtMs\":0}]}\n";
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(json.length()) + "\r\n"
                + json + "\r\n";
    }

    /** Connects idle clients; the last one gets a response, so all have been accepted. */
    private static List<Peer.Wire> connectIdleClients(InetSocketAddress address) throws IOException {
        List<Peer.Wire> idleClients = new ArrayList<>();
        for (int i = 0; i < 2 * DESCRIPTORS; i++) {
            idleClients.add(Peer.Wire.to(address));
        }
        Peer.Wire last = Peer.Wire.to(address).write("GET /none HTTP/1.1\r\n\r\n");
        assertTrue(last.read().startsWith("HTTP/1.1 404 "));
        idleClients.add(last);
        return idleClients;
    }

    private static void assertServed(InetSocketAddress address, Peer backend) throws Exception {
        try (Peer.Wire client = Peer.Wire.to(address)) {
            client.write(Setup.getRequest());
            try (Peer.Wire wire = backend.accept()) {
                assertTrue(wire.read().startsWith("GET /look"));
                wire.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody");
            }
            assertTrue(client.read().endsWith("body"));
        }
    }

    /** Enough descriptors are left for a watch, its replacement and the maximum number of operator connections. */
    private static void assertDescriptorsLeft(Process p) throws IOException {
        Path open = Path.of("/proc", String.valueOf(p.pid()), "fd");
        if (Files.exists(open)) {
            try (Stream<Path> all = Files.list(open)) {
                long count = all.count();
                assertTrue(count <= DESCRIPTORS - 14, count + " descriptors are open");
            }
        }
    }

    private static void assertOperatorAnswered(InetSocketAddress address) throws IOException {
        try (Peer.Wire operator = Peer.Wire.to(address)) {
            String answer =
                    operator.write("GET /_ready HTTP/1.1\r\nHost: o\r\n\r\n").read();
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        }
    }

    @Test
    void discoveryBackendsAndOperatorsConnectDespiteIdleClients() throws Exception {
        InetSocketAddress address = freeAddress();
        InetSocketAddress operatorAddress = freeAddress();
        Peer discovery = new Peer();
        try (Peer backend = new Peer()) {
            ObjectNode config = (ObjectNode) Setup.json(discovery.hostPort(), backend.hostPort(), DESCRIPTORS, 5000);
            config.put("listen", "127.0.0.1:" + address.getPort());
            config.put("operator", "127.0.0.1:" + operatorAddress.getPort());
            Path file = Files.writeString(folder.resolve("config.json"), config.toString());
            // The process may open no more descriptors than its configuration says, as on the platform.
            ProcessBuilder java = new ProcessBuilder(
                    "sh",
                    "-c",
                    "ulimit -n " + DESCRIPTORS + "; exec \"$0\" \"$@\"",
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-Xlog:disable",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "gullspar.Main",
                    "serve");
            java.environment().putAll(Map.of("NODE_CONFIG", file.toString(), "NODE_DISCOVERY", discovery.hostPort()));
            Process p = java.start();
            List<Peer.Wire> idleClients = new ArrayList<>();
            try (BufferedReader log = p.errorReader()) {
                Peer.Wire watch = discovery.accept();
                watch.read();
                watch.write(list(42, backend, "in_service"));
                awaitLogLine(log, "ready");
                discovery.close();
                watch.reset();
                idleClients.addAll(connectIdleClients(address));
                assertDescriptorsLeft(p);
                assertOperatorAnswered(operatorAddress);
                assertServed(address, backend);
                try (Peer again = new Peer(discovery.address().getPort())) {
                    Peer.Wire next = again.accept();
                    assertTrue(next.read().contains("index=42 "));
                    idleClients.addAll(connectIdleClients(address));
                    assertServed(address, backend);
                    next.write(list(43, backend, "terminating"));
                    awaitRefusal(address);
                    assertOperatorAnswered(operatorAddress);
                    assertTrue(p.isAlive());
                    assertFalse(p.waitFor(0, TimeUnit.SECONDS));
                }
            } finally {
                discovery.close();
                p.destroyForcibly().waitFor();
                for (Peer.Wire w : idleClients) {
                    w.close();
                }
            }
        }
    }

    /** Sends requests until one is refused, since the only backend drains. */
    private static void awaitRefusal(InetSocketAddress address) throws Exception {
        String answer;
        do {
            try (Peer.Wire client = Peer.Wire.to(address)) {
                answer = client.write(Setup.getRequest("Request-Timeout: 0.2\r\n"))
                        .read();
            }
        } while (!answer.startsWith("HTTP/1.1 503") && !answer.startsWith("HTTP/1.1 504"));
    }
}
