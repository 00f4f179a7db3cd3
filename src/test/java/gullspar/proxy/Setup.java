package gullspar.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gullspar.decide.Balancer;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.Request;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.ConfigException;
import gullspar.proxy.discovery.Discovery;
import gullspar.proxy.io.Clock;
import gullspar.proxy.io.Log;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.ServingLoop;
import gullspar.proxy.io.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** A configuration, and a proxy whose module is the test: it sees each event and takes actions by hand. */
final class Setup implements AutoCloseable {
    private static final String CONFIG =
            """
        {"listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
         "known":{"generation":41,"reset":true,"instances":[
           {"instanceId":"s-1","hostPort":"%s","zone":"a","machineType":"m1","cell":3,
            "lifecycle":"in_service","weight":1.0,"startedAtMs":0}]},
         "settings":{"me":0,"balancers":3,"zone":0,"step_ns":5000000,"zones":["a","b"],"skus":["m1","m2"],
          "tenants":[],"discovery":"pushed",
          "profiles":[
           {"name":"look","effect":"idempotent","promise_ns":250000000,"give_up_ns":600000000,"worth":5.0},
           {"name":"order","effect":"deduplicated","dedup_scope":"zone","window_ns":1200000000,
            "promise_ns":400000000,"give_up_ns":1200000000,"worth":10.0},
           {"name":"pay","effect":"at_most_once","promise_ns":400000000,"give_up_ns":1200000000,"worth":1}],
          "limits":{"cancelling":true,"max_attempts":5,"retry_after":true,"max_retry_after_ns":1200000000,
           "connect_timeout_ns":%d,"keepalive_ns":15000000000},
          "rules":{"start_capacity":0.31,"cold_ns":8800000000,"tip_multiple":3.0,"fall_ns":1500000000,
           "drain_grace_ns":500000000}}}
        """;

    private static final AtomicInteger IDS = new AtomicInteger();

    /** What the module was told. */
    record Told(String what, Object event) {}

    final ServingLoop serving = ServingLoop.start();
    final EventLoop loop = serving.loop();
    final BlockingQueue<Told> told = new LinkedBlockingQueue<>();
    Proxy proxy;
    Balancer.Actions actions;
    /** What the module does when it is told of a request, before the test hears of it. */
    volatile Consumer<Request> onRequest = r -> {};
    /** What happens in the moment in which a connection has come up, ahead of all that follows from it. */
    volatile Runnable onConnected = () -> {};
    /** Hears each line of the proxy's log, in the moment in which it is written. */
    volatile Consumer<String> onLog = line -> {};
    /** Bodies are left unread for as long as a test may take, unless it is about that. */
    long unreadNs = TimeUnit.SECONDS.toNanos(60);

    private final AtomicLong ahead = new AtomicLong();
    private boolean nested;

    static JsonNode json(String discovery, String backend, int sockets, long connectTimeoutMs) {
        try {
            return new ObjectMapper()
                    .readTree(CONFIG.formatted(discovery, sockets, backend, connectTimeoutMs * 1_000_000));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    static Config config(Peer discovery, Peer backend) throws ConfigException {
        return Config.parse(json(discovery.hostPort(), backend.hostPort(), 1024, 5000), Map.of());
    }

    /** Discovery is given as long as a test may take: what is done when it is not heard has own tests. */
    static final Discovery.Patience PATIENCE = new Discovery.Patience(60_000, 60_000, 60_000);

    /** One that serves with the list of the start, as it would once discovery had kept it waiting. */
    Setup start(Config config) throws IOException {
        unheard(config, PATIENCE);
        if (!config.inherited()) {
            loop.submit(proxy::useKnownList).syncUninterruptibly();
        }
        return this;
    }

    /** One that discovery has told nothing yet. */
    Setup unheard(Config config, Discovery.Patience patience) throws IOException {
        Clock system = Clock.system();
        Platform platform = new Platform(
                loop,
                () -> system.now() + ahead.get(),
                new Observed(),
                line -> {
                    onLog.accept(line);
                    Log.standardError().say(line);
                },
                serving.unread(),
                serving.figures());
        proxy = Proxy.on(
                        platform,
                        () -> Proxy.begun(new Proxy(
                                config,
                                platform,
                                (settings, seed, now, out) -> {
                                    actions = out;
                                    return new Module();
                                },
                                patience,
                                unreadNs)))
                .bound();
        return this;
    }

    /** So much time passes at once for whatever reads the clock; timers take no notice. */
    void passes(long ms) {
        ahead.addAndGet(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    Peer.Wire client() throws IOException {
        return Peer.Wire.to(proxy.address());
    }

    /** Runs an action of the module, as it would from an event. */
    void act(Runnable action) throws Exception {
        loop.submit(action).get(20, TimeUnit.SECONDS);
    }

    /** Waits for the next event of a kind; others are passed over. */
    <T> T next(String what, Class<T> type) throws InterruptedException {
        for (Told t = told.poll(20, TimeUnit.SECONDS); t != null; t = told.poll(20, TimeUnit.SECONDS)) {
            if (t.what().equals(what)) {
                return type.cast(t.event());
            }
        }
        throw new AssertionError("the module was not told: " + what);
    }

    Request request() throws InterruptedException {
        return next("request", Request.class);
    }

    Outcome outcome() throws InterruptedException {
        return next("outcome", Outcome.class);
    }

    /** The one backend of the known list. */
    int backend() throws InterruptedException {
        return ((ListedServer) next("members", List.class).get(0)).id();
    }

    /** A request with an id of its own. */
    static String get(String headers) {
        return "GET /look/1?x=2 HTTP/1.1\r\nHost: api\r\nRequest-Id: r" + IDS.incrementAndGet() + "\r\n" + headers
                + "\r\n";
    }

    static String get() {
        return get("Request-Timeout: 30\r\n");
    }

    @Override
    public void close() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private final class Observed implements Transport {
        private final Transport tcp = Transport.tcp(loop);

        @Override
        public Bootstrap to(InetSocketAddress address) {
            Bootstrap bare = tcp.to(address);
            return new Bootstrap() {
                @Override
                public Bootstrap handler(ChannelHandler handler) {
                    return bare.handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel c) {
                            c.pipeline()
                                    .addLast(
                                            new ChannelInboundHandlerAdapter() {
                                                @Override
                                                public void channelActive(ChannelHandlerContext ctx) {
                                                    onConnected.run();
                                                    ctx.fireChannelActive();
                                                }
                                            },
                                            handler);
                        }
                    });
                }

                @Override
                public <T> Bootstrap option(ChannelOption<T> option, T value) {
                    bare.option(option, value);
                    return this;
                }
            };
        }

        @Override
        public ServerBootstrap at(InetSocketAddress address) {
            return tcp.at(address);
        }
    }

    private final class Module implements Balancer {
        private void note(String what, Object event) {
            if (nested) {
                throw new AssertionError("the module was called from inside its own action");
            }
            told.add(new Told(what, event));
        }

        @Override
        public void onServerList(long now, ListKind kind, long version, List<ListedServer> members) {
            note("members", members);
            note("kind", kind);
        }

        @Override
        public void onProfiles(List<Profile> profiles) {
            note("profiles", profiles);
        }

        @Override
        public void onRequest(long now, Request request) {
            nested = true;
            onRequest.accept(request);
            nested = false;
            note("request", request);
        }

        @Override
        public void onStreamStarted(long now, int ticket, int attempt, int server, long elapsedNs) {}

        @Override
        public void onOutcome(long now, Outcome outcome) {
            note("outcome", outcome);
        }

        @Override
        public void onClientDisconnected(long now, int ticket) {
            note("withdrawn", ticket);
        }

        @Override
        public void onTimer(long now, long token) {
            note("timer", token);
        }
    }
}
