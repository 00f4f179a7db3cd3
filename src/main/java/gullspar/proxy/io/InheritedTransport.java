package gullspar.proxy.io;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * Accepts from a listening socket that the platform holds and passes to this process as descriptor 0. Several
 * processes may share its accept queue, so no pending connection is lost when one of them exits.
 */
public final class InheritedTransport implements Transport {
    private final Transport tcp;
    private final EventLoop loop;
    private final ServerSocketChannel listener;

    private InheritedTransport(EventLoop loop, ServerSocketChannel listener) {
        this.tcp = Transport.tcp(loop);
        this.loop = loop;
        this.listener = listener;
    }

    /** A TCP transport with the inherited listener; throws IOException if descriptor 0 is not a listening socket. */
    public static Transport create(EventLoop loop) throws IOException {
        Channel inherited = System.inheritedChannel();
        if (!(inherited instanceof ServerSocketChannel s)) {
            throw new IOException("descriptor 0 is not a listening socket");
        }
        return new InheritedTransport(loop, s);
    }

    @Override
    public Bootstrap clientBootstrap(InetSocketAddress address) {
        return tcp.clientBootstrap(address);
    }

    @Override
    public ServerBootstrap serverBootstrap(InetSocketAddress address) {
        return tcp.serverBootstrap(address);
    }

    /** Ignores the address: the inherited socket is already bound by the platform. */
    @Override
    public ChannelFuture listen(InetSocketAddress address, ChannelHandler childHandler) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> new SharedListener(listener))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
                .childHandler(childHandler)
                .register();
    }

    /** Stops accepting when it is closed, but leaves the descriptor open until the process exits. */
    private static final class SharedListener extends NioServerSocketChannel {
        SharedListener(ServerSocketChannel listener) {
            super(listener);
        }

        /** Only cancels the selection key: closing an inherited channel makes the JVM redirect standard error. */
        @Override
        protected void doClose() throws Exception {
            doDeregister();
        }
    }
}
