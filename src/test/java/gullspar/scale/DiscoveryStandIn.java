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
 * Stands in for discovery of all proxies of a fleet: it pushes lists over HTTP watches, with one listener for each
 * zone. Everything that it writes and reads is counted by kind, in bytes of HTTP. It runs on an event loop of its
 * own.
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

    /** port: where the first zone's listener binds, 0 for any free port. */
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

    private <T> T onLoop(Callable<T> task) {
        try {
            return loop.submit(task).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The version of a pushed change and the monotonic time of the push. */
    record PushedVersion(long version, long pushedAtNs) {}

    /** Adds or removes a backend and pushes the change to all watches. */
    PushedVersion pushChange(int number, boolean present) {
        return onLoop(() -> push(list.setPresent(number, present), "change"));
    }

    /** Sets the weights of the first {@code count} backends and pushes them to all watches. */
    PushedVersion pushWeights(int count, double weight) {
        return onLoop(() -> push(list.setWeights(count, weight), "weights"));
    }

    private PushedVersion push(byte[] line, String kind) {
        long pushedAtNs = System.nanoTime();
        ByteBuf chunk = chunk(line);
        watches.forEach(w -> w.push(chunk, kind));
        chunk.release();
        return new PushedVersion(list.version(), pushedAtNs);
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

    /**
     * Cuts a zone off, or reconnects it: nothing is written to its watches meanwhile, but connections stay open.
     */
    void setCutOff(int zone, boolean isCutOff) {
        onLoop(() -> {
            cutOff[zone] = isCutOff;
            if (!isCutOff) {
                watches.stream().filter(w -> w.zone == zone).toList().forEach(Watch::sendPending);
            }
            return null;
        });
    }

    /** Stops discovery, so that connections end and new ones are refused, or restarts it at the same addresses. */
    void setDown(boolean isDown) throws ScaleException {
        if (isDown) {
            onLoop(() -> {
                List.of(listeners).forEach(Channel::close);
                List.copyOf(watches).forEach(Watch::close);
                return null;
            });
            return;
        }
        for (int z = 0; z < addresses.length; z++) {
            if (!bind(z, addresses[z]).awaitUninterruptibly().isSuccess()) {
                throw new ScaleException(ScaleException.PORT, "discovery cannot bind again to " + addresses[z]);
            }
        }
    }

    /** Ends all watches and answers new ones with the full list, until {@link #allowDeltas()}. */
    PushedVersion resetWatches() {
        return onLoop(() -> {
            fullListsOnly = true;
            list.setPresent(0, true);
            long at = System.nanoTime();
            List.copyOf(watches).forEach(Watch::close);
            return new PushedVersion(list.version(), at);
        });
    }

    /** Answers new watches with the changes since their version again. */
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

    /** One connection of a proxy, which carries one watch. */
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

        /** Sends what the watch lacks: the changes since its version, or the full list if it names none. */
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
                // the first line is sent even if it holds no entry
                write(chunk(list.changesSince(sentVersion)), "missed");
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
                                write(Unpooled.copiedBuffer("1\r\n\n\r\n", StandardCharsets.US_ASCII), "heartbeat");
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
