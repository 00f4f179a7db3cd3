package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.proxy.config.ConfigException;
import gullspar.proxy.io.LibraryLogHandler;
import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs the program as a process and sends it the signals of service. */
@Timeout(120)
class ServeTest {
    @TempDir
    Path folder;

    private void write(String text) throws Exception {
        Path next = Files.writeString(folder.resolve("next.json"), text);
        Files.move(next, folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
    }

    private void write(Peer discovery, Peer backend) throws Exception {
        write(Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000).toString());
    }

    private Process serve(Peer discovery, String option) throws Exception {
        ProcessBuilder java = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                option,
                "-cp",
                System.getProperty("java.class.path"),
                "gullspar.Main",
                "serve");
        java.environment()
                .putAll(Map.of(
                        "NODE_CONFIG",
                        folder.resolve("config.json").toString(),
                        "NODE_DISCOVERY",
                        discovery.hostPort()));
        return java.start();
    }

    private static void signal(Process p, String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, String.valueOf(p.pid()))
                        .start()
                        .waitFor());
    }

    /** Reads the log until a line contains the text. */
    private static void awaitLogLine(BufferedReader log, String text) throws Exception {
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            line = log.readLine();
        }
        assertTrue(line != null, "the process ended without logging: " + text);
    }

    @Test
    void inheritedDescriptorThatIsNoListenerIsReported() throws Exception {
        try (Peer discovery = new Peer();
                Peer backend = new Peer()) {
            write(discovery, backend);
            ProcessBuilder java = new ProcessBuilder(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-cp",
                    System.getProperty("java.class.path"),
                    "gullspar.Main",
                    "serve");
            java.environment()
                    .putAll(Map.of("NODE_CONFIG", folder.resolve("config.json").toString(), "NODE_SOCKET_FD", "0"));
            Process p = java.start();
            try (BufferedReader log = p.errorReader()) {
                awaitLogLine(log, "gullspar: descriptor 0 is not a listening socket");
            }
            assertEquals(1, p.waitFor());
        }
    }

    @Test
    void sighupMovesWatchBadConfigurationIsIgnoredAndSigtermExitsZero() throws Exception {
        try (Peer first = new Peer();
                Peer second = new Peer();
                Peer third = new Peer();
                Peer backend = new Peer()) {
            write(first, backend);
            Process p = serve(first, "-Xlog:disable");
            try (BufferedReader log = p.errorReader()) {
                assertTrue(first.accept().read().contains("index=41 "));
                awaitLogLine(log, "ready"); // a shutdown during the warm-up takes another path
                write(second, backend);
                signal(p, "HUP");
                Peer.Wire watch = second.accept(); // the file takes precedence over the environment at startup
                assertTrue(watch.read().contains("index=41 "));
                write("{\"listen\":");
                signal(p, "HUP");
                awaitLogLine(log, "is not used");
                write(third, backend);
                signal(p, "HUP");
                assertTrue(third.accept().read().contains("index=41 "));
                assertTrue(watch.ended());
                signal(p, "TERM");
                awaitLogLine(log, "drained");
                assertTrue(p.waitFor(20, TimeUnit.SECONDS));
                assertEquals(0, p.exitValue());
            } finally {
                p.destroyForcibly();
            }
        }
    }

    /**
     * The JVM silently installs no handler for a signal that was ignored when it started. New configurations
     * have to apply all the same: a proxy that keeps the former address would keep its list forever.
     */
    @Test
    void ignoredSighupIsReportedAndFileIsPolled() throws Exception {
        try (Peer discovery = new Peer();
                Peer elsewhere = new Peer();
                Peer backend = new Peer()) {
            write(discovery, backend);
            ProcessBuilder nohup = new ProcessBuilder(
                    "sh",
                    "-c",
                    "trap '' HUP; exec \"$0\" \"$@\"",
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-cp",
                    System.getProperty("java.class.path"),
                    "gullspar.Main",
                    "serve");
            nohup.environment().put("NODE_CONFIG", folder.resolve("config.json").toString());
            Process p = nohup.start();
            try (BufferedReader log = p.errorReader()) {
                awaitLogLine(log, "SIGHUP is not handled");
                awaitLogLine(log, "to warm up");
                write("{\"listen\":");
                awaitLogLine(log, "is not used");
                write(elsewhere, backend);
                awaitLogLine(log, "a new configuration");
                assertTrue(elsewhere.accept().read().contains("index=41 "));
            } finally {
                p.destroyForcibly().waitFor();
            }
        }
    }

    /** Where many proxies start at once discovery answers them in turn, so that wait overlaps with the warm-up. */
    @Test
    void listIsRequestedBeforeWarmup() throws Exception {
        try (Peer discovery = new Peer();
                Peer backend = new Peer()) {
            write(discovery, backend);
            Process p = serve(discovery, "-Xlog:disable");
            try (BufferedReader log = p.errorReader()) {
                awaitLogLine(log, "requesting the backend list from discovery");
                awaitLogLine(log, "to warm up");
                awaitLogLine(log, "ready");
            } finally {
                p.destroyForcibly().waitFor();
            }
        }
    }

    /** Before it accepts clients a proxy has nothing to drain: it exits at once with status 0. */
    @Test
    void sigtermDuringWarmupExitsZero() throws Exception {
        try (Peer discovery = new Peer();
                Peer backend = new Peer()) {
            write(discovery, backend);
            Process p = serve(discovery, "-Xlog:disable");
            try (BufferedReader log = p.errorReader()) {
                awaitLogLine(log, "requesting the backend list from discovery");
                signal(p, "TERM");
                assertTrue(p.waitFor(60, TimeUnit.SECONDS));
                assertEquals(0, p.exitValue());
                assertTrue(log.lines().noneMatch(l -> l.endsWith("ready")), "it opened after the signal");
            } finally {
                p.destroyForcibly().waitFor();
            }
        }
    }

    /** Lists of the new address must apply a few seconds after the signal, and a startup can take that long. */
    @Test
    void configurationReloadedDuringWarmupAppliesAtOnce() throws Exception {
        try (Peer discovery = new Peer();
                Peer elsewhere = new Peer();
                Peer backend = new Peer()) {
            write(discovery, backend);
            Process p = serve(discovery, "-Xlog:disable");
            try (BufferedReader log = p.errorReader()) {
                awaitLogLine(log, "requesting the backend list from discovery");
                write(elsewhere, backend);
                signal(p, "HUP");
                String line = log.readLine();
                while (!line.contains("a new configuration")) {
                    assertFalse(line.contains("to warm up"), "the reload waited for the warm-up");
                    line = log.readLine();
                }
                assertTrue(elsewhere.accept().read().contains("index=41 "));
            } finally {
                p.destroyForcibly().waitFor();
            }
        }
    }

    /** On half a core each of these unused classes adds 0.1 s or more to a startup. */
    @Test
    void startupLoadsNoUnneededClasses() throws Exception {
        Path loaded = folder.resolve("loaded.txt");
        try (Peer discovery = new Peer();
                Peer backend = new Peer()) {
            write(discovery, backend);
            Process p = serve(discovery, "-Xlog:class+load:file=" + loaded);
            try (BufferedReader log = p.errorReader()) {
                awaitLogLine(log, "to warm up");
                discovery.accept();
            } finally {
                p.destroyForcibly().waitFor();
            }
            String classes = Files.readString(loaded);
            assertTrue(classes.contains(" gullspar.proxy.Warmup "), "no warm-up was run");
            for (String name : List.of(
                    ".AllocateChunkEvent ",
                    ".HttpServerCodec ",
                    ".ObjectMapper ",
                    ".SimpleDateFormat ",
                    " gullspar.site.",
                    " gullspar.route.",
                    " gullspar.config.",
                    " org.tomlj.",
                    " picocli.",
                    " gullspar.peers.",
                    ".cbor.",
                    ".DatagramPacket ")) {
                assertFalse(classes.contains(name), name);
            }
        }
    }

    /** Time zones are read from a file, and a proxy may have no descriptor left when a library logs a warning. */
    @Test
    void libraryLogNeedsNoTimeZones() throws Exception {
        Path loaded = folder.resolve("loaded.txt");
        Process p = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xlog:class+load:file=" + loaded,
                        "-cp",
                        System.getProperty("java.class.path"),
                        WarningProgram.class.getName())
                .start();
        try (BufferedReader log = p.errorReader()) {
            assertTrue(log.readLine().contains(" WARNING odd: java.lang.IllegalStateException: why at "));
            assertTrue(p.waitFor(20, TimeUnit.SECONDS));
        } finally {
            p.destroyForcibly();
        }
        assertFalse(Files.readString(loaded).contains("java.time.zone.TzdbZoneRulesProvider "));
    }

    /** Logs a warning through java.util.logging, as a library does. */
    static final class WarningProgram {
        private WarningProgram() {}

        public static void main(String[] args) {
            LibraryLogHandler.install();
            Logger.getLogger("library").log(Level.WARNING, "odd", new IllegalStateException("why"));
        }
    }

    @Test
    void reloadKeepsListAndMovesWatchOnlyWhenAddressChanges() throws Exception {
        try (Peer discovery = new Peer();
                Peer elsewhere = new Peer();
                Peer backend = new Peer();
                Setup setup = new Setup().start(Setup.config(discovery, backend))) {
            setup.listedServer();
            discovery.accept().read();
            setup.runOnLoop(() -> reload(setup, discovery, backend));
            setup.runOnLoop(() -> reload(setup, elsewhere, backend));
            assertTrue(elsewhere.accept().read().contains("index=41 "));
            assertTrue(discovery.hasNoNewConnection());
            assertTrue(setup.moduleEvents.stream().noneMatch(t -> t.type().equals("members")));
        }
    }

    private static void reload(Setup setup, Peer discovery, Peer backend) {
        try {
            setup.proxy.reload(Setup.config(discovery, backend));
        } catch (ConfigException e) {
            throw new AssertionError(e);
        }
    }
}
