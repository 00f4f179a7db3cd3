package gullspar.rehearse.live;

import gullspar.proxy.io.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * The sockets of one simulated machine: TCP on loopback, impaired by {@link TcpLinkHandler}. Tracks the open channels
 * so that they can be reset.
 */
final class LiveTransport implements Transport {
    private final Transport tcp;
    private final TcpLinks links;
    private final String machine;
    private final LongSupplier clock;
    private final Function<InetSocketAddress, String> machineNames;
    private final Set<Channel> openChannels = new LinkedHashSet<>();

    /** machineNames: returns the machine of an address, "" if there is none. */
    LiveTransport(
            EventLoop loop,
            TcpLinks links,
            String machine,
            LongSupplier clock,
            Function<InetSocketAddress, String> machineNames) {
        this.tcp = Transport.tcp(loop);
        this.links = links;
        this.machine = machine;
        this.clock = clock;
        this.machineNames = machineNames;
    }

    /** Resets all connections and closes all listeners, as when a process dies. */
    void reset() {
        List<Channel> all = List.copyOf(openChannels);
        openChannels.clear();
        for (Channel c : all) {
            if (c.parent() != null) {
                c.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            c.unsafe().close(c.unsafe().voidPromise());
        }
    }

    private void track(Channel channel) {
        openChannels.add(channel);
        channel.closeFuture().addListener(f -> openChannels.remove(channel));
    }

    private ChannelInitializer<Channel> withLinkHandler(ChannelHandler handler, String peer) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel c) {
                track(c);
                TcpLinkHandler.setPeer(c, peer);
                c.pipeline().addLast(new TcpLinkHandler(links, machine, clock), handler);
            }
        };
    }

    @Override
    public Bootstrap clientBootstrap(InetSocketAddress address) {
        Bootstrap delegate = tcp.clientBootstrap(address);
        String peer = machineNames.apply(address);
        return new Bootstrap() {
            @Override
            public Bootstrap handler(ChannelHandler handler) {
                return delegate.handler(withLinkHandler(handler, peer));
            }

            @Override
            public <T> Bootstrap option(ChannelOption<T> option, T value) {
                delegate.option(option, value);
                return this;
            }
        };
    }

    @Override
    public ServerBootstrap serverBootstrap(InetSocketAddress address) {
        ServerBootstrap delegate = tcp.serverBootstrap(address).handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel c) {
                track(c);
            }
        });
        return new ServerBootstrap() {
            @Override
            public ServerBootstrap childHandler(ChannelHandler handler) {
                return delegate.childHandler(withLinkHandler(handler, ""));
            }
        };
    }
}
