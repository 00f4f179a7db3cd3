package gullspar.proxy.io;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Goes on accepting soon after the system refused to: stands ahead of the library's own handler, which rests
 * for a second after each failure, longer than some requests have.
 */
public final class AcceptBackoff extends ChannelInboundHandlerAdapter {
    static final long INITIAL_BACKOFF_MS = 5;
    static final long MAX_BACKOFF_MS = 80;

    private final BooleanSupplier closeOneIdle;
    private long backoffMs = INITIAL_BACKOFF_MS;
    private boolean isPaused;
    private long failureCount;

    /** closeOneIdle: gives back a descriptor, if one can be spared. */
    public AcceptBackoff(BooleanSupplier closeOneIdle) {
        this.closeOneIdle = closeOneIdle;
    }

    /** The same listener, which goes on so; nothing is closed for it. */
    public static ChannelFuture addTo(ChannelFuture bindFuture) {
        bindFuture.channel().pipeline().addFirst(new AcceptBackoff(() -> false));
        return bindFuture;
    }

    /** Is accepting resting, so that connections may wait in the system's queue? */
    public boolean isPaused() {
        return isPaused;
    }

    /** Accepts that failed so far. */
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
        context.channel().config().setAutoRead(false); // what waits would be reported again and again
        context.executor().schedule(() -> resume(context), backoffMs, TimeUnit.MILLISECONDS);
        backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
    }

    private void resume(ChannelHandlerContext context) {
        isPaused = false;
        context.channel().config().setAutoRead(true);
    }
}
