package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gullspar.rehearse.faults.SystemCallFaults;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A proxy process of an unprivileged user with injectable system call failures, and one responding backend. */
@SuppressWarnings("try")
final class FaultyProxy implements AutoCloseable {
    /** A low limit, so that leaked descriptors soon show. */
    private static final int MAX_DESCRIPTORS = 128;

    private static final long POLL_INTERVAL_MS = 10;
    /** Limit on the time until the proxy serves again after the last fault. */
    private static final long MAX_RECOVERY_NS = TimeUnit.SECONDS.toNanos(10);

    final SystemCallFaults faults;
    final InetSocketAddress address;
    final InetSocketAddress operatorAddress = freeAddress();
    final Path log;
    private final AnsweringServer backend = new AnsweringServer(AnsweringServer.OK);
    private final AnsweringServer discovery = AnsweringServer.discovery();
    private final Path folder;
    private Process process;

    FaultyProxy(Path folder) throws Exception {
        this.folder = folder;
        UnprivilegedUser.makeReadable(folder);
        faults = SystemCallFaults.buildIn(folder);
        Files.setPosixFilePermissions(folder.resolve("faults"), PosixFilePermissions.fromString("rw-r--r--"));
        log = Files.createFile(folder.resolve("log"));
        address = freeAddress();
        ObjectNode config = (ObjectNode) Setup.json(discovery.hostPort(), backend.hostPort(), MAX_DESCRIPTORS, 5000);
        config.put("listen", "127.0.0.1:" + address.getPort());
        config.put("operator", "127.0.0.1:" + operatorAddress.getPort());
        Files.writeString(folder.resolve("config.json"), config.toString());
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) s.getLocalSocketAddress();
        }
    }

    /** Starts it with standard error appended to the log file. */
    FaultyProxy start() throws IOException {
        return start(ProcessBuilder.Redirect.appendTo(log.toFile()));
    }

    /** Starts it with the given standard error. */
    FaultyProxy start(ProcessBuilder.Redirect standardError) throws IOException {
        List<String> command = new ArrayList<>(List.of("env"));
        Map<String, String> variables = faults.environment();
        variables.forEach((name, value) -> command.add(name + "=" + value));
        command.add("NODE_CONFIG=" + folder.resolve("config.json"));
        command.addAll(UnprivilegedUser.serveCommand(List.of()));
        process = new ProcessBuilder(command).redirectError(standardError).start();
        return this;
    }

    Process process() {
        return process;
    }

    String logText() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            return e.toString();
        }
    }

    FaultyProxy awaitLine(String text) throws InterruptedException {
        while (!logText().contains(text)) {
            assertTrue(process.isAlive(), () -> "the proxy ended: " + logText());
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        return this;
    }

    FaultyProxy awaitReady() throws InterruptedException {
        return awaitLine(" ready");
    }

    /** Sends one request on a new connection; returns the status of the response, 0 if there was none. */
    int sendRequest() {
        try (Peer.Wire client = Peer.Wire.to(address)) {
            String answer =
                    client.write(Setup.getRequest("Request-Timeout: 0.2\r\n")).read();
            return answer.length() < 12 ? 0 : Integer.parseInt(answer.substring(9, 12));
        } catch (IOException e) {
            return 0;
        }
    }

    /** Sends requests until enough consecutive responses were 200, for at most ten seconds. */
    void awaitServing(int consecutive) {
        long end = System.nanoTime() + MAX_RECOVERY_NS;
        for (int served = 0; served < consecutive; ) {
            served = sendRequest() == 200 ? served + 1 : 0;
            assertTrue(process.isAlive(), () -> "the proxy ended: " + logText());
            assertTrue(System.nanoTime() < end, () -> "the proxy does not serve again within 10 s: " + logText());
        }
    }

    /** Reads a metric from the operators' port. */
    long readMetric(String name) throws IOException {
        try (Peer.Wire operator = Peer.Wire.to(operatorAddress)) {
            String vars =
                    operator.write("GET /_vars HTTP/1.1\r\nHost: o\r\n\r\n").read();
            Matcher found = Pattern.compile("\"" + name + "\":(\\d+)").matcher(vars);
            assertTrue(found.find(), () -> name + " is missing: " + vars);
            return Long.parseLong(found.group(1));
        }
    }

    /** Waits until a metric has the given value. */
    void awaitMetric(String name, long value) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (readMetric(name) != value) {
            assertTrue(System.nanoTime() < end, () -> name + " is not " + value + ": " + logText());
        }
    }

    void signal(String name) throws Exception {
        String pid = String.valueOf(process.pid());
        assertEquals(0, new ProcessBuilder("kill", "-" + name, pid).start().waitFor());
    }

    /** Sends SIGTERM and expects exit code 0. */
    void assertCleanExit() throws InterruptedException {
        process.destroy();
        assertTrue(process.waitFor(20, TimeUnit.SECONDS), "the proxy did not exit within 20 s");
        assertEquals(0, process.exitValue());
    }

    @Override
    public void close() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        backend.close();
        discovery.close();
    }
}
