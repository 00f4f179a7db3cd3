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
public final class AcceptFailures extends ChannelInboundHandlerAdapter {
    static final long FIRST_PAUSE_MS = 5;
    static final long LONGEST_PAUSE_MS = 80;

    private final BooleanSupplier closeOneIdle;
    private long pauseMs = FIRST_PAUSE_MS;
    private boolean pausing;
    private long failures;

    /** closeOneIdle: gives back a descriptor, if one can be spared. */
    public AcceptFailures(BooleanSupplier closeOneIdle) {
        this.closeOneIdle = closeOneIdle;
    }

    /** The same listener, which goes on so; nothing is closed for it. */
    public static ChannelFuture on(ChannelFuture listening) {
        listening.channel().pipeline().addFirst(new AcceptFailures(() -> false));
        return listening;
    }

    /** Is accepting resting, so that connections may wait in the system's queue? */
    public boolean pausing() {
        return pausing;
    }

    /** Accepts that failed so far. */
    public long failures() {
        return failures;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object connection) {
        pauseMs = FIRST_PAUSE_MS;
        context.fireChannelRead(connection);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failures++;
        closeOneIdle.getAsBoolean();
        if (pausing) {
            return;
        }
        pausing = true;
        context.channel().config().setAutoRead(false); // what waits would be reported again and again
        context.executor().schedule(() -> resume(context), pauseMs, TimeUnit.MILLISECONDS);
        pauseMs = Math.min(2 * pauseMs, LONGEST_PAUSE_MS);
    }

    private void resume(ChannelHandlerContext context) {
        pausing = false;
        context.channel().config().setAutoRead(true);
    }
}
