package gullspar.scale;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/** Work that goes on beside other work; what goes wrong with it is thrown where it is awaited. */
final class BackgroundTask {
    /** Some trials. */
    interface ThrowingRunnable {
        void run() throws ScaleException, IOException;
    }

    private final CompletableFuture<Void> done = new CompletableFuture<>();

    BackgroundTask(ThrowingRunnable work) {
        Thread t = new Thread(
                () -> {
                    try {
                        work.run();
                        done.complete(null);
                    } catch (ScaleException | IOException | RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                },
                "beside");
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
