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
 * Clients in an open loop: each request has its time, whatever became of those before it, and its latency
 * counts from that time. Requests go in turn to each place of a side; connections are kept, and more are made
 * while all are busy.
 */
final class OpenLoop implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final String[] urls;
    private int ids;

    /** urls: what requests ask for in turn: a host, unless it is any, and a path. */
    OpenLoop(String... urls) {
        this.urls = urls;
    }

    /** Where requests go, and what came of them. On the loop, but for the reading after the end. */
    final class Side {
        private final List<InetSocketAddress> places;
        private final List<Deque<Channel>> idle;
        final Histogram latency = new Histogram(60_000_000_000L / 1000, 3);
        long answered;
        long others;
        final Map<Integer, Integer> statuses = new TreeMap<>();
        long broken;
        private boolean counted;

        Side(List<InetSocketAddress> places) {
            this.places = places;
            this.idle =
                    places.stream().<Deque<Channel>>map(p -> new ArrayDeque<>()).toList();
        }

        private void send(int number, long intendedNs) {
            int place = number % places.size();
            Channel c = idle.get(place).poll();
            while (c != null && !c.isActive()) {
                c = idle.get(place).poll();
            }
            if (c != null) {
                write(c, place, intendedNs, false);
                return;
            }
            connect(place, intendedNs);
        }

        private void connect(int place, long intendedNs) {
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
                    .connect(places.get(place));
            f.addListener(done -> {
                if (done.isSuccess()) {
                    write(f.channel(), place, intendedNs, true);
                } else {
                    broken++;
                }
            });
        }

        private void write(Channel c, int place, long intendedNs, boolean fresh) {
            String url = urls[++ids % urls.length];
            int slash = url.indexOf('/');
            String path = url.substring(slash);
            DefaultFullHttpRequest r = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            r.headers()
                    .set("Host", slash == 0 ? "api" : url.substring(0, slash))
                    .set("Request-Id", "s" + ids)
                    .set("Request-Timeout", "0.600");
            c.pipeline().addLast("answer", new Answer(this, place, intendedNs, fresh));
            c.writeAndFlush(r);
        }
    }

    /** Waits for one answer. */
    private static final class Answer extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Side side;
        private final int place;
        private final long intendedNs;
        private final boolean fresh;
        private boolean answered;

        Answer(Side side, int place, long intendedNs, boolean fresh) {
            this.fresh = fresh;
            this.side = side;
            this.place = place;
            this.intendedNs = intendedNs;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse r) {
            answered = true;
            if (side.counted) {
                boolean ok = r.status().equals(HttpResponseStatus.OK);
                side.answered += ok ? 1 : 0;
                side.statuses.merge(r.status().code(), 1, Integer::sum);
                side.others += ok ? 0 : 1;
                side.latency.recordValue(Math.min(
                        side.latency.getHighestTrackableValue(), Math.max(0, (System.nanoTime() - intendedNs) / 1000)));
            }
            ctx.pipeline().remove(this);
            if (!"close".equalsIgnoreCase(r.headers().get("Connection"))) {
                side.idle.get(place).push(ctx.channel());
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!answered && !fresh) {
                side.connect(place, intendedNs); // its end crossed this request: once more, on a new one
            } else {
                side.broken += answered ? 0 : 1;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** So many requests a second to each side, in turn; those of the first seconds do not count. */
    void run(List<Side> sides, double perSecond, double warmS, double seconds) throws ScaleException {
        long start = System.nanoTime();
        long all = (long) (perSecond * (warmS + seconds) * sides.size());
        long counted = (long) (perSecond * warmS * sides.size());
        for (long i = 0; i < all; i++) {
            long intended = start + (long) (i * 1e9 / (perSecond * sides.size()));
            for (long left = intended - System.nanoTime(); left > 0; left = intended - System.nanoTime()) {
                LockSupport.parkNanos(left);
            }
            Side side = sides.get((int) (i % sides.size()));
            int number = (int) (i / sides.size());
            boolean counts = i >= counted;
            loop.execute(() -> {
                side.counted = counts;
                side.send(number, intended);
            });
        }
        Pause.ms(1000); // the last answers
    }

    @Override
    public void close() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
