package gullspar.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.proxy.Peer;
import gullspar.proxy.Peer.Wire;
import java.io.BufferedReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs serve --config as a process and sends it signals. */
@Timeout(120)
class SiteServeTest {
    private static final String GET = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

    @TempDir
    private Path folder;

    private Path file;

    private void write(String text) throws Exception {
        file = folder.resolve("site.toml");
        Files.move(Files.writeString(folder.resolve("next.toml"), text), file, StandardCopyOption.ATOMIC_MOVE);
    }

    private Process serve() throws Exception {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "gullspar.Main",
                        "serve",
                        "--config",
                        file.toString())
                .start();
    }

    private static void signal(Process p, String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, String.valueOf(p.pid()))
                        .start()
                        .waitFor());
    }

    private static String awaitLogLine(BufferedReader log, String text) throws Exception {
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            line = log.readLine();
        }
        assertTrue(line != null, "the process ended without logging: " + text);
        return line;
    }

    private static void assertServedBy(int port, Peer by) throws Exception {
        try (Wire c = Wire.to(new InetSocketAddress("127.0.0.1", port)).write(GET)) {
            Wire w = by.accept();
            w.read();
            w.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            assertTrue(c.read().startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    void sighupReloadsOrKeepsTheConfigurationAndSigtermDrains() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        String listener = "[[listener]]\naddress = \"127.0.0.1:" + port + "\"\n";
        try (Peer a = new Peer();
                Peer b = new Peer()) {
            write(listener + ProxyFixture.poolConfig("", a));
            Process p = serve();
            try (BufferedReader log = p.errorReader()) {
                awaitLogLine(log, "listening on");
                assertServedBy(port, a);
                write(listener + "[[pool]]\nname = \"p\"\n[[host]]\nodd = 1\n");
                signal(p, "HUP");
                assertTrue(awaitLogLine(log, "is not used").contains("site.toml:3:1: a pool with no"));
                assertTrue(awaitLogLine(log, "is not used").contains("site.toml:5:1: a host with no names"));
                assertTrue(awaitLogLine(log, "is not used").contains("site.toml:6:1: host: unknown key 'odd'"));
                assertServedBy(port, a);
                write(listener + ProxyFixture.poolConfig("", b));
                signal(p, "HUP");
                awaitLogLine(log, "a new configuration");
                assertServedBy(port, b);
                signal(p, "TERM");
                awaitLogLine(log, "drained");
                assertTrue(p.waitFor(20, TimeUnit.SECONDS));
                assertEquals(0, p.exitValue());
            } finally {
                p.destroyForcibly();
            }
        }
    }

    @Test
    void fileWithErrorsIsReportedAtStartup() throws Exception {
        write("odd = 1\n");
        Process p = serve();
        try (BufferedReader log = p.errorReader()) {
            assertTrue(awaitLogLine(log, "unknown key 'odd'").contains("site.toml:1:1"));
            assertTrue(p.waitFor(20, TimeUnit.SECONDS));
            assertEquals(2, p.exitValue());
        } finally {
            p.destroyForcibly();
        }
    }

    @Test
    void addressInUseExitsWithOne() throws Exception {
        try (Peer taken = new Peer()) {
            write("[[listener]]\naddress = \"" + taken.hostPort() + "\"\n" + ProxyFixture.poolConfig("", taken));
            Process p = serve();
            try (BufferedReader log = p.errorReader()) {
                awaitLogLine(log, "cannot listen on");
                assertTrue(p.waitFor(20, TimeUnit.SECONDS));
                assertEquals(1, p.exitValue());
            } finally {
                p.destroyForcibly();
            }
        }
    }
}
