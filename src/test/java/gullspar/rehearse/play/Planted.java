package gullspar.rehearse.play;

import gullspar.decide.Balancer;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Request;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/** Stands between a proxy and its module, or its sockets, so that a test can plant a fault there. */
final class Planted {
    private Planted() {}

    /** Options with a wrapped module. */
    static VirtualPlay.Options module(UnaryOperator<Balancer.Factory> wrapper) {
        return new VirtualPlay.Options(null, wrapper, UnaryOperator.identity(), Progress.NONE);
    }

    /** Options with handlers ahead of what the proxy has on its connections; either may be null. */
    static VirtualPlay.Options sockets(
            Supplier<ChannelHandler> accepted, Function<InetSocketAddress, ChannelHandler> connected) {
        return new VirtualPlay.Options(
                null,
                UnaryOperator.identity(),
                p -> new Platform(
                        p.loop(),
                        p.clock(),
                        new Sockets(p.transport(), accepted, connected),
                        p.log(),
                        p.unreadAge(),
                        p.statistics()),
                Progress.NONE);
    }

    /** A module that passes all on; a test overrides what it spoils. */
    abstract static class Module implements Balancer {
        final Balancer real;

        Module(Balancer real) {
            this.real = real;
        }

        @Override
        public void onServerList(long now, ListKind kind, long version, List<ListedServer> members) {
            real.onServerList(now, kind, version, members);
        }

        @Override
        public void onRequest(long now, Request request) {
            real.onRequest(now, request);
        }

        @Override
        public void onStreamStarted(long now, int ticket, int attempt, int server, long elapsedNs) {
            real.onStreamStarted(now, ticket, attempt, server, elapsedNs);
        }

        @Override
        public void onOutcome(long now, Outcome outcome) {
            real.onOutcome(now, outcome);
        }

        @Override
        public void onClientDisconnected(long now, int ticket) {
            real.onClientDisconnected(now, ticket);
        }

        @Override
        public void onTimer(long now, long token) {
            real.onTimer(now, token);
        }
    }

    /** Actions of which one is another's: what a test gives instead of the method of that name. */
    static Balancer.Actions instead(Balancer.Actions out, String method, Function<Object[], Boolean> instead) {
        return (Balancer.Actions) Proxy.newProxyInstance(
                Planted.class.getClassLoader(), new Class<?>[] {Balancer.Actions.class}, (self, m, args) -> {
                    if (m.getName().equals(method) && instead.apply(args)) {
                        return null;
                    }
                    try {
                        return m.invoke(out, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    private record Sockets(
            Transport real, Supplier<ChannelHandler> accepted, Function<InetSocketAddress, ChannelHandler> connected)
            implements Transport {
        @Override
        public Bootstrap clientBootstrap(InetSocketAddress address) {
            Bootstrap bare = real.clientBootstrap(address);
            return connected == null
                    ? bare
                    : new Bootstrap() {
                        @Override
                        public Bootstrap handler(ChannelHandler handler) {
                            return bare.handler(ahead(connected.apply(address), handler));
                        }

                        @Override
                        public <T> Bootstrap option(io.netty.channel.ChannelOption<T> option, T value) {
                            bare.option(option, value);
                            return this;
                        }
                    };
        }

        @Override
        public ServerBootstrap serverBootstrap(InetSocketAddress address) {
            ServerBootstrap bare = real.serverBootstrap(address);
            return accepted == null
                    ? bare
                    : new ServerBootstrap() {
                        @Override
                        public ServerBootstrap childHandler(ChannelHandler handler) {
                            return bare.childHandler(new ChannelInitializer<Channel>() {
                                @Override
                                protected void initChannel(Channel c) {
                                    c.pipeline().addLast(accepted.get(), handler);
                                }
                            });
                        }
                    };
        }

        private static ChannelHandler ahead(ChannelHandler first, ChannelHandler then) {
            return first == null
                    ? then
                    : new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel c) {
                            c.pipeline().addLast(first, then);
                        }
                    };
        }
    }
}
