package gullspar.proxy.io;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;

/** Opens and accepts connections: over TCP, except during warm-up and in rehearsals. */
public interface Transport {
    /** Returns a bootstrap for one connection to an address. */
    Bootstrap clientBootstrap(InetSocketAddress address);

    /** Returns a bootstrap for a listener on an address; the caller sets the handler of accepted connections. */
    ServerBootstrap serverBootstrap(InetSocketAddress address);

    /** Returns a bootstrap for a datagram socket on an address; the caller sets its handler. */
    default Bootstrap datagramBootstrap(InetSocketAddress address) {
        throw new UnsupportedOperationException("this transport has no datagrams");
    }

    /** Starts to listen on an address. */
    default ChannelFuture listen(InetSocketAddress address, ChannelHandler childHandler) {
        return serverBootstrap(address).childHandler(childHandler).bind();
    }

    /** TCP and UDP over the sockets of this machine. */
    static Transport tcp(EventLoop loop) {
        return new Transport() {
            @Override
            public Bootstrap clientBootstrap(InetSocketAddress address) {
                return new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .remoteAddress(address);
            }

            @Override
            public ServerBootstrap serverBootstrap(InetSocketAddress address) {
                return new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
                        .localAddress(address);
            }

            @Override
            public Bootstrap datagramBootstrap(InetSocketAddress address) {
                return new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .option(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
                        .localAddress(address);
            }
        };
    }
}
