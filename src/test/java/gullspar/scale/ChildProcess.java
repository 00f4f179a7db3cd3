package gullspar.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.TimeUnit;

/** A process that this run has started. It is killed by its own id, never by name. */
final class ChildProcess {
    private static final int MAX_BUFFERED_LINES = 20;

    private final String name;
    private final Process process;
    private final LinkedBlockingDeque<String> recentLines = new LinkedBlockingDeque<>();
    private final Writer in;
    private volatile boolean stopping;

    private ChildProcess(String name, Process process) {
        this.name = name;
        this.process = process;
        this.in = process.outputWriter(StandardCharsets.UTF_8);
        Thread reader = new Thread(this::readOutput, "output of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    static ChildProcess start(String name, List<String> command, Map<String, String> environment)
            throws ScaleException {
        ProcessBuilder b = new ProcessBuilder(command).redirectErrorStream(true);
        b.environment().keySet().removeAll(List.of("NODE_LISTEN", "NODE_DISCOVERY", "JDK_JAVA_OPTIONS"));
        b.environment().putAll(environment);
        try {
            return new ChildProcess(name, b.start());
        } catch (IOException e) {
            throw new ScaleException(ScaleException.CHILD, name + " failed to start: " + e.getMessage());
        }
    }

    /**
     * Returns the command for this Java runtime with the flags of deploy/serve.sh; 2/5 of the heap is young
     * generation.
     */
    static List<String> javaCommand(int heapMb, String... arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:CompileThresholdScaling=0.4",
                "-Xss512k",
                "-Xms" + heapMb + "m",
                "-Xmx" + heapMb + "m",
                "-Xmn" + heapMb * 2 / 5 + "m",
                "-cp",
                System.getProperty("java.class.path")));
        command.addAll(List.of(arguments));
        return command;
    }

    private void readOutput() {
        try (BufferedReader r = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = r.readLine(); line != null; line = r.readLine()) {
                recentLines.add(line);
                while (recentLines.size() > MAX_BUFFERED_LINES) {
                    recentLines.poll();
                }
            }
        } catch (IOException | UncheckedIOException e) {
            recentLines.add("(" + e.getMessage() + ")");
        }
    }

    String name() {
        return name;
    }

    long pid() {
        return process.pid();
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Returns whether the process has ended without {@link #kill()}. */
    boolean diedUnexpectedly() {
        return !stopping && !process.isAlive();
    }

    ScaleException deathException() {
        return new ScaleException(
                ScaleException.CHILD,
                name + ", pid " + process.pid()
                        + ", has died, exit code " + (process.isAlive() ? "none yet" : process.exitValue()) + ": "
                        + (recentLines.isEmpty() ? "no output" : recentLines.peekLast()));
    }

    /** Waits for an output line that contains the text. */
    void awaitLine(String text, int seconds) throws ScaleException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end) {
            String line = poll();
            if (line != null && line.contains(text)) {
                return;
            }
            if (line == null && !process.isAlive()) {
                throw deathException();
            }
        }
        throw new ScaleException(
                ScaleException.TIME,
                name + ", pid " + process.pid() + ", did not print '" + text + "' within " + seconds + " s");
    }

    private String poll() throws ScaleException {
        try {
            return recentLines.poll(100, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ScaleException(ScaleException.TIME, "interrupted");
        }
    }

    void send(String command) throws ScaleException {
        try {
            in.write(command + "\n");
            in.flush();
        } catch (IOException e) {
            throw deathException();
        }
    }

    /** Waits for the answer line to the last command and returns it without its prefix. */
    String awaitAnswer(int seconds) throws ScaleException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end) {
            String line = poll();
            if (line != null && line.startsWith(HollowProcess.ANSWER_PREFIX)) {
                return line.substring(HollowProcess.ANSWER_PREFIX.length());
            }
            if (line == null && !process.isAlive()) {
                throw deathException();
            }
        }
        throw new ScaleException(
                ScaleException.TIME, name + ", pid " + process.pid() + ", did not answer within " + seconds + " s");
    }

    /** Sends a command and waits for its answer. */
    String ask(String command) throws ScaleException {
        send(command);
        return awaitAnswer(150);
    }

    /** Sends SIGHUP. */
    void sendHangup() throws ScaleException {
        try {
            new ProcessBuilder("kill", "-HUP", Long.toString(pid())).start().waitFor();
        } catch (IOException | InterruptedException e) {
            throw new ScaleException(ScaleException.CHILD, "cannot signal " + name + ": " + e.getMessage());
        }
    }

    void kill() {
        stopping = true;
        process.toHandle().destroyForcibly();
    }

    void awaitExit() {
        process.onExit().join();
    }
}
