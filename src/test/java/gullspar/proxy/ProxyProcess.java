package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A real proxy process and the discovery service that it watches. */
@SuppressWarnings("try")
final class ProxyProcess implements AutoCloseable {
    private static final long HEARTBEAT_INTERVAL_MS = 500;

    final InetSocketAddress address;
    final InetSocketAddress operatorAddress;
    private final Process process;
    private final Peer discovery = new Peer();
    private final ScheduledExecutorService heartbeats = Executors.newSingleThreadScheduledExecutor();
    private Peer.Wire watch;

    /** Starts a proxy that is configured with one backend address. */
    ProxyProcess(Path folder, String backend, List<String> options) throws Exception {
        address = freeAddress();
        operatorAddress = freeAddress();
        ObjectNode config = (ObjectNode) Setup.json(discovery.hostPort(), backend, 1024, 5000);
        config.put("listen", "127.0.0.1:" + address.getPort());
        config.put("operator", "127.0.0.1:" + operatorAddress.getPort());
        Path file = Files.writeString(folder.resolve("config.json"), config.toString());
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xlog:disable", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "gullspar.Main", "serve"));
        ProcessBuilder java = new ProcessBuilder(command).redirectErrorStream(true);
        java.environment().putAll(Map.of("NODE_CONFIG", file.toString(), "NODE_DISCOVERY", discovery.hostPort()));
        process = java.start();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) s.getLocalSocketAddress();
        }
    }

    /** An instance in a discovery list. */
    static String instance(String id, String address) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"zone\":\"a\","
                + "\"machineType\":\"m1\",\"cell\":3,\"lifecycle\":\"in_service\",\"weight\":1.0,"
                + "\"startedAtMs\":0}";
    }

    /** Sends the whole list to the proxy, and keeps sending heartbeats. */
    void sendList(int generation, List<String> instances) throws Exception {
        if (watch == null) {
            watch = discovery.accept();
            watch.read();
            watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            heartbeats.scheduleAtFixedRate(
                    () -> writeLine(""), HEARTBEAT_INTERVAL_MS, HEARTBEAT_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
        writeLine("{\"generation\":" + generation + ",\"reset\":true,\"instances\":[" + String.join(",", instances)
                + "]}");
    }

    private synchronized void writeLine(String text) {
        try {
            watch.write(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
        } catch (IOException e) {
            // the process has ended
        }
    }

    /** Waits until it serves; later log lines are discarded. */
    void awaitReady() throws IOException {
        BufferedReader log = process.inputReader();
        String line = log.readLine();
        while (line != null && !line.endsWith("ready")) {
            line = log.readLine();
        }
        assertTrue(line != null, "the process ended before it was ready");
        Thread drain = new Thread(() -> {
            try {
                log.lines().forEach(l -> {});
            } catch (UncheckedIOException e) {
                // the process has ended
            }
        });
        drain.setDaemon(true);
        drain.start();
    }

    void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                        .start()
                        .waitFor());
    }

    boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() throws Exception {
        heartbeats.shutdownNow();
        process.destroyForcibly().waitFor();
        discovery.close();
    }
}
