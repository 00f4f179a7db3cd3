package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.jar.Attributes;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.ResourceLock;
import org.tomlj.Toml;

/**
 * Runs the command of the deploy file under the restrictions of a platform (refuse.pl): it must be one process that
 * starts no other program and writes only to $TMPDIR.
 */
@Timeout(120)
@ResourceLock("much of the machine")
class DeployedRunTest {
    private static final Path REFUSE_SOURCE = Path.of("src/test/resources/refuse.pl");

    @TempDir
    Path folder;
    /** Stands in for the repository's folder after a build. */
    private Path root;

    private Path tmp;
    private Path refuse;

    @BeforeEach
    void build() throws IOException {
        Assumptions.assumeTrue(
                new File("/usr/bin/perl").canExecute()
                        && new File("/proc/self/fd").exists()
                        && System.getProperty("os.arch").equals("amd64"),
                "the restrictions need perl on x86-64 Linux");
        root = Files.createDirectories(folder.resolve("root"));
        tmp = Files.createDirectories(folder.resolve("tmp"));
        UnprivilegedUser.makeReadable(folder);
        UnprivilegedUser.makeWritable(tmp);
        for (String name : List.of("balancer.toml", "serve.sh")) {
            Files.createDirectories(root.resolve("deploy"));
            Files.copy(Path.of("deploy", name), root.resolve("deploy").resolve(name));
        }
        refuse = Files.copy(REFUSE_SOURCE, folder.resolve("refuse.pl"));
        Manifest m = new Manifest();
        m.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
        m.getMainAttributes().put(Attributes.Name.MAIN_CLASS, "gullspar.Main");
        m.getMainAttributes()
                .put(
                        Attributes.Name.CLASS_PATH,
                        String.join(
                                " ",
                                Arrays.stream(UnprivilegedUser.classPath().split(File.pathSeparator))
                                        .map(p -> Path.of(p).toUri().toString())
                                        .toList()));
        Files.createDirectories(root.resolve("target"));
        try (OutputStream out = Files.newOutputStream(root.resolve("target/gullspar.jar"))) {
            new JarOutputStream(out, m).close();
        }
    }

    private static String deployedCommand() throws IOException {
        return Toml.parse(Path.of("deploy/balancer.toml")).getString("run");
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return (InetSocketAddress) s.getLocalSocketAddress();
        }
    }

    /** Starts a command as the platform does; without writes, not even $TMPDIR is writable. */
    private Process start(String command, boolean writes, Peer discovery, Peer backend, InetSocketAddress address)
            throws IOException {
        ObjectNode config = (ObjectNode) Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
        config.put("listen", "127.0.0.1:" + address.getPort());
        Path file = Files.writeString(folder.resolve("config.json"), config.toString());
        List<String> all = new ArrayList<>(UnprivilegedUser.commandPrefix());
        all.addAll(List.of("/usr/bin/perl", refuse.toString()));
        if (writes) {
            all.addAll(List.of("--tmp", tmp.toString()));
        }
        all.addAll(List.of("/bin/sh", "-c", command));
        ProcessBuilder p = new ProcessBuilder(all).directory(root.toFile()).redirectErrorStream(true);
        p.environment().keySet().removeAll(List.of("NODE_LISTEN", "NODE_DISCOVERY", "JDK_JAVA_OPTIONS"));
        p.environment().putAll(Map.of("NODE_CONFIG", file.toString(), "TMPDIR", tmp.toString()));
        return p.start();
    }

    /** Collects lines up to one that contains the text; returns it, or null if the process ends before. */
    private static String readUntil(BufferedReader log, String text, List<String> logLines) throws IOException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            logLines.add(line);
            if (line.contains(text)) {
                return line;
            }
        }
        return null;
    }

    /** Serves one request, then exits on SIGTERM. */
    private static void assertServesAndExits(
            Process p, BufferedReader log, Peer backend, InetSocketAddress address, List<String> logLines)
            throws Exception {
        assertNotEquals(null, readUntil(log, " ready", logLines), () -> String.join("\n", logLines));
        assertEquals(0, p.descendants().count(), "the process has started others");
        assertEquals(
                "java", Path.of(p.info().command().orElseThrow()).getFileName().toString());
        assertTrue(
                Files.readString(Path.of("/proc/" + p.pid() + "/maps")).contains("/libc.so"),
                "not linked dynamically against the C library");
        try (Peer.Wire client = Peer.Wire.to(address)) {
            client.write(Setup.getRequest());
            Peer.Wire b = backend.accept();
            b.read();
            b.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            assertTrue(client.read().startsWith("HTTP/1.1 200"));
        }
        p.destroy();
        assertTrue(p.waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, p.exitValue());
    }

    private void assertStartsWarm(boolean writes) throws Exception {
        List<String> logLines = new ArrayList<>();
        InetSocketAddress address = freeAddress();
        try (Peer discovery = new Peer();
                Peer backend = new Peer()) {
            Process p = start(deployedCommand(), writes, discovery, backend, address);
            try (BufferedReader log = p.inputReader()) {
                assertServesAndExits(p, log, backend, address, logLines);
            } finally {
                p.destroyForcibly();
            }
        }
        assertTrue(
                logLines.stream().anyMatch(l -> l.matches(".* served [1-9][0-9]* requests to warm up")),
                () -> String.join("\n", logLines));
    }

    @Test
    void runsAsOneProcessThatWritesOnlyToItsTemporaryFolder() throws Exception {
        assertStartsWarm(true);
    }

    /** A warm-up that needs a writable file or a Unix socket would serve no requests here. */
    @Test
    void startsWarmWithoutWritableFoldersOrUnixSockets() throws Exception {
        assertStartsWarm(false);
    }

    /** Checks the restrictions themselves: commands that violate them do not start. */
    @Test
    void commandThatForksOrWritesElsewhereDoesNotStart() throws Exception {
        for (String violation :
                List.of("mb=$(sed -n p deploy/balancer.toml); ", "echo x > deploy/written; ", "sleep 1 & ")) {
            List<String> logLines = new ArrayList<>();
            try (Peer discovery = new Peer();
                    Peer backend = new Peer()) {
                Process p = start("set -e; " + violation + deployedCommand(), true, discovery, backend, freeAddress());
                try (BufferedReader log = p.inputReader()) {
                    assertNull(readUntil(log, " starting", logLines), violation);
                    assertNotEquals(0, p.waitFor(), violation);
                } finally {
                    p.destroyForcibly();
                }
            }
        }
    }
}
