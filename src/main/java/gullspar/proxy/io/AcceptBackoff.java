package gullspar.proxy.io;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Resumes accepting a few milliseconds after accept() failed. Must precede Netty's own acceptor, which pauses
 * for a second after each failure: longer than the deadlines of some requests.
 */
public final class AcceptBackoff extends ChannelInboundHandlerAdapter {
    static final long INITIAL_BACKOFF_MS = 5;
    static final long MAX_BACKOFF_MS = 80;

    private final BooleanSupplier closeOneIdle;
    private long backoffMs = INITIAL_BACKOFF_MS;
    private boolean isPaused;
    private long failureCount;

    /**
     * Creates the handler of one listener.
     *
     * @param closeOneIdle closes an idle connection to free a descriptor; returns false if there is none
     */
    public AcceptBackoff(BooleanSupplier closeOneIdle) {
        this.closeOneIdle = closeOneIdle;
    }

    /** Installs the backoff on a listener, without closing idle connections; returns the same future. */
    public static ChannelFuture addTo(ChannelFuture bindFuture) {
        bindFuture.channel().pipeline().addFirst(new AcceptBackoff(() -> false));
        return bindFuture;
    }

    /** Whether accepting is paused, so that connections may be waiting in the kernel's accept queue. */
    public boolean isPaused() {
        return isPaused;
    }

    /** Number of failed accepts since the start. */
    public long failureCount() {
        return failureCount;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object connection) {
        backoffMs = INITIAL_BACKOFF_MS;
        context.fireChannelRead(connection);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failureCount++;
        closeOneIdle.getAsBoolean();
        if (isPaused) {
            return;
        }
        isPaused = true;
        context.channel().config().setAutoRead(false); // the selector would report pending connections continuously
        context.executor().schedule(() -> resume(context), backoffMs, TimeUnit.MILLISECONDS);
        backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
    }

    private void resume(ChannelHandlerContext context) {
        isPaused = false;
        context.channel().config().setAutoRead(true);
    }
}
