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
import java.lang.reflect.InvocationTargetException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** A configuration, and a proxy whose module records each event and lets the test trigger actions. */
public final class Setup implements AutoCloseable {
    private static final String CONFIG_TEMPLATE =
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

    /** An event that the module received. */
    record ModuleEvent(String type, Object event) {}

    final ServingLoop serving = ServingLoop.start();
    final EventLoop loop = serving.loop();
    final BlockingQueue<ModuleEvent> moduleEvents = new LinkedBlockingQueue<>();
    Proxy proxy;
    Balancer.Actions actions;
    /** The module's reaction to a request, before the event is recorded. */
    volatile Consumer<Request> onRequest = r -> {};
    /** Runs as the module receives an outcome, before that is recorded. */
    volatile Runnable onOutcome = () -> {};
    /** Runs as soon as an outgoing connection is established, before any other handler. */
    volatile Runnable onConnected = () -> {};
    /** Receives each line of the proxy's log just before it is written. */
    volatile Consumer<String> onLog = line -> {};
    /** The proxy's limit on how long a body stays unread; by default longer than any test. */
    long unreadTimeoutNs = TimeUnit.SECONDS.toNanos(60);

    /**
     * Timers of the proxy with at least this delay have no effect. For tests of what happens before a time limit, as
     * a busy machine may reach that limit first.
     */
    volatile long ignoredTimerMs = Long.MAX_VALUE;

    /** The timers that had no effect so far. */
    final List<IgnoredTimer> ignoredTimers = new CopyOnWriteArrayList<>();
    /** Time since the start of the process when the proxy is created, in ms. */
    long processAgeMs;

    /** A timer of the proxy that has no effect. */
    record IgnoredTimer(long delayMs, Runnable task, Future<?> future) {}

    private final Clock system = Clock.system();
    /** The system's time at which the clock was stopped; null while it runs. */
    private volatile Long stoppedAtNs;

    private final AtomicLong clockOffsetNs = new AtomicLong();
    private boolean inAction;

    public static JsonNode json(String discovery, String backend, int sockets, long connectTimeoutMs) {
        try {
            return new ObjectMapper()
                    .readTree(CONFIG_TEMPLATE.formatted(discovery, sockets, backend, connectTimeoutMs * 1_000_000));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    static Config config(Peer discovery, Peer backend) throws ConfigException {
        return Config.parse(json(discovery.hostPort(), backend.hostPort(), 1024, 5000), Map.of());
    }

    /** Longer than any test; the timeouts of discovery have tests of their own. */
    static final Discovery.Timeouts TIMEOUTS = new Discovery.Timeouts(60_000, 60_000, 60_000);

    /** Starts a proxy that serves with the known list, as after a time-out of discovery. */
    Setup start(Config config) throws IOException {
        startWithoutList(config, TIMEOUTS);
        if (!config.inherited()) {
            loop.submit(proxy::useKnownList).syncUninterruptibly();
        }
        return this;
    }

    /** Starts a proxy that has not received a list from discovery. */
    Setup startWithoutList(Config config, Discovery.Timeouts timeouts) throws IOException {
        Platform platform = new Platform(
                loopIgnoringLongTimers(),
                this::now,
                new ObservedTransport(),
                line -> {
                    onLog.accept(line);
                    Log.standardError().write(line);
                },
                serving.unreadAge(),
                serving.statistics());
        proxy = Proxy.callOnLoop(
                        platform,
                        () -> Proxy.connectAndOpen(new Proxy(
                                config,
                                platform,
                                (settings, seed, now, out) -> {
                                    actions = out;
                                    return new RecordingModule();
                                },
                                timeouts,
                                unreadTimeoutNs,
                                processAgeMs)))
                .awaitListening();
        return this;
    }

    private long now() {
        Long stopped = stoppedAtNs;
        return (stopped == null ? system.now() : stopped) + clockOffsetNs.get();
    }

    private EventLoop loopIgnoringLongTimers() {
        return (EventLoop) java.lang.reflect.Proxy.newProxyInstance(
                Setup.class.getClassLoader(), new Class<?>[] {EventLoop.class}, (wrapper, method, arguments) -> {
                    boolean isIgnored = method.getName().equals("schedule")
                            && arguments[0] instanceof Runnable
                            && delayMs(arguments) >= ignoredTimerMs;
                    Object task = arguments == null ? null : arguments[0];
                    if (isIgnored) {
                        arguments[0] = (Runnable) () -> {};
                    }
                    try {
                        Object result = method.invoke(loop, arguments);
                        if (isIgnored) {
                            ignoredTimers.add(
                                    new IgnoredTimer(delayMs(arguments), (Runnable) task, (Future<?>) result));
                        }
                        return result;
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    private static long delayMs(Object[] scheduleArguments) {
        return ((TimeUnit) scheduleArguments[2]).toMillis((long) scheduleArguments[1]);
    }

    /** Stops the clock: from now on only advanceClock changes it. Timers are not affected. */
    void stopClock() throws Exception {
        runOnLoop(() -> stoppedAtNs = system.now());
    }

    /** Advances the clock; timers are not affected. */
    void advanceClock(long ms) {
        clockOffsetNs.addAndGet(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    Peer.Wire client() throws IOException {
        return Peer.Wire.to(proxy.address());
    }

    /** Runs the ignored timers with delays from one time to less than another, in their order. */
    void runIgnoredTimers(long fromMs, long untilMs) throws Exception {
        for (IgnoredTimer timer : ignoredTimers) {
            if (timer.delayMs() >= fromMs
                    && timer.delayMs() < untilMs
                    && !timer.future().isCancelled()) {
                runOnLoop(timer.task());
            }
        }
    }

    /** Runs an action of the module on the event loop and waits for it. */
    void runOnLoop(Runnable action) throws Exception {
        loop.submit(action).get(20, TimeUnit.SECONDS);
    }

    /** Waits for the next event of a type and skips others. */
    <T> T nextEvent(String eventType, Class<T> type) throws InterruptedException {
        for (ModuleEvent event = moduleEvents.poll(20, TimeUnit.SECONDS);
                event != null;
                event = moduleEvents.poll(20, TimeUnit.SECONDS)) {
            if (event.type().equals(eventType)) {
                return type.cast(event.event());
            }
        }
        throw new AssertionError("the module did not receive the event within 20 s: " + eventType);
    }

    Request nextRequest() throws InterruptedException {
        return nextEvent("request", Request.class);
    }

    Outcome nextOutcome() throws InterruptedException {
        return nextEvent("outcome", Outcome.class);
    }

    /**
     * Waits until the status contains a text. A client can see that its connection was closed before the proxy counts
     * the request, which happens in a later task of the event loop. The limit of 5 s is shorter than the timeouts by
     * which the proxy would close or abort by itself.
     */
    void awaitStatus(String text) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        for (String status = statusJson(); !status.contains(text); status = statusJson()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("the status does not contain " + text + " within 5 s: " + status);
            }
        }
    }

    private String statusJson() throws Exception {
        return loop.submit(proxy::statusJson).get(20, TimeUnit.SECONDS);
    }

    /** Id of the only backend of the next list that the module receives. */
    int listedServer() throws InterruptedException {
        return ((ListedServer) nextEvent("members", List.class).get(0)).id();
    }

    /** A GET request with a unique id. */
    static String getRequest(String headers) {
        return "GET /look/1?x=2 HTTP/1.1\r\nHost: api\r\nRequest-Id: r" + IDS.incrementAndGet() + "\r\n" + headers
                + "\r\n";
    }

    static String getRequest() {
        return getRequest("Request-Timeout: 30\r\n");
    }

    @Override
    public void close() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private final class ObservedTransport implements Transport {
        private final Transport tcp = Transport.tcp(loop);

        @Override
        public Bootstrap clientBootstrap(InetSocketAddress address) {
            Bootstrap bare = tcp.clientBootstrap(address);
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
        public ServerBootstrap serverBootstrap(InetSocketAddress address) {
            return tcp.serverBootstrap(address);
        }
    }

    private final class RecordingModule implements Balancer {
        private void record(String type, Object event) {
            if (inAction) {
                throw new AssertionError("the module was called from inside its own action");
            }
            moduleEvents.add(new ModuleEvent(type, event));
        }

        @Override
        public void onServerList(long now, ListKind kind, long version, List<ListedServer> members) {
            record("members", members);
            record("kind", kind);
        }

        @Override
        public void onProfiles(List<Profile> profiles) {
            record("profiles", profiles);
        }

        @Override
        public void onRequest(long now, Request request) {
            inAction = true;
            onRequest.accept(request);
            inAction = false;
            record("request", request);
        }

        @Override
        public void onStreamStarted(long now, int ticket, int attempt, int server, long elapsedNs) {}

        @Override
        public void onOutcome(long now, Outcome outcome) {
            onOutcome.run();
            record("outcome", outcome);
        }

        @Override
        public void onResponseOpened(long now, int ticket, int server) {
            record("response opened", server);
        }

        @Override
        public void onResponseClosed(long now, int ticket) {
            record("response closed", ticket);
        }

        @Override
        public void onClientDisconnected(long now, int ticket) {
            record("withdrawn", ticket);
        }

        @Override
        public void onTimer(long now, long token) {
            record("timer", token);
        }
    }
}
