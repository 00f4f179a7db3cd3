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

/** How connections are made and accepted: by TCP, but while a proxy warms up or is rehearsed. */
public interface Transport {
    /** For one connection to that address. */
    Bootstrap clientBootstrap(InetSocketAddress address);

    /** For a listener at that address, which still wants its handler. */
    ServerBootstrap serverBootstrap(InetSocketAddress address);

    /** For a socket for datagrams at that address, which still wants its handler. */
    default Bootstrap datagramBootstrap(InetSocketAddress address) {
        throw new UnsupportedOperationException("no datagrams here");
    }

    /** Begins to listen there. */
    default ChannelFuture listen(InetSocketAddress address, ChannelHandler childHandler) {
        return serverBootstrap(address).childHandler(childHandler).bind();
    }

    /** By the sockets of this machine. */
    static Transport tcp(EventLoop loop) {
        return new Transport() {
            @Override
            public Bootstrap clientBootstrap(InetSocketAddress address) {
                return new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
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
                        .localAddress(address);
            }

            @Override
            public Bootstrap datagramBootstrap(InetSocketAddress address) {
                return new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .localAddress(address);
            }
        };
    }
}
