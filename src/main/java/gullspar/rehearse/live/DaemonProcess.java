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

/** One real daemon as a process of its own, with the configuration that a platform would give it. */
final class DaemonProcess {
    private final Process process;
    private final Path config;

    private DaemonProcess(Process process, Path config) {
        this.process = process;
        this.config = config;
    }

    /** Starts one; its log lines go to the consumer, on a thread of their own. */
    static DaemonProcess start(Path directory, String name, JsonNode settings, int memoryMb, Consumer<String> log)
            throws IOException {
        Path config = directory.resolve(name + ".json");
        writeConfig(config, settings);
        // Its own sizes, as deploy/serve.sh sets them: what the runtime needs beside the heap is some 56 MB.
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
                        log.accept("(its log ended: " + e.getMessage() + ")");
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

    /** Runs the action, on another thread, once it has ended. */
    void onExit(Runnable action) {
        process.onExit().thenRun(action);
    }

    void kill() {
        process.toHandle().destroyForcibly(); // not by the process itself, which closes its log as well
    }

    /** Waits until a process that was killed is gone. */
    void awaitExit() {
        process.onExit().join();
    }

    /** SIGTERM. */
    void stop() {
        process.toHandle().destroy();
    }

    void reload(JsonNode settings) throws IOException {
        writeConfig(config, settings);
        signal("HUP");
    }

    void pause(boolean on) throws IOException {
        signal(on ? "STOP" : "CONT");
    }

    private void signal(String name) throws IOException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
    }
}
