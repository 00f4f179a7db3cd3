package gullspar.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Main class of the scale runs, see bench/scale/run.sh. A run has a time limit, and all processes that it started
 * end with it, however it ends.
 */
public final class ScaleRun {
    private static final int SMALL_TIMEOUT_S = 120, FULL_TIMEOUT_S = 840;

    private ScaleRun() {}

    public static void main(String[] args) {
        System.setProperty("io.netty.jfr.enabled", "false");
        System.exit(run(List.of(args)));
    }

    /** Runs with the given arguments and returns the exit code. */
    static int run(List<String> args) {
        try {
            Options o = Options.parse(args);
            try (ChildProcesses children = new ChildProcesses((long) o.memoryMb() << 20)) {
                runWithTimeout(o, children);
            }
            return 0;
        } catch (ScaleException e) {
            System.err.println("scale: " + e.getMessage());
            return e.code;
        } catch (IOException | UncheckedIOException e) {
            System.err.println("scale: " + e);
            return 1;
        }
    }

    private static void runWithTimeout(Options o, ChildProcesses children) throws ScaleException, IOException {
        CompletableFuture<Void> done = new CompletableFuture<>();
        Thread worker = new Thread(
                () -> {
                    try {
                        long began = System.nanoTime();
                        Results r = new Results();
                        RunMetadata.addStart(r, o);
                        new RunPlan(o, children, r).run();
                        RunMetadata.addEnd(r, children);
                        r.setProperty("seconds", (System.nanoTime() - began) / 1_000_000_000L);
                        r.write(Path.of(o.out()));
                        System.out.println("results written after " + (System.nanoTime() - began) / 1_000_000_000L
                                + " s: " + o.out());
                        done.complete(null);
                    } catch (ScaleException | IOException | RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                },
                "scale run");
        worker.setDaemon(true);
        worker.start();
        int seconds = o.full() ? FULL_TIMEOUT_S : SMALL_TIMEOUT_S;
        try {
            done.get(seconds, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            throw new ScaleException(ScaleException.TIME, "not finished after " + seconds + " s");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ScaleException(ScaleException.TIME, "interrupted");
        } catch (ExecutionException e) {
            if (e.getCause() instanceof ScaleException s) {
                children.checkHealth(); // a dead child that caused this error is reported instead of it
                throw s;
            }
            throw new IOException(e.getCause().toString(), e.getCause());
        }
    }
}
