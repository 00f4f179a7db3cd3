package gullspar.proxy.io;

import io.netty.channel.ChannelFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Listening at the start, where the system may lack for a moment what a socket needs. */
public final class ListenRetry {
    private static final long RETRY_INTERVAL_MS = 50;
    /** A start has 10 s, and its warm-up takes some of them. */
    private static final long MAX_RETRY_NS = TimeUnit.SECONDS.toNanos(5);

    private ListenRetry() {}

    /** Listens, again and again while this machine is short of something; what is wrong for good ends it at once. */
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
