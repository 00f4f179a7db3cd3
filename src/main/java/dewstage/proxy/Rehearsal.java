package dewstage.proxy;

import dewstage.Balancer;
import dewstage.Balancer.Effect;
import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import dewstage.Balancer.Profile;
import dewstage.Balancer.State;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Before a proxy says that it is ready, a throwaway one serves some requests that it makes up itself. Guards
 * against the first clients paying for loading and compiling: on half a core that took seconds, in which
 * most of their requests were late. It all goes over a socket in the file system: no address is listened on
 * before the proxy serves, and nobody from outside can come upon answers that are made up.
 */
final class Rehearsal {
    private static final int CLIENTS = 6, BACKENDS = 4;
    private static final int REQUEST_BYTES = 200, ANSWER_BYTES = 1000;
    /** One answer in so many is an error, a refusal of the backend, or an end of the connection. */
    private static final int ODD_ANSWERS = 25;

    private final Config config;
    private final EventLoop loop;
    private final Proxy proxy;
    private final int most;
    private final Path path;
    private final List<ChannelHandlerContext> ready = new ArrayList<>();
    private final CompletableFuture<Integer> done = new CompletableFuture<>();
    private int accepted;
    private int asked;
    private int answered;
    private int served;
    private int worked;

    /** To be called on the loop. */
    private Rehearsal(Config config, EventLoop loop, Balancer.Factory factory, int most, Path path) {
        this.config = config;
        this.loop = loop;
        this.path = path;
        this.proxy = new Proxy(config, loop, factory, to -> bootstrap());
        this.most = most;
    }

    /** Plays so many requests, or as many as the time allows; returns how many were served. */
    static int run(Config config, Balancer.Factory factory, int requests, long mostMs) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        Path folder = null;
        try {
            folder = Files.createTempDirectory("rehearsal");
            Path path = folder.resolve("socket");
            CompletableFuture<Integer> done = loop.submit(() -> {
                Rehearsal r = new Rehearsal(config, loop, factory, requests, path);
                r.begin(mostMs);
                return r.done;
            }).get();
            return done.get();
        } catch (Exception e) {
            Proxy.say("no rehearsal: " + e);
            return 0;
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
            delete(folder);
        }
    }

    private static void delete(Path folder) {
        try {
            if (folder != null) {
                Files.deleteIfExists(folder.resolve("socket"));
                Files.deleteIfExists(folder);
            }
        } catch (IOException e) {
            Proxy.say("left behind by the rehearsal: " + folder);
        }
    }

    private Bootstrap bootstrap() {
        return new Bootstrap().group(loop).channel(NioDomainSocketChannel.class)
                .remoteAddress(UnixDomainSocketAddress.of(path));
    }

    private void begin(long mostMs) {
        loop.schedule(() -> done.complete(served), mostMs, TimeUnit.MILLISECONDS);
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerDomainSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        if (accepted++ < CLIENTS) {
                            proxy.accept(c);
                            begin(null);
                        } else {
                            c.pipeline().addLast(new HttpServerCodec(),
                                    new HttpObjectAggregator(Backends.MOST_BYTES), new Backend());
                        }
                    }
                }).bind(UnixDomainSocketAddress.of(path));
        bound.addListener(f -> {
            if (!f.isSuccess()) {
                done.completeExceptionally(f.cause());
                return;
            }
            List<Discovery.Listed> list = new ArrayList<>();
            for (int i = 0; i < BACKENDS; i++) {
                list.add(new Discovery.Listed(new Member(i + 1, 0, State.READY, 0, 0,
                        config.settings().zone(), 1),
                        config.listen()));
            }
            proxy.hear(new Discovery.News(ListKind.FULL, 1, list));
            for (int i = 0; i < CLIENTS; i++) {
                connect();
            }
        });
    }

    private void connect() {
        bootstrap().handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpClientCodec(), new Asking());
                    }
                }).connect();
    }

    /** All clients begin together: whoever connects after them is the proxy, to its backends. */
    private void begin(ChannelHandlerContext client) {
        if (client != null) {
            ready.add(client);
        }
        if (ready.size() == CLIENTS && accepted >= CLIENTS) {
            ready.forEach(this::ask);
            ready.clear();
        }
    }

    private void ask(ChannelHandlerContext ctx) {
        int place = asked++ % config.classes().size();
        Profile p = config.settings().profiles().get(place);
        boolean safe = p.effect() == Effect.IDEMPOTENT;
        ByteBuf body = safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(new byte[REQUEST_BYTES]);
        DefaultFullHttpRequest r = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                safe ? HttpMethod.GET : HttpMethod.POST, "/" + config.classes().get(place) + "/1", body);
        r.headers().set("Host", "rehearsal").set("Request-Id", "rehearsal-" + asked)
                .set("Request-Timeout", "1.000").set("Cookie", "sid=" + asked % 100);
        if (!safe) {
            HttpUtil.setContentLength(r, body.readableBytes());
        }
        if (p.effect() == Effect.DEDUPLICATED) {
            r.headers().set("Idempotency-Key", "rehearsal-" + asked);
        }
        ctx.writeAndFlush(r);
    }

    /** A client: asks, waits for the answer, asks again. */
    private final class Asking extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            begin(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpResponse r && r.status().code() == 200) {
                served++;
            }
            if (message instanceof LastHttpContent) {
                if (++answered >= most) {
                    done.complete(served);
                } else {
                    ask(ctx);
                }
            }
        }
    }

    /** A backend: answers at once, now and then with an error. */
    private final class Backend extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            worked++;
            boolean odd = worked % ODD_ANSWERS == 0;
            int status = !odd ? 200 : worked % 2 == 0 ? 500 : 503;
            DefaultFullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(new byte[odd ? 0
                            : ANSWER_BYTES]));
            HttpUtil.setContentLength(r, r.content().readableBytes());
            r.headers().set("Server-Load", "util=0." + worked % 9 + ",inflight=" + worked % 3 + ",eps=0");
            if (status == 503) {
                r.headers().set("Not-Started", "1").set("Connection", "close");
            }
            ctx.writeAndFlush(r);
        }
    }
}
