package gullspar.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Stands in for all backends: they share {@link #LISTENERS} listeners, and every request is answered at once. */
final class BackendStandIn implements AutoCloseable {
    private static final int LISTENERS = 64;
    private static final byte[] BODY = "ok".getBytes(StandardCharsets.US_ASCII);

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<String> addresses = new ArrayList<>();
    private final AtomicLong connections = new AtomicLong();
    private final AtomicLong requests = new AtomicLong();

    BackendStandIn() {
        ServerBootstrap b = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        connections.incrementAndGet();
                        c.pipeline()
                                .addLast(
                                        new HttpServerCodec(), new HttpObjectAggregator(1 << 16), new RequestHandler());
                    }
                });
        for (int i = 0; i < LISTENERS; i++) {
            InetSocketAddress at = (InetSocketAddress)
                    b.bind("127.0.0.1", 0).syncUninterruptibly().channel().localAddress();
            addresses.add("127.0.0.1:" + at.getPort());
        }
    }

    /** Returns the address of a backend by its number. */
    String address(int number) {
        return addresses.get(number % LISTENERS);
    }

    /** Returns the number of connections accepted so far. */
    long connections() {
        return connections.get();
    }

    long requests() {
        return requests.get();
    }

    @Override
    public void close() {
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest r) {
            requests.incrementAndGet();
            DefaultFullHttpResponse a = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(BODY));
            HttpUtil.setContentLength(a, BODY.length);
            ctx.writeAndFlush(a);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
