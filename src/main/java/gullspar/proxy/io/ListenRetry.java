package gullspar.proxy.io;

import io.netty.channel.ChannelFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Listening at the start, where the system may lack for a moment what a socket needs. */
public final class ListenRetry {
    private static final long PAUSE_MS = 50;
    /** A start has 10 s, and its warm-up takes some of them. */
    private static final long MOST_NS = TimeUnit.SECONDS.toNanos(5);

    private ListenRetry() {}

    /** Listens, again and again while this machine is short of something; what is wrong for good ends it at once. */
    public static ChannelFuture listen(Supplier<ChannelFuture> listen) {
        long end = System.nanoTime() + MOST_NS;
        ChannelFuture bound = listen.get().awaitUninterruptibly();
        while (!bound.isSuccess() && Shortage.of(bound.cause()) && System.nanoTime() < end) {
            try {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return bound;
            }
            bound = listen.get().awaitUninterruptibly();
        }
        return bound;
    }
}
