package gullspar.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * Discovery for all proxies of a run: lists are pushed, one listener for each zone. All that it writes and
 * reads is counted by kind, as the bytes of HTTP. On one loop of its own.
 */
final class DiscoveryStandIn implements AutoCloseable {
    private static final long HEARTBEAT_MS = 2000;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final BackendList list;
    private final TrafficCounter traffic = new TrafficCounter();
    private final InetSocketAddress[] addresses = new InetSocketAddress[BackendList.ZONES];
    private final Channel[] listeners = new Channel[BackendList.ZONES];
    private final boolean[] cutOff = new boolean[BackendList.ZONES];
    private final Set<Watch> watches = new LinkedHashSet<>();
    private boolean fullListsOnly;

    /** port: of the first zone's listener, 0 for any. */
    DiscoveryStandIn(BackendList list, int port) throws ScaleException {
        this.list = list;
        for (int z = 0; z < addresses.length; z++) {
            ChannelFuture f = bind(z, new InetSocketAddress("127.0.0.1", z == 0 ? port : 0));
            if (!f.awaitUninterruptibly().isSuccess()) {
                close();
                throw new ScaleException(
                        ScaleException.PORT,
                        "port " + port + " is taken: " + f.cause().getMessage());
            }
            addresses[z] = (InetSocketAddress) f.channel().localAddress();
        }
    }

    private ChannelFuture bind(int zone, InetSocketAddress at) {
        ChannelFuture f = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 4096)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new Watch(zone));
                    }
                })
                .bind(at);
        listeners[zone] = f.channel();
        return f;
    }

    InetSocketAddress address(int zone) {
        return addresses[zone % addresses.length];
    }

    private <T> T onLoop(Callable<T> what) {
        try {
            return loop.submit(what).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A change, and what it is known by. */
    record PushedVersion(long version, long pushedAtNs) {}

    /** A backend comes or goes. */
    PushedVersion pushChange(int number, boolean present) {
        return onLoop(() -> push(list.setPresent(number, present), "change"));
    }

    /** The weights of so many are told anew. */
    PushedVersion pushWeights(int count, double weight) {
        return onLoop(() -> push(list.setWeights(count, weight), "weights"));
    }

    private PushedVersion push(byte[] line, String kind) {
        long at = System.nanoTime();
        ByteBuf chunk = chunk(line);
        watches.forEach(w -> w.push(chunk, kind));
        chunk.release();
        return new PushedVersion(list.version(), at);
    }

    long version() {
        return onLoop(list::version);
    }

    int watchCount() {
        return onLoop(watches::size);
    }

    Map<String, TrafficCounter.Total> trafficByKind() {
        return onLoop(traffic::totalsByKind);
    }

    long peakBytesPerSecond(long fromNs) {
        return onLoop(() -> traffic.peakBytesPerSecond(fromNs));
    }

    /** A zone hears nothing and is not heard, until it is back; connections stay open. */
    void setCutOff(int zone, boolean on) {
        onLoop(() -> {
            cutOff[zone] = on;
            if (!on) {
                watches.stream().filter(w -> w.zone == zone).toList().forEach(Watch::sendPending);
            }
            return null;
        });
    }

    /** It is gone: connections end, new ones are refused; or back, at the same addresses. */
    void setDown(boolean on) throws ScaleException {
        if (on) {
            onLoop(() -> {
                List.of(listeners).forEach(Channel::close);
                List.copyOf(watches).forEach(Watch::close);
                return null;
            });
            return;
        }
        for (int z = 0; z < addresses.length; z++) {
            if (!bind(z, addresses[z]).awaitUninterruptibly().isSuccess()) {
                throw new ScaleException(ScaleException.PORT, "discovery cannot come back at " + addresses[z]);
            }
        }
    }

    /** All watches end, and whoever comes back gets the whole list. */
    PushedVersion resetWatches() {
        return onLoop(() -> {
            fullListsOnly = true;
            list.setPresent(0, true);
            long at = System.nanoTime();
            List.copyOf(watches).forEach(Watch::close);
            return new PushedVersion(list.version(), at);
        });
    }

    /** From now on whoever comes back gets only what changed. */
    void allowDeltas() {
        onLoop(() -> fullListsOnly = false);
    }

    private static ByteBuf chunk(byte[] line) {
        return Unpooled.wrappedBuffer(
                Unpooled.copiedBuffer(Integer.toHexString(line.length) + "\r\n", StandardCharsets.US_ASCII),
                Unpooled.wrappedBuffer(line),
                Unpooled.copiedBuffer("\r\n", StandardCharsets.US_ASCII));
    }

    @Override
    public void close() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** One connection to it. */
    private final class Watch extends ChannelInboundHandlerAdapter {
        private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        private final StringBuilder request = new StringBuilder();
        private final int zone;
        private ChannelHandlerContext ctx;
        private long sentVersion = Long.MIN_VALUE;
        private boolean headSent;
        private boolean listSent;

        Watch(int zone) {
            this.zone = zone;
        }

        @Override
        public void channelRead(ChannelHandlerContext c, Object message) {
            ByteBuf b = (ByteBuf) message;
            request.append(b.toString(StandardCharsets.US_ASCII));
            b.release();
            if (ctx == null && request.indexOf("\r\n\r\n") >= 0) {
                ctx = c;
                traffic.add("call", request.length());
                List<String> index = new QueryStringDecoder(request.toString().split(" ")[1])
                        .parameters()
                        .getOrDefault("index", List.of("-1"));
                sentVersion = Long.parseLong(index.get(0));
                watches.add(this);
                sendPending();
            }
        }

        /** What it has not been told, if it can be reached; the whole list if that is not known. */
        void sendPending() {
            if (cutOff[zone]) {
                return;
            }
            if (!headSent) {
                headSent = true;
                write(Unpooled.copiedBuffer(HEAD, StandardCharsets.US_ASCII), "head");
                scheduleHeartbeat();
            }
            if (sentVersion < 0 || fullListsOnly) {
                write(chunk(list.fullList()), "whole");
            } else if (sentVersion < list.version() || !listSent) {
                write(chunk(list.changesSince(sentVersion)), "missed"); // the first line comes even if it holds nothing
            }
            listSent = true;
            sentVersion = list.version();
        }

        void push(ByteBuf chunk, String kind) {
            if (headSent && !cutOff[zone]) {
                sentVersion = list.version();
                write(chunk.retainedDuplicate(), kind);
            }
        }

        private void scheduleHeartbeat() {
            loop.schedule(
                    () -> {
                        if (watches.contains(this)) {
                            if (!cutOff[zone]) {
                                write(Unpooled.copiedBuffer("1\r\n\n\r\n", StandardCharsets.US_ASCII), "beat");
                            }
                            scheduleHeartbeat();
                        }
                    },
                    HEARTBEAT_MS,
                    TimeUnit.MILLISECONDS);
        }

        private void write(ByteBuf bytes, String kind) {
            traffic.add(kind, bytes.readableBytes());
            ctx.writeAndFlush(bytes);
        }

        void close() {
            watches.remove(this);
            ctx.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext c) {
            watches.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
            c.close();
        }
    }
}
