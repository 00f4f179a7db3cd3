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
 * The scale runs' driver: see bench/scale/run.sh. It is bounded in time, and whatever ends it, all processes
 * that it started end with it.
 */
public final class ScaleRun {
    private static final int SMALL_S = 120, FULL_S = 840;

    private ScaleRun() {}

    public static void main(String[] args) {
        System.setProperty("io.netty.jfr.enabled", "false");
        System.exit(run(List.of(args)));
    }

    /** The exit code. */
    static int run(List<String> args) {
        try {
            Options o = Options.of(args);
            try (Children children = new Children((long) o.memoryMb() << 20)) {
                bounded(o, children);
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

    private static void bounded(Options o, Children children) throws ScaleException, IOException {
        CompletableFuture<Void> done = new CompletableFuture<>();
        Thread work = new Thread(
                () -> {
                    try {
                        long began = System.nanoTime();
                        Results r = new Results();
                        Machine.describe(r, o);
                        new Plan(o, children, r).run();
                        Machine.describeEnd(r, children);
                        r.head("seconds", (System.nanoTime() - began) / 1_000_000_000L);
                        r.write(Path.of(o.out()));
                        System.out.println(
                                "written after " + (System.nanoTime() - began) / 1_000_000_000L + " s: " + o.out());
                        done.complete(null);
                    } catch (ScaleException | IOException | RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                },
                "scale run");
        work.setDaemon(true);
        work.start();
        int seconds = o.full() ? FULL_S : SMALL_S;
        try {
            done.get(seconds, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            throw new ScaleException(ScaleException.TIME, "not done after " + seconds + " s");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ScaleException(ScaleException.TIME, "interrupted");
        } catch (ExecutionException e) {
            if (e.getCause() instanceof ScaleException s) {
                children.look(); // a death behind another complaint comes first
                throw s;
            }
            throw new IOException(e.getCause().toString(), e.getCause());
        }
    }
}
