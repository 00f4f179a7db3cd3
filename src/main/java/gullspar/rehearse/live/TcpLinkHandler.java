package gullspar.rehearse.live;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A simulated machine's end of a connection: delays or holds data in both directions according to the state of the
 * link, and keeps it in order.
 */
final class TcpLinkHandler extends ChannelDuplexHandler {
    private static final AttributeKey<Long> READ_AT = AttributeKey.valueOf(TcpLinkHandler.class, "read at");
    private static final AttributeKey<String> PEER = AttributeKey.valueOf(TcpLinkHandler.class, "peer");

    private record HeldMessage(Object message, ChannelPromise promise, long readAt, long dueAt) {}

    private final TcpLinks links;
    private final String machine;
    private final LongSupplier clock;
    private final Queue<HeldMessage> heldReads = new ArrayDeque<>();
    private final Queue<HeldMessage> heldWrites = new ArrayDeque<>();
    private ChannelHandlerContext ctx;
    private boolean closePending;

    TcpLinkHandler(TcpLinks links, String machine, LongSupplier clock) {
        this.links = links;
        this.machine = machine;
        this.clock = clock;
    }

    /** When the data being read on a channel arrived at this machine, in ns of the day's clock. */
    static long readAt(Channel channel, long defaultNs) {
        Long at = channel.attr(READ_AT).get();
        return at == null ? defaultNs : at;
    }

    /** Sets the machine at the other end of a channel, once it is known. */
    static void setPeer(Channel channel, String name) {
        channel.attr(PEER).set(name);
    }

    String machine() {
        return machine;
    }

    String peer() {
        String name = ctx == null ? null : ctx.channel().attr(PEER).get();
        return name == null ? "" : name;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext c) {
        ctx = c;
        links.addHandler(this);
    }

    /** Closes the connection with a reset. */
    void reset() {
        ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        ctx.channel().close();
    }

    @Override
    public void channelRead(ChannelHandlerContext c, Object message) {
        long now = clock.getAsLong();
        long extraDelayNs = links.drawExtraDelayNs(peer(), machine);
        if (heldReads.isEmpty() && extraDelayNs == 0 && !links.isBlocked(peer(), machine)) {
            c.channel().attr(READ_AT).set(now);
            c.fireChannelRead(message);
            return;
        }
        heldReads.add(new HeldMessage(message, null, now, now + extraDelayNs));
        scheduleRelease(extraDelayNs);
    }

    @Override
    public void write(ChannelHandlerContext c, Object message, ChannelPromise promise) {
        long now = clock.getAsLong();
        long extraDelayNs = links.drawExtraDelayNs(machine, peer());
        if (heldWrites.isEmpty() && extraDelayNs == 0 && !links.isBlocked(machine, peer())) {
            c.write(message, promise);
            return;
        }
        heldWrites.add(new HeldMessage(message, promise, 0, now + extraDelayNs));
        scheduleRelease(extraDelayNs);
    }

    @Override
    public void close(ChannelHandlerContext c, ChannelPromise promise) {
        if (heldWrites.isEmpty()) {
            c.close(promise);
        } else {
            closePending = true; // closes after the held writes
        }
    }

    private void scheduleRelease(long delayNs) {
        ctx.executor().schedule(this::release, Math.max(1, delayNs), TimeUnit.NANOSECONDS);
    }

    /** Passes on the held messages that are due. */
    void release() {
        long now = clock.getAsLong();
        boolean released = false;
        while (!heldReads.isEmpty() && heldReads.peek().dueAt <= now && !links.isBlocked(peer(), machine)) {
            HeldMessage h = heldReads.remove();
            ctx.channel().attr(READ_AT).set(h.readAt);
            ctx.fireChannelRead(h.message);
            released = true;
        }
        if (released) {
            ctx.fireChannelReadComplete();
        }
        released = false;
        while (!heldWrites.isEmpty() && heldWrites.peek().dueAt <= now && !links.isBlocked(machine, peer())) {
            HeldMessage h = heldWrites.remove();
            ctx.write(h.message, h.promise);
            released = true;
        }
        if (released) {
            ctx.flush();
        }
        if (closePending && heldWrites.isEmpty()) {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext c) {
        links.removeHandler(this);
        heldReads.forEach(h -> ReferenceCountUtil.release(h.message));
        heldWrites.forEach(h -> ReferenceCountUtil.release(h.message));
        heldReads.clear();
        heldWrites.clear();
        c.fireChannelInactive();
    }
}
