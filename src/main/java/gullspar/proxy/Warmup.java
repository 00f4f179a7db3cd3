package gullspar.proxy;

import gullspar.decide.Balancer;
import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.State;
import gullspar.proxy.config.Config;
import gullspar.proxy.discovery.ListUpdate;
import gullspar.proxy.discovery.ListedBackend;
import gullspar.proxy.io.Clock;
import gullspar.proxy.io.Log;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.ServingLoop;
import gullspar.proxy.io.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Before a proxy says that it is ready, a throwaway one serves some requests that it makes up itself. Guards
 * against the first clients paying for loading and compiling: on half a core that took seconds, in which
 * most of their requests were late. It all goes over sockets in the file system, so that what reads and
 * writes real ones is warm as well; where they cannot be had or lead nowhere, over channels within this
 * process. No address is listened on before the proxy serves, and nobody from outside can come upon answers
 * that are made up.
 */
final class Warmup {
    private static final int CLIENTS = 6, BACKENDS = 4;
    private static final int REQUEST_BYTES = 200, ANSWER_BYTES = 1000;
    /** One answer in so many is an error, a refusal of the backend, or an end of the connection. */
    private static final int ODD_ANSWERS = 25;

    /**
     * A platform may let a process have a socket in the file system and lead nobody there: so long it is
     * waited for somebody to come, and for the first answer, which on a small share of a core takes its time.
     */
    private static final long PATIENCE_MS = 250, ANSWER_MS = 1000;

    private static final Log LOG = Log.standardError();

    private final Config config;
    private final EventLoop loop;
    private final Proxy proxy;
    private final int most;
    private final Means means;
    private final CompletableFuture<Integer> done = new CompletableFuture<>();
    private int accepted;
    private int asked;
    private int answered;
    private int served;
    private int worked;

    /** What it goes over: door is where clients find the proxy, behind where it finds its backends. */
    private record Means(
            IoHandlerFactory io,
            Class<? extends Channel> client,
            Class<? extends ServerChannel> server,
            SocketAddress door,
            SocketAddress behind) {
        static Means files(Path folder) {
            return new Means(
                    ServingLoop.handlers(),
                    NioDomainSocketChannel.class,
                    NioServerDomainSocketChannel.class,
                    UnixDomainSocketAddress.of(folder.resolve("door")),
                    UnixDomainSocketAddress.of(folder.resolve("behind")));
        }

        static Means within() {
            return new Means(
                    LocalIoHandler.newFactory(),
                    LocalChannel.class,
                    LocalServerChannel.class,
                    new LocalAddress(Warmup.class),
                    new LocalAddress(Warmup.class));
        }
    }

    /** To be called on the loop. */
    private Warmup(Config config, EventLoop loop, Balancer.Factory factory, int most, Means means) {
        this.config = config;
        this.loop = loop;
        this.means = means;
        this.proxy = new Proxy(config, new Platform(loop, Clock.system(), new Within(), LOG), factory);
        this.most = most;
    }

    /** Plays so many requests, or as many as the time allows; returns how many were served. */
    static int run(Config config, Balancer.Factory factory, int requests, long mostMs) {
        Path folder = null;
        try {
            folder = Files.createTempDirectory("warm");
            return play(config, factory, requests, mostMs, Means.files(folder));
        } catch (IOException e) {
            return within(config, factory, requests, mostMs);
        } finally {
            delete(folder);
        }
    }

    /** The same without sockets. */
    static int within(Config config, Balancer.Factory factory, int requests, long mostMs) {
        try {
            return play(config, factory, requests, mostMs, Means.within());
        } catch (IOException e) {
            LOG.say("not warmed up: " + e);
            return 0;
        }
    }

    /** An IOException if these means lead nowhere. */
    private static int play(Config config, Balancer.Factory factory, int requests, long mostMs, Means means)
            throws IOException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, means.io);
        EventLoop loop = group.next();
        try {
            return loop.submit(() -> {
                        Warmup r = new Warmup(config, loop, factory, requests, means);
                        r.begin(mostMs);
                        return r.done;
                    })
                    .get()
                    .get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    private static void delete(Path folder) {
        try {
            if (folder != null) {
                Files.deleteIfExists(folder.resolve("door"));
                Files.deleteIfExists(folder.resolve("behind"));
                Files.deleteIfExists(folder);
            }
        } catch (IOException e) {
            LOG.say("left behind by the warm-up: " + folder);
        }
    }

    /** Every address is that of the made-up backends. */
    private final class Within implements Transport {
        @Override
        public Bootstrap to(InetSocketAddress address) {
            return towards(means.behind);
        }

        @Override
        public ServerBootstrap at(InetSocketAddress address) {
            throw new UnsupportedOperationException("a throwaway proxy does not listen");
        }
    }

    private Bootstrap towards(SocketAddress address) {
        return new Bootstrap().group(loop).channel(means.client).remoteAddress(address);
    }

    private void begin(long mostMs) {
        loop.schedule(() -> done.complete(served), mostMs, TimeUnit.MILLISECONDS);
        List<ListedBackend> list = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            list.add(new ListedBackend(
                    new ListedServer(
                            i + 1, 0, State.READY, 0, 0, config.settings().zone(), 1),
                    config.listen()));
        }
        proxy.apply(new ListUpdate(ListKind.FULL, 1, list));
        open(
                means.behind,
                c -> c.pipeline().addLast(new Backend()),
                () -> open(means.door, this::accept, this::connect));
        loop.schedule(() -> leadsNowhere(accepted == 0), PATIENCE_MS, TimeUnit.MILLISECONDS);
        loop.schedule(() -> leadsNowhere(answered == 0), ANSWER_MS, TimeUnit.MILLISECONDS);
    }

    private void leadsNowhere(boolean so) {
        if (so) {
            done.completeExceptionally(new ConnectException("nobody is met at " + means.door));
        }
    }

    /** Somebody is there at an address from then on. */
    private void open(SocketAddress address, Consumer<Channel> accept, Runnable then) {
        new ServerBootstrap()
                .group(loop)
                .channel(means.server)
                .childHandler(initially(accept))
                .bind(address)
                .addListener(f -> {
                    if (f.isSuccess()) {
                        then.run();
                    } else {
                        done.completeExceptionally(f.cause());
                    }
                });
    }

    private static ChannelInitializer<Channel> initially(Consumer<Channel> accept) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel c) {
                accept.accept(c);
            }
        };
    }

    private void accept(Channel client) {
        accepted++;
        proxy.accept(client);
    }

    private void connect() {
        for (int i = 0; i < CLIENTS; i++) {
            towards(means.door)
                    .handler(initially(c -> c.pipeline().addLast(new Asking())))
                    .connect()
                    .addListener(f -> {
                        if (!f.isSuccess()) {
                            done.completeExceptionally(f.cause());
                        }
                    });
        }
    }

    private void ask(ChannelHandlerContext ctx) {
        int place = asked++ % config.classes().size();
        Profile p = config.settings().profiles().get(place);
        boolean safe = p.effect() == Effect.IDEMPOTENT;
        String id = "warm-" + asked;
        StringBuilder request = new StringBuilder(512)
                .append(safe ? "GET /" : "POST /")
                .append(config.classes().get(place))
                .append("/1 HTTP/1.1\r\nHost: warm\r\nRequest-Id: ")
                .append(id)
                .append("\r\nRequest-Timeout: 1.000\r\nCookie: sid=")
                .append(asked % 100);
        if (p.effect() == Effect.DEDUPLICATED) {
            request.append("\r\nIdempotency-Key: ").append(id);
        }
        if (!safe) {
            request.append("\r\nContent-Length: ").append(REQUEST_BYTES);
        }
        write(ctx, request.append("\r\n\r\n").append(safe ? "" : body(REQUEST_BYTES)));
    }

    /** All bodies here end with a line, which tells their end from that of a head. */
    private static String body(int bytes) {
        return ".".repeat(bytes - 1) + "\n";
    }

    private static void write(ChannelHandlerContext ctx, CharSequence message) {
        ctx.writeAndFlush(Unpooled.copiedBuffer(message, StandardCharsets.US_ASCII));
    }

    /**
     * A peer of the proxy. It writes what is ready-made and looks at the ends of what it reads: a codec in
     * each would cost as much to run, and to compile, as the proxy that is to be warmed.
     */
    private abstract static class Peer extends SimpleChannelInboundHandler<ByteBuf> {
        private int first = -1;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            first = first < 0 ? bytes.getByte(bytes.readerIndex()) : first;
            int end = bytes.writerIndex();
            boolean line = bytes.getByte(end - 1) == '\n';
            boolean head = line && bytes.readableBytes() > 1 && bytes.getByte(end - 2) == '\r';
            if (line && head == (first == 'G')) {
                first = -1;
                whole(ctx, bytes);
            }
        }

        /** A message has ended, with these bytes. */
        abstract void whole(ChannelHandlerContext ctx, ByteBuf last);

        /** The proxy closes connections as it does to any peer. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** A client: asks, waits for the answer, asks again. */
    private final class Asking extends Peer {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        @Override
        void whole(ChannelHandlerContext ctx, ByteBuf last) {
            served += last.getByte(last.writerIndex() - 2) == '.' ? 1 : 0;
            if (++answered >= most) {
                done.complete(served);
            } else {
                ask(ctx);
            }
        }
    }

    /** A backend: answers at once, now and then with an error. */
    private final class Backend extends Peer {
        private final String body = body(ANSWER_BYTES);

        @Override
        void whole(ChannelHandlerContext ctx, ByteBuf last) {
            worked++;
            boolean odd = worked % ODD_ANSWERS == 0;
            StringBuilder answer = new StringBuilder(ANSWER_BYTES + 200)
                    .append("HTTP/1.1 ")
                    .append(!odd ? "200 OK" : worked % 2 == 0 ? "500 Error" : "503 Full\r\nNot-Started: 1")
                    .append("\r\nServer-Load: util=0.")
                    .append(worked % 9)
                    .append(",inflight=")
                    .append(worked % 3)
                    .append(",eps=0\r\nContent-Length: ")
                    .append(odd ? 0 : ANSWER_BYTES);
            write(ctx, answer.append("\r\n\r\n").append(odd ? "" : body));
        }
    }
}
