package gullspar.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/**
 * All processes of a run, kept within its limits, and the folder of their files. Closing it kills them by id and
 * deletes the folder.
 */
final class ChildProcesses implements AutoCloseable {
    private static final int MAX_PROCESSES = 200;

    private final List<ChildProcess> children = new CopyOnWriteArrayList<>();
    private final long maxBytes;
    private final Path folder;
    private final Thread killHook = new Thread(this::killAll, "kill children");
    private long peakBytes;

    /** maxBytes: limit on the resident memory of all processes together. */
    ChildProcesses(long maxBytes) throws IOException {
        this.maxBytes = maxBytes;
        this.folder = Files.createTempDirectory("gullspar-scale");
        Runtime.getRuntime().addShutdownHook(killHook);
    }

    Path folder() {
        return folder;
    }

    /**
     * Starts a process if the limits on processes and memory allow it; expectedMb is the most it may come to need.
     */
    ChildProcess start(String name, int expectedMb, List<String> command, Map<String, String> environment)
            throws ScaleException, IOException {
        checkHealth();
        if (children.stream().filter(ChildProcess::alive).count() >= MAX_PROCESSES) {
            throw new ScaleException(
                    ScaleException.MEMORY, name + " not started, process limit reached: " + MAX_PROCESSES);
        }
        long free = Math.min(maxBytes - residentBytes(), ProcessUsage.availableBytes());
        if (free < (long) expectedMb << 20) {
            throw new ScaleException(
                    ScaleException.MEMORY,
                    "too little memory for " + name + ": it may need " + expectedMb + " MB, " + (free >> 20)
                            + " MB are available");
        }
        ChildProcess c = ChildProcess.start(name, command, environment);
        children.add(c);
        System.out.println("started " + name + ", pid " + c.pid());
        return c;
    }

    private long residentBytes() throws IOException {
        long sum = 0;
        for (ChildProcess c : children) {
            sum += c.alive() ? ProcessUsage.residentBytes(c.pid()) : 0;
        }
        peakBytes = Math.max(peakBytes, sum);
        return sum;
    }

    /** Fails if a process has died unexpectedly or if all together exceed the memory limit. */
    void checkHealth() throws ScaleException {
        for (ChildProcess c : children) {
            if (c.diedUnexpectedly()) {
                throw c.deathException();
            }
        }
        try {
            if (residentBytes() > maxBytes) {
                throw new ScaleException(
                        ScaleException.MEMORY, "the processes use more than " + (maxBytes >> 20) + " MB");
            }
        } catch (IOException e) {
            return; // a process has just ended: the next check reports it
        }
    }

    long peakBytes() {
        return peakBytes;
    }

    private void killAll() {
        children.forEach(ChildProcess::kill);
    }

    /** Kills the processes and waits until they have ended. */
    void stop(List<ChildProcess> toStop) {
        toStop.forEach(ChildProcess::kill);
        toStop.forEach(ChildProcess::awaitExit);
        children.removeAll(toStop);
    }

    @Override
    public void close() throws IOException {
        stop(List.copyOf(children));
        try {
            Runtime.getRuntime().removeShutdownHook(killHook);
        } catch (IllegalStateException e) {
            killAll(); // this process is shutting down: the hook does the same
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        }
    }
}
