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

/** The program as a process, with the signals that it gets in service. */
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

    /** Starts the program. */
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

    /** Reads the log until a line holds the text. */
    private static void said(BufferedReader log, String text) throws Exception {
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            line = log.readLine();
        }
        assertTrue(line != null, "the process ended without saying: " + text);
    }

    @Test
    void whereDescriptor0IsNoListenerTheStartSaysSo() throws Exception {
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
                said(log, "gullspar: descriptor 0 is not a listening socket");
            }
            assertEquals(1, p.waitFor());
        }
    }

    @Test
    void newConfigurationsMoveTheWatchABadOneChangesNothingAndSigtermStillEndsWell() throws Exception {
        try (Peer first = new Peer();
                Peer second = new Peer();
                Peer third = new Peer();
                Peer backend = new Peer()) {
            write(first, backend);
            Process p = serve(first, "-Xlog:disable");
            try (BufferedReader log = p.errorReader()) {
                assertTrue(first.accept().read().contains("index=41 "));
                said(log, "ready"); // during the warm-up signals count too, but another end is a good one
                write(second, backend);
                signal(p, "HUP");
                Peer.Wire watch = second.accept(); // the file wins over the environment of the start
                assertTrue(watch.read().contains("index=41 "));
                write("{\"listen\":");
                signal(p, "HUP");
                said(log, "is not used");
                write(third, backend);
                signal(p, "HUP");
                assertTrue(third.accept().read().contains("index=41 "));
                assertTrue(watch.ended());
                signal(p, "TERM");
                said(log, "drained");
                assertTrue(p.waitFor(20, TimeUnit.SECONDS));
                assertEquals(0, p.exitValue());
            } finally {
                p.destroyForcibly();
            }
        }
    }

    /**
     * The runtime leaves a signal alone that was ignored when it started, and says nothing of it. Without the
     * signal too a new configuration counts: a proxy that went by the old place would hold its list for good.
     */
    @Test
    void whereSighupIsIgnoredTheStartSaysSoAndTheFileIsLookedAt() throws Exception {
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
                said(log, "SIGHUP is not handled");
                said(log, "to warm up");
                write("{\"listen\":");
                said(log, "is not used");
                write(elsewhere, backend);
                said(log, "a new configuration");
                assertTrue(elsewhere.accept().read().contains("index=41 "));
            } finally {
                p.destroyForcibly().waitFor();
            }
        }
    }

    /** Where many start at once discovery answers one after the other: its answer is not waited for twice. */
    @Test
    void theListIsAskedForBeforeTheWarmUp() throws Exception {
        try (Peer discovery = new Peer();
                Peer backend = new Peer()) {
            write(discovery, backend);
            Process p = serve(discovery, "-Xlog:disable");
            try (BufferedReader log = p.errorReader()) {
                said(log, "asks discovery");
                said(log, "to warm up");
                said(log, "ready");
            } finally {
                p.destroyForcibly().waitFor();
            }
        }
    }

    /** Before it takes clients a proxy holds nothing: told to end it ends at once, and well. */
    @Test
    void aSignalToEndDuringTheWarmUpEndsWell() throws Exception {
        try (Peer discovery = new Peer();
                Peer backend = new Peer()) {
            write(discovery, backend);
            Process p = serve(discovery, "-Xlog:disable");
            try (BufferedReader log = p.errorReader()) {
                said(log, "asks discovery");
                signal(p, "TERM");
                assertTrue(p.waitFor(60, TimeUnit.SECONDS));
                assertEquals(0, p.exitValue());
                assertTrue(log.lines().noneMatch(l -> l.endsWith("ready")), "it opened all the same");
            } finally {
                p.destroyForcibly().waitFor();
            }
        }
    }

    /** Lists of the new place count some seconds after the signal, and a start may take as long. */
    @Test
    void aNewConfigurationDuringTheWarmUpCountsAtOnce() throws Exception {
        try (Peer discovery = new Peer();
                Peer elsewhere = new Peer();
                Peer backend = new Peer()) {
            write(discovery, backend);
            Process p = serve(discovery, "-Xlog:disable");
            try (BufferedReader log = p.errorReader()) {
                said(log, "asks discovery");
                write(elsewhere, backend);
                signal(p, "HUP");
                String line = log.readLine();
                while (!line.contains("a new configuration")) {
                    assertFalse(line.contains("to warm up"), "it waited for the warm-up");
                    line = log.readLine();
                }
                assertTrue(elsewhere.accept().read().contains("index=41 "));
            } finally {
                p.destroyForcibly().waitFor();
            }
        }
    }

    /** On half a core each of these costs a start a tenth of a second or more, and none is of use there. */
    @Test
    void aStartLoadsNothingOfWhatItHasNoUseFor() throws Exception {
        Path loaded = folder.resolve("loaded.txt");
        try (Peer discovery = new Peer();
                Peer backend = new Peer()) {
            write(discovery, backend);
            Process p = serve(discovery, "-Xlog:class+load:file=" + loaded);
            try (BufferedReader log = p.errorReader()) {
                said(log, "to warm up");
                discovery.accept();
            } finally {
                p.destroyForcibly().waitFor();
            }
            String classes = Files.readString(loaded);
            assertTrue(classes.contains(" gullspar.proxy.Warmup "), "it was not warmed up");
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

    /** Time zones come from a file, and a proxy may have no descriptor left when a library has to warn. */
    @Test
    void whatALibraryLogsNeedsNoTimeZones() throws Exception {
        Path loaded = folder.resolve("loaded.txt");
        Process p = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xlog:class+load:file=" + loaded,
                        "-cp",
                        System.getProperty("java.class.path"),
                        Warning.class.getName())
                .start();
        try (BufferedReader log = p.errorReader()) {
            assertTrue(log.readLine().contains(" WARNING odd: java.lang.IllegalStateException: why at "));
            assertTrue(p.waitFor(20, TimeUnit.SECONDS));
        } finally {
            p.destroyForcibly();
        }
        assertFalse(Files.readString(loaded).contains("java.time.zone.TzdbZoneRulesProvider "));
    }

    /** A program that logs a warning as a library does. */
    static final class Warning {
        private Warning() {}

        public static void main(String[] args) {
            LibraryLogHandler.install();
            Logger.getLogger("library").log(Level.WARNING, "odd", new IllegalStateException("why"));
        }
    }

    @Test
    void theModuleKeepsItsListAndNothingIsToldTwiceWhenTheAddressIsTheSame() throws Exception {
        try (Peer discovery = new Peer();
                Peer elsewhere = new Peer();
                Peer backend = new Peer();
                Setup setup = new Setup().start(Setup.config(discovery, backend))) {
            setup.backend();
            discovery.accept().read();
            setup.act(() -> reload(setup, discovery, backend));
            setup.act(() -> reload(setup, elsewhere, backend));
            assertTrue(elsewhere.accept().read().contains("index=41 "));
            assertTrue(discovery.quiet());
            assertTrue(setup.told.stream().noneMatch(t -> t.what().equals("members")));
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
