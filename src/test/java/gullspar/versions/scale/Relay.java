package gullspar.versions.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Simulates a long, lossy link in front of a listener. Every byte is delayed; a lost segment holds up those behind
 * it by a retransmission time-out, drawn from 200 to 400 ms, and by another if the retransmission is lost too. TCP
 * on loopback loses nothing, so that the effect of loss on a connection has to be simulated.
 */
public final class Relay {
    private static final int SEGMENT_BYTES = 1448;
    private static final double RETRANSMIT_MIN_MS = 200;
    private static final double RETRANSMIT_SPREAD_MS = 200;

    private final long delayNs;
    private final double loss;
    private final SplittableRandom random;
    private final MultiThreadIoEventLoopGroup loops;
    private final InetSocketAddress target;
    /** Connections accepted since the start. */
    public final AtomicLong connections = new AtomicLong();

    /** Bytes relayed in both directions since the start. */
    public final AtomicLong bytes = new AtomicLong();

    private Channel listener;

    public Relay(InetSocketAddress target, double delayMs, double loss, long seed, MultiThreadIoEventLoopGroup loops) {
        this.target = target;
        this.delayNs = (long) (delayMs * 1e6);
        this.loss = loss;
        this.random = new SplittableRandom(seed);
        this.loops = loops;
    }

    /** Creates an event loop group of {@code n} threads for relays. */
    public static MultiThreadIoEventLoopGroup threads(int n) {
        return new MultiThreadIoEventLoopGroup(n, NioIoHandler.newFactory());
    }

    /** Listens on a free port and returns its address. */
    public InetSocketAddress listen() {
        listener = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        connections.incrementAndGet();
                        connect(c);
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) listener.localAddress();
    }

    public void close() {
        listener.close().syncUninterruptibly();
    }

    private void connect(Channel inbound) {
        ChannelFuture f = new Bootstrap()
                .group(inbound.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(target);
        f.addListener(done -> {
            if (!done.isSuccess()) {
                inbound.close();
                return;
            }
            Channel outbound = f.channel();
            inbound.pipeline().addLast(new Direction(outbound));
            outbound.pipeline().addLast(new Direction(inbound));
            inbound.config().setAutoRead(true);
            outbound.config().setAutoRead(true);
        });
    }

    /** Returns the delay of so many bytes, the retransmissions of lost segments included. */
    private synchronized long transitNs(int length) {
        long ns = delayNs;
        for (int i = 0; i < length; i += SEGMENT_BYTES) {
            while (random.nextDouble() < loss) {
                ns += (long) ((RETRANSMIT_MIN_MS + random.nextDouble() * RETRANSMIT_SPREAD_MS) * 1e6);
            }
        }
        return ns;
    }

    /** One direction of a connection. */
    private final class Direction extends ChannelInboundHandlerAdapter {
        private final Channel out;
        private long lastDeliveryNs;

        Direction(Channel out) {
            this.out = out;
        }

        private void schedule(EventLoop loop, int length, Runnable task) {
            long now = System.nanoTime();
            lastDeliveryNs = Math.max(lastDeliveryNs, now + transitNs(length));
            loop.schedule(task, lastDeliveryNs - now, TimeUnit.NANOSECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            int n = ((ByteBuf) message).readableBytes();
            bytes.addAndGet(n);
            schedule(context.channel().eventLoop(), n, () -> out.writeAndFlush(message));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            schedule(context.channel().eventLoop(), 1, out::close);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
