package gullspar.proxy.io;

import io.netty.channel.ChannelFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Retries listening at the start, when the system may briefly lack resources for a socket. */
public final class ListenRetry {
    private static final long RETRY_INTERVAL_MS = 50;
    /** Half of the 10 s that a start may take including its warm-up. */
    private static final long MAX_RETRY_NS = TimeUnit.SECONDS.toNanos(5);

    private ListenRetry() {}

    /** Listens, and retries while this machine lacks resources; any other failure is returned at once. */
    public static ChannelFuture listen(Supplier<ChannelFuture> listen) {
        long retryUntilNs = System.nanoTime() + MAX_RETRY_NS;
        ChannelFuture bindFuture = listen.get().awaitUninterruptibly();
        while (!bindFuture.isSuccess()
                && ResourceShortage.isCauseOf(bindFuture.cause())
                && System.nanoTime() < retryUntilNs) {
            try {
                TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return bindFuture;
            }
            bindFuture = listen.get().awaitUninterruptibly();
        }
        return bindFuture;
    }
}
