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
 * A listener that the platform holds and this process was started with, as descriptor 0: another process that
 * has it too may accept from the same queue, so none of what waits there is lost when one of them ends.
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

    /** The sockets of this machine, with that listener; an IOException if descriptor 0 is none. */
    public static Transport create(EventLoop loop) throws IOException {
        Channel inherited = System.inheritedChannel();
        if (!(inherited instanceof ServerSocketChannel s)) {
            throw new IOException("descriptor 0 is no listening socket");
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

    /** It is bound already, whatever the address: the platform says where clients come. */
    @Override
    public ChannelFuture listen(InetSocketAddress address, ChannelHandler children) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> new SharedListener(listener))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(children)
                .register();
    }

    /** Stops accepting when it is closed, and leaves the descriptor open until the process ends. */
    private static final class SharedListener extends NioServerSocketChannel {
        SharedListener(ServerSocketChannel listener) {
            super(listener);
        }

        /** Cancels the key alone: at the close of an inherited channel the runtime gives standard error away. */
        @Override
        protected void doClose() throws Exception {
            doDeregister();
        }
    }
}
