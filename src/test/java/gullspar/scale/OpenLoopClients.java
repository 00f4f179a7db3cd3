package gullspar.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * Clients in an open loop: each request has an intended send time that does not depend on earlier responses, and
 * its latency counts from that time. Requests go to the addresses of a target in turn; connections are kept alive,
 * and new ones are opened while all are busy.
 */
final class OpenLoopClients implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final String[] urls;
    private int requestCount;

    /** urls: what requests ask for, in turn: a path, after a host name unless the host does not matter. */
    OpenLoopClients(String... urls) {
        this.urls = urls;
    }

    /**
     * Where requests go, and their results. Used on the event loop; the results are read elsewhere once the run
     * has ended.
     */
    final class Target {
        private final List<InetSocketAddress> addresses;
        private final List<Deque<Channel>> idle;
        final Histogram latency = new Histogram(60_000_000_000L / 1000, 3);
        long okResponses;
        long otherResponses;
        final Map<Integer, Integer> statuses = new TreeMap<>();
        long failedRequests;
        private boolean counted;

        Target(List<InetSocketAddress> addresses) {
            this.addresses = addresses;
            this.idle = addresses.stream()
                    .<Deque<Channel>>map(p -> new ArrayDeque<>())
                    .toList();
        }

        private void send(int number, long intendedNs) {
            int index = number % addresses.size();
            Channel c = idle.get(index).poll();
            while (c != null && !c.isActive()) {
                c = idle.get(index).poll();
            }
            if (c != null) {
                write(c, index, intendedNs, false);
                return;
            }
            connect(index, intendedNs);
        }

        private void connect(int index, long intendedNs) {
            ChannelFuture f = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(1 << 16));
                        }
                    })
                    .connect(addresses.get(index));
            f.addListener(done -> {
                if (done.isSuccess()) {
                    write(f.channel(), index, intendedNs, true);
                } else {
                    failedRequests++;
                }
            });
        }

        private void write(Channel c, int index, long intendedNs, boolean newConnection) {
            String url = urls[++requestCount % urls.length];
            int slash = url.indexOf('/');
            String path = url.substring(slash);
            DefaultFullHttpRequest r = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            r.headers()
                    .set("Host", slash == 0 ? "api" : url.substring(0, slash))
                    .set("Request-Id", "s" + requestCount)
                    .set("Request-Timeout", "0.600");
            c.pipeline().addLast("response", new ResponseHandler(this, index, intendedNs, newConnection));
            c.writeAndFlush(r);
        }
    }

    /** Handles the response to one request. */
    private static final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Target target;
        private final int index;
        private final long intendedNs;
        private final boolean newConnection;
        private boolean responded;

        ResponseHandler(Target target, int index, long intendedNs, boolean newConnection) {
            this.newConnection = newConnection;
            this.target = target;
            this.index = index;
            this.intendedNs = intendedNs;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse r) {
            responded = true;
            if (target.counted) {
                boolean ok = r.status().equals(HttpResponseStatus.OK);
                target.okResponses += ok ? 1 : 0;
                target.statuses.merge(r.status().code(), 1, Integer::sum);
                target.otherResponses += ok ? 0 : 1;
                target.latency.recordValue(Math.min(
                        target.latency.getHighestTrackableValue(),
                        Math.max(0, (System.nanoTime() - intendedNs) / 1000)));
            }
            ctx.pipeline().remove(this);
            if (!"close".equalsIgnoreCase(r.headers().get("Connection"))) {
                target.idle.get(index).push(ctx.channel());
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!responded && !newConnection) {
                // a kept connection was closed while the request was on its way: sends it on a new one
                target.connect(index, intendedNs);
            } else {
                target.failedRequests += responded ? 0 : 1;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Sends {@code perSecond} requests to each target; those of the warm-up are not counted. */
    void run(List<Target> targets, double perSecond, double warmUpS, double seconds) throws ScaleException {
        long start = System.nanoTime();
        long totalRequests = (long) (perSecond * (warmUpS + seconds) * targets.size());
        long warmUpRequests = (long) (perSecond * warmUpS * targets.size());
        for (long i = 0; i < totalRequests; i++) {
            long intended = start + (long) (i * 1e9 / (perSecond * targets.size()));
            for (long left = intended - System.nanoTime(); left > 0; left = intended - System.nanoTime()) {
                LockSupport.parkNanos(left);
            }
            Target target = targets.get((int) (i % targets.size()));
            int number = (int) (i / targets.size());
            boolean isCounted = i >= warmUpRequests;
            loop.execute(() -> {
                target.counted = isCounted;
                target.send(number, intended);
            });
        }
        Sleep.ms(1000); // waits for the last responses
    }

    @Override
    public void close() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
