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

/** A process that this run has started, and ends by its id. */
final class Child {
    private static final int LINES = 20;

    private final String name;
    private final Process process;
    private final LinkedBlockingDeque<String> lines = new LinkedBlockingDeque<>();
    private final Writer in;
    private volatile boolean ending;

    private Child(String name, Process process) {
        this.name = name;
        this.process = process;
        this.in = process.outputWriter(StandardCharsets.UTF_8);
        Thread reader = new Thread(this::read, "words of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    static Child start(String name, List<String> command, Map<String, String> environment) throws ScaleException {
        ProcessBuilder b = new ProcessBuilder(command).redirectErrorStream(true);
        b.environment().keySet().removeAll(List.of("NODE_LISTEN", "NODE_DISCOVERY", "JDK_JAVA_OPTIONS"));
        b.environment().putAll(environment);
        try {
            return new Child(name, b.start());
        } catch (IOException e) {
            throw new ScaleException(ScaleException.CHILD, name + " cannot be started: " + e.getMessage());
        }
    }

    /** This runtime with the flags that deploy/serve.sh sets, and a heap of its own, young in proportion. */
    static List<String> java(int heapMb, String... more) {
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
        command.addAll(List.of(more));
        return command;
    }

    private void read() {
        try (BufferedReader r = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = r.readLine(); line != null; line = r.readLine()) {
                lines.add(line);
                while (lines.size() > LINES) {
                    lines.poll();
                }
            }
        } catch (IOException | UncheckedIOException e) {
            lines.add("(" + e.getMessage() + ")");
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

    /** Has it ended, though nobody told it to? */
    boolean died() {
        return !ending && !process.isAlive();
    }

    ScaleException death() {
        return new ScaleException(
                ScaleException.CHILD,
                name + ", pid " + process.pid()
                        + ", has died, exit code " + (process.isAlive() ? "none yet" : process.exitValue()) + ": "
                        + (lines.isEmpty() ? "it said nothing" : lines.peekLast()));
    }

    /** Waits for a line of it that holds the text. */
    void await(String text, int seconds) throws ScaleException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end) {
            String line = poll();
            if (line != null && line.contains(text)) {
                return;
            }
            if (line == null && !process.isAlive()) {
                throw death();
            }
        }
        throw new ScaleException(
                ScaleException.TIME,
                name + ", pid " + process.pid() + ", has not said '" + text + "' within " + seconds + " s");
    }

    private String poll() throws ScaleException {
        try {
            return lines.poll(100, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ScaleException(ScaleException.TIME, "interrupted");
        }
    }

    void say(String command) throws ScaleException {
        try {
            in.write(command + "\n");
            in.flush();
        } catch (IOException e) {
            throw death();
        }
    }

    /** The one line that it answers. */
    String answer(int seconds) throws ScaleException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end) {
            String line = poll();
            if (line != null && line.startsWith(Hollow.ANSWER)) {
                return line.substring(Hollow.ANSWER.length());
            }
            if (line == null && !process.isAlive()) {
                throw death();
            }
        }
        throw new ScaleException(
                ScaleException.TIME, name + ", pid " + process.pid() + ", has not answered within " + seconds + " s");
    }

    String ask(String command) throws ScaleException {
        say(command);
        return answer(150);
    }

    /** SIGHUP. */
    void hangUp() throws ScaleException {
        try {
            new ProcessBuilder("kill", "-HUP", Long.toString(pid())).start().waitFor();
        } catch (IOException | InterruptedException e) {
            throw new ScaleException(ScaleException.CHILD, "no signal for " + name + ": " + e.getMessage());
        }
    }

    void kill() {
        ending = true;
        process.toHandle().destroyForcibly();
    }

    /** Waits until it is gone. */
    void awaitEnd() {
        process.onExit().join();
    }
}
