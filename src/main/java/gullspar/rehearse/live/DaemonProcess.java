package gullspar.rehearse.live;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A real daemon in a separate process, with a configuration as a platform would write it. */
final class DaemonProcess {
    private final Process process;
    private final Path config;

    private DaemonProcess(Process process, Path config) {
        this.process = process;
        this.config = config;
    }

    /** Starts a daemon; its log lines are passed to the consumer on a separate thread. */
    static DaemonProcess start(Path directory, String name, JsonNode settings, int memoryMb, Consumer<String> log)
            throws IOException {
        Path config = directory.resolve(name + ".json");
        writeConfig(config, settings);
        // Sizes as in deploy/serve.sh: the runtime needs about 56 MB in addition to the heap.
        int heapMb = Math.max(16, Math.min(64, (memoryMb - 56) * 2 / 3));
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xms" + heapMb + "m",
                "-Xmx" + heapMb + "m",
                "-Xss512k",
                "-cp",
                System.getProperty("java.class.path"),
                "gullspar.Main",
                "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(Map.of("NODE_CONFIG", config.toString(), "NODE_NAME", name));
        builder.environment().keySet().removeAll(List.of("NODE_LISTEN", "NODE_DISCOVERY"));
        Process process = builder.start();
        process.getOutputStream().close();
        Thread reader = new Thread(
                () -> {
                    try (BufferedReader in = process.inputReader()) {
                        in.lines().forEach(log);
                    } catch (IOException | UncheckedIOException e) {
                        log.accept("(reading the log failed: " + e.getMessage() + ")");
                    }
                },
                "log of " + name);
        reader.setDaemon(true);
        reader.start();
        return new DaemonProcess(process, config);
    }

    private static void writeConfig(Path config, JsonNode settings) throws IOException {
        Path temporary = Files.writeString(config.resolveSibling(config.getFileName() + ".next"), settings.toString());
        Files.move(temporary, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Runs the action on another thread once the process has exited. */
    void onExit(Runnable action) {
        process.onExit().thenRun(action);
    }

    /** Sends SIGKILL. */
    void kill() {
        process.toHandle().destroyForcibly(); // Process.destroyForcibly() would also close the log stream
    }

    /** Waits until a killed process has exited. */
    void awaitExit() {
        process.onExit().join();
    }

    /** Sends SIGTERM. */
    void stop() {
        process.toHandle().destroy();
    }

    /** Writes a new configuration and sends SIGHUP. */
    void reload(JsonNode settings) throws IOException {
        writeConfig(config, settings);
        signal("HUP");
    }

    /** Sends SIGSTOP, or SIGCONT to resume. */
    void pause(boolean on) throws IOException {
        signal(on ? "STOP" : "CONT");
    }

    private void signal(String name) throws IOException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
    }
}
