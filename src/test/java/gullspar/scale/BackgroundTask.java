package gullspar.scale;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/** Runs trials on a daemon thread; their exception is rethrown by {@link #await()}. */
final class BackgroundTask {
    /** A task that may throw the exceptions of a trial. */
    interface ThrowingRunnable {
        void run() throws ScaleException, IOException;
    }

    private final CompletableFuture<Void> done = new CompletableFuture<>();

    BackgroundTask(ThrowingRunnable task) {
        Thread t = new Thread(
                () -> {
                    try {
                        task.run();
                        done.complete(null);
                    } catch (ScaleException | IOException | RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                },
                "background trials");
        t.setDaemon(true);
        t.start();
    }

    void await() throws ScaleException, IOException {
        try {
            done.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ScaleException(ScaleException.TIME, "interrupted");
        } catch (ExecutionException e) {
            if (e.getCause() instanceof ScaleException s) {
                throw s;
            }
            throw new IOException(e.getCause().toString(), e.getCause());
        }
    }
}
