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
 * Serves synthetic requests with a temporary proxy before the real one is ready. Otherwise the first clients
 * would wait for class loading and compilation: on half a core that took seconds, in which most of their
 * requests were late. Uses Unix domain sockets, so that the code that reads and writes real sockets is warm as
 * well; where these cannot be created or do not connect, in-process channels. No network address is listened on
 * before the proxy serves, so no outside client can receive a synthetic response.
 */
final class Warmup {
    private static final int CLIENTS = 6;
    private static final int BACKENDS = 4;
    /** Length of request bodies. */
    private static final int REQUEST_BYTES = 200;
    /** Length of response bodies. */
    private static final int RESPONSE_BYTES = 1000;
    /** One response in this many is an error or a refusal by the backend. */
    private static final int ERROR_INTERVAL = 25;

    /**
     * Limits the wait for the first connection: on some platforms a domain socket can be created but connections to
     * it never arrive.
     */
    private static final long ACCEPT_TIMEOUT_MS = 250;
    /** Limits the wait for the first response, which takes longer on a small share of a core. */
    private static final long FIRST_RESPONSE_TIMEOUT_MS = 1000;

    private static final Log LOG = Log.standardError();

    private final Config config;
    private final EventLoop loop;
    private final Proxy proxy;
    private final int maxRequests;
    private final Endpoints endpoints;
    private final CompletableFuture<Integer> done = new CompletableFuture<>();
    private int acceptedClients;
    private int sentRequests;
    private int responses;
    private int successes;
    private int backendRequests;

    /** Channel types, and the addresses of the proxy and of its backends. */
    private record Endpoints(
            IoHandlerFactory io,
            Class<? extends Channel> clientChannel,
            Class<? extends ServerChannel> serverChannel,
            SocketAddress proxyAddress,
            SocketAddress backendAddress) {
        static Endpoints domainSockets(Path folder) {
            return new Endpoints(
                    ServingLoop.handlerFactory(),
                    NioDomainSocketChannel.class,
                    NioServerDomainSocketChannel.class,
                    UnixDomainSocketAddress.of(folder.resolve("door")),
                    UnixDomainSocketAddress.of(folder.resolve("behind")));
        }

        static Endpoints inProcess() {
            return new Endpoints(
                    LocalIoHandler.newFactory(),
                    LocalChannel.class,
                    LocalServerChannel.class,
                    new LocalAddress(Warmup.class),
                    new LocalAddress(Warmup.class));
        }
    }

    /** Call on the event loop. */
    private Warmup(Config config, EventLoop loop, Balancer.Factory factory, int maxRequests, Endpoints endpoints) {
        this.config = config;
        this.loop = loop;
        this.endpoints = endpoints;
        this.proxy = new Proxy(config, new Platform(loop, Clock.system(), new WarmupTransport(), LOG), factory);
        this.maxRequests = maxRequests;
    }

    /** Sends this many requests, or as many as the time allows; returns how many were served. */
    static int run(Config config, Balancer.Factory factory, int requests, long limitMs) {
        Path folder = null;
        try {
            folder = Files.createTempDirectory("warm");
            return runWith(config, factory, requests, limitMs, Endpoints.domainSockets(folder));
        } catch (IOException e) {
            return runInProcess(config, factory, requests, limitMs);
        } finally {
            delete(folder);
        }
    }

    /** The same with in-process channels; returns 0 if it failed. */
    static int runInProcess(Config config, Balancer.Factory factory, int requests, long limitMs) {
        try {
            return runWith(config, factory, requests, limitMs, Endpoints.inProcess());
        } catch (IOException e) {
            LOG.write("warm-up failed, serving without it: " + e);
            return 0;
        }
    }

    /** Throws an IOException if these endpoints cannot be used. */
    private static int runWith(Config config, Balancer.Factory factory, int requests, long limitMs, Endpoints endpoints)
            throws IOException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, endpoints.io);
        EventLoop loop = group.next();
        try {
            return loop.submit(() -> {
                        Warmup warmup = new Warmup(config, loop, factory, requests, endpoints);
                        warmup.start(limitMs);
                        return warmup.done;
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
            LOG.write("cannot delete the temporary directory of the warm-up: " + folder);
        }
    }

    /** Connects every address to the synthetic backends. */
    private final class WarmupTransport implements Transport {
        @Override
        public Bootstrap clientBootstrap(InetSocketAddress address) {
            return bootstrapTo(endpoints.backendAddress);
        }

        @Override
        public ServerBootstrap serverBootstrap(InetSocketAddress address) {
            throw new UnsupportedOperationException("the warm-up proxy does not listen");
        }
    }

    private Bootstrap bootstrapTo(SocketAddress address) {
        return new Bootstrap().group(loop).channel(endpoints.clientChannel).remoteAddress(address);
    }

    private void start(long limitMs) {
        loop.schedule(() -> done.complete(successes), limitMs, TimeUnit.MILLISECONDS);
        List<ListedBackend> list = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            list.add(new ListedBackend(
                    new ListedServer(
                            i + 1, 0, State.READY, 0, 0, config.settings().zone(), 1),
                    config.listen()));
        }
        proxy.apply(new ListUpdate(ListKind.FULL, 1, list));
        listen(
                endpoints.backendAddress,
                c -> c.pipeline().addLast(new WarmupBackend()),
                () -> listen(endpoints.proxyAddress, this::accept, this::connectClients));
        loop.schedule(() -> failIfUnreachable(acceptedClients == 0), ACCEPT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        loop.schedule(() -> failIfUnreachable(responses == 0), FIRST_RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void failIfUnreachable(boolean isUnreachable) {
        if (isUnreachable) {
            done.completeExceptionally(
                    new ConnectException("no connection or response over " + endpoints.proxyAddress));
        }
    }

    /** Listens at an address, then runs the action. */
    private void listen(SocketAddress address, Consumer<Channel> accept, Runnable onListening) {
        new ServerBootstrap()
                .group(loop)
                .channel(endpoints.serverChannel)
                .childHandler(initializer(accept))
                .bind(address)
                .addListener(f -> {
                    if (f.isSuccess()) {
                        onListening.run();
                    } else {
                        done.completeExceptionally(f.cause());
                    }
                });
    }

    private static ChannelInitializer<Channel> initializer(Consumer<Channel> accept) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel c) {
                accept.accept(c);
            }
        };
    }

    private void accept(Channel client) {
        acceptedClients++;
        proxy.accept(client);
    }

    private void connectClients() {
        for (int i = 0; i < CLIENTS; i++) {
            bootstrapTo(endpoints.proxyAddress)
                    .handler(initializer(c -> c.pipeline().addLast(new WarmupClient())))
                    .connect()
                    .addListener(f -> {
                        if (!f.isSuccess()) {
                            done.completeExceptionally(f.cause());
                        }
                    });
        }
    }

    private void sendRequest(ChannelHandlerContext ctx) {
        int classIndex = sentRequests++ % config.classes().size();
        Profile profile = config.settings().profiles().get(classIndex);
        boolean isIdempotent = profile.effect() == Effect.IDEMPOTENT;
        String id = "warm-" + sentRequests;
        StringBuilder request = new StringBuilder(512)
                .append(isIdempotent ? "GET /" : "POST /")
                .append(config.classes().get(classIndex))
                .append("/1 HTTP/1.1\r\nHost: warm\r\nRequest-Id: ")
                .append(id)
                .append("\r\nRequest-Timeout: 1.000\r\nCookie: sid=")
                .append(sentRequests % 100);
        if (profile.effect() == Effect.DEDUPLICATED) {
            request.append("\r\nIdempotency-Key: ").append(id);
        }
        if (!isIdempotent) {
            request.append("\r\nContent-Length: ").append(REQUEST_BYTES);
        }
        write(ctx, request.append("\r\n\r\n").append(isIdempotent ? "" : body(REQUEST_BYTES)));
    }

    /** Bodies end with a single newline, which distinguishes their end from that of a head. */
    private static String body(int bytes) {
        return ".".repeat(bytes - 1) + "\n";
    }

    private static void write(ChannelHandlerContext ctx, CharSequence message) {
        ctx.writeAndFlush(Unpooled.copiedBuffer(message, StandardCharsets.US_ASCII));
    }

    /**
     * A client or backend of the proxy. It writes preformatted messages and only checks the ends of what it
     * reads: a codec in each would cost as much to run, and to compile, as the proxy being warmed up.
     */
    private abstract static class RawHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private int firstByte = -1;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            firstByte = firstByte < 0 ? bytes.getByte(bytes.readerIndex()) : firstByte;
            int end = bytes.writerIndex();
            boolean endsWithNewline = bytes.getByte(end - 1) == '\n';
            boolean isHeadOnly = endsWithNewline && bytes.readableBytes() > 1 && bytes.getByte(end - 2) == '\r';
            if (endsWithNewline && isHeadOnly == (firstByte == 'G')) {
                firstByte = -1;
                onMessage(ctx, bytes);
            }
        }

        /** A message is complete; these are its last bytes. */
        abstract void onMessage(ChannelHandlerContext ctx, ByteBuf lastBytes);

        /** The proxy may close the connection at any time. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Sends a request, waits for the response, and repeats. */
    private final class WarmupClient extends RawHandler {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendRequest(ctx);
        }

        @Override
        void onMessage(ChannelHandlerContext ctx, ByteBuf lastBytes) {
            successes += lastBytes.getByte(lastBytes.writerIndex() - 2) == '.' ? 1 : 0;
            if (++responses >= maxRequests) {
                done.complete(successes);
            } else {
                sendRequest(ctx);
            }
        }
    }

    /** Responds at once, with an error for one request in ERROR_INTERVAL. */
    private final class WarmupBackend extends RawHandler {
        private final String body = body(RESPONSE_BYTES);

        @Override
        void onMessage(ChannelHandlerContext ctx, ByteBuf lastBytes) {
            backendRequests++;
            boolean isError = backendRequests % ERROR_INTERVAL == 0;
            StringBuilder response = new StringBuilder(RESPONSE_BYTES + 200)
                    .append("HTTP/1.1 ")
                    .append(!isError ? "200 OK" : backendRequests % 2 == 0 ? "500 Error" : "503 Full\r\nNot-Started: 1")
                    .append("\r\nServer-Load: util=0.")
                    .append(backendRequests % 9)
                    .append(",inflight=")
                    .append(backendRequests % 3)
                    .append(",eps=0\r\nContent-Length: ")
                    .append(isError ? 0 : RESPONSE_BYTES);
            write(ctx, response.append("\r\n\r\n").append(isError ? "" : body));
        }
    }
}
