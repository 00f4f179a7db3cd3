package gullspar.importer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Servers whose responses name their declared address, and the URI and Host that they received. */
final class StubServers implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, Channel> listeners = new LinkedHashMap<>();
    private final Map<String, Integer> ports = new LinkedHashMap<>();
    private final Map<String, ChannelGroup> connections = new LinkedHashMap<>();

    /** Returns the local address of the server with a declared address; starts it at the first call. */
    String addressOf(String declared) {
        if (!ports.containsKey(declared)) {
            start(declared, 0);
        }
        return "127.0.0.1:" + ports.get(declared);
    }

    /** Starts a stopped server again on the same port. */
    void start(String declared) {
        start(declared, ports.get(declared));
    }

    private void start(String declared, int port) {
        ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        Channel c = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel child) {
                        channels.add(child);
                        child.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(1 << 16),
                                        new EchoHandler(declared));
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", port))
                .syncUninterruptibly()
                .channel();
        listeners.put(declared, c);
        connections.put(declared, channels);
        ports.put(declared, ((InetSocketAddress) c.localAddress()).getPort());
    }

    /** Closes the listener of a server and its connections. */
    void stop(String declared) {
        listeners.get(declared).close().syncUninterruptibly();
        connections.get(declared).close().awaitUninterruptibly();
    }

    @Override
    public void close() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static final class EchoHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final String declared;

        EchoHandler(String declared) {
            this.declared = declared;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest r) {
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER);
            response.headers()
                    .set("X-Who", declared)
                    .set("X-Uri", r.uri())
                    .set("X-Host", r.headers().get("Host", ""));
            HttpUtil.setContentLength(response, 0);
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
