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

/** A stand-in's end of a connection: lets bytes through as the way of that moment does, in order. */
final class LinkHandler extends ChannelDuplexHandler {
    private static final AttributeKey<Long> READ_AT = AttributeKey.valueOf(LinkHandler.class, "read at");
    private static final AttributeKey<String> PEER = AttributeKey.valueOf(LinkHandler.class, "peer");

    private record Held(Object message, ChannelPromise promise, long readAt, long dueAt) {}

    private final LiveWays ways;
    private final String machine;
    private final LongSupplier clock;
    private final Queue<Held> in = new ArrayDeque<>();
    private final Queue<Held> out = new ArrayDeque<>();
    private ChannelHandlerContext ctx;
    private boolean ended;

    LinkHandler(LiveWays ways, String machine, LongSupplier clock) {
        this.ways = ways;
        this.machine = machine;
        this.clock = clock;
    }

    /** When what is being read on a channel came to this machine, in ns of the day's clock. */
    static long readAt(Channel c, long otherwise) {
        Long at = c.attr(READ_AT).get();
        return at == null ? otherwise : at;
    }

    /** Tells whose connection it is, once that is known. */
    static void peer(Channel c, String name) {
        c.attr(PEER).set(name);
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
        ways.opened(this);
    }

    void reset() {
        ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        ctx.channel().close();
    }

    @Override
    public void channelRead(ChannelHandlerContext c, Object message) {
        long now = clock.getAsLong();
        long extra = ways.extraNs(peer(), machine);
        if (in.isEmpty() && extra == 0 && !ways.holds(peer(), machine)) {
            c.channel().attr(READ_AT).set(now);
            c.fireChannelRead(message);
            return;
        }
        in.add(new Held(message, null, now, now + extra));
        later(extra);
    }

    @Override
    public void write(ChannelHandlerContext c, Object message, ChannelPromise promise) {
        long now = clock.getAsLong();
        long extra = ways.extraNs(machine, peer());
        if (out.isEmpty() && extra == 0 && !ways.holds(machine, peer())) {
            c.write(message, promise);
            return;
        }
        out.add(new Held(message, promise, 0, now + extra));
        later(extra);
    }

    @Override
    public void close(ChannelHandlerContext c, ChannelPromise promise) {
        if (out.isEmpty()) {
            c.close(promise);
        } else {
            ended = true; // behind what is still held
        }
    }

    private void later(long ns) {
        ctx.executor().schedule(this::release, Math.max(1, ns), TimeUnit.NANOSECONDS);
    }

    /** Lets through what is due. */
    void release() {
        long now = clock.getAsLong();
        boolean any = false;
        while (!in.isEmpty() && in.peek().dueAt <= now && !ways.holds(peer(), machine)) {
            Held h = in.remove();
            ctx.channel().attr(READ_AT).set(h.readAt);
            ctx.fireChannelRead(h.message);
            any = true;
        }
        if (any) {
            ctx.fireChannelReadComplete();
        }
        any = false;
        while (!out.isEmpty() && out.peek().dueAt <= now && !ways.holds(machine, peer())) {
            Held h = out.remove();
            ctx.write(h.message, h.promise);
            any = true;
        }
        if (any) {
            ctx.flush();
        }
        if (ended && out.isEmpty()) {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext c) {
        ways.closed(this);
        in.forEach(h -> ReferenceCountUtil.release(h.message));
        out.forEach(h -> ReferenceCountUtil.release(h.message));
        in.clear();
        out.clear();
        c.fireChannelInactive();
    }
}
