package gullspar.rehearse.play;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import gullspar.decide.Balancer;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.State;
import gullspar.proxy.Proxy;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.Json;
import gullspar.proxy.io.Platform;
import gullspar.rehearse.TestScripts;
import gullspar.rehearse.net.Host;
import gullspar.rehearse.net.Network;
import gullspar.rehearse.time.EventQueue;
import gullspar.rehearse.time.VirtualLoop;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Two events that reach a proxy at the same virtual instant: across seeds they occur in both orders, with one seed
 * always in the same order, and in either order each client gets exactly one response. Every link has a delay of 1 ms;
 * the decision module is a stub.
 */
class SimultaneousEventsTest {
    private static final long NS_PER_MS = 1_000_000;
    private static final long START_NS = 1_000_000_000_000L;
    private static final InetSocketAddress PROXY = new InetSocketAddress("127.1.0.1", 9000);
    private static final InetSocketAddress NODE = new InetSocketAddress("127.1.0.2", 9000);
    private static final InetSocketAddress DISCOVERY = new InetSocketAddress("127.1.0.3", 9000);
    private static final String GET = "GET /look/1 HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Timeout: 1\r\n\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    private static final int SEEDS = 100;

    /** A proxy with a client, a node and discovery, on its own event queue. */
    private static final class Fixture {
        private final EventQueue eventQueue;
        private final Network network;
        private final List<String> events = new ArrayList<>();
        private final List<Throwable> errors = new ArrayList<>();
        private final VirtualLoop endpointLoop;
        private Balancer.Actions actions;
        private int node;
        private ChannelHandlerContext nodeContext;
        private ChannelHandlerContext discoveryContext;
        private ChannelHandlerContext clientContext;
        private long timeoutNs = 500 * NS_PER_MS;
        private long sentAt;

        Fixture(long seed) throws Exception {
            eventQueue = new EventQueue(seed, START_NS);
            network = new Network(eventQueue, seed, (a, b) -> NS_PER_MS);
            endpointLoop = new VirtualLoop(eventQueue, errors::add);
            VirtualLoop loop = new VirtualLoop(eventQueue, errors::add);
            Host proxy = network.host("proxy");
            proxy.setProcess(loop);
            for (String name : List.of("client", "node", "discovery")) {
                network.host(name).setProcess(endpointLoop);
            }
            listen("node", NODE, ctx -> nodeContext = ctx);
            listen("discovery", DISCOVERY, ctx -> discoveryContext = ctx);
            runTo(1); // the listeners are open before the proxy connects
            JsonNode known = Json.read(list(1, "in_service").getBytes(StandardCharsets.US_ASCII));
            Config config = Config.parse(
                    ProxySettings.of(TestScripts.small(1, ""), 0, "p1", PROXY, DISCOVERY, 1, known), Map.of());
            loop.execute(() -> Proxy.startOnLoop(
                    config,
                    new Platform(loop, eventQueue::now, network.transport(proxy), line -> {}),
                    (settings, s, now, out) -> {
                        actions = out;
                        return new Module();
                    }));
            runTo(10);
            // The proxy sends nothing to a node before the first list from discovery.
            write(
                    discoveryContext,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list(1, "in_service")));
            network.transport(network.host("client"))
                    .clientBootstrap(PROXY)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel c) {
                            c.pipeline().addLast(new Endpoint("client", ctx -> clientContext = ctx));
                        }
                    })
                    .connect();
            runTo(20);
        }

        static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }

        static String list(int generation, String lifecycle) {
            return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":[{\"instanceId\":\"n1\","
                    + "\"hostPort\":\"127.1.0.2:9000\",\"zone\":\"north\",\"machineType\":\"fast\","
                    + "\"cell\":0,\"lifecycle\":\"" + lifecycle + "\",\"weight\":1,\"startedAtMs\":0}]}";
        }

        private void listen(String name, InetSocketAddress at, Consumer<ChannelHandlerContext> onActive) {
            network.transport(network.host(name))
                    .serverBootstrap(at)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel c) {
                            c.pipeline().addLast(new Endpoint(name, onActive));
                        }
                    })
                    .bind();
        }

        /** Runs up to that many ms from the start. */
        void runTo(long ms) {
            while (eventQueue.hasEventBy(START_NS + ms * NS_PER_MS)) {
                eventQueue.runNext();
            }
            eventQueue.advanceTo(START_NS + ms * NS_PER_MS);
            assertEquals(List.of(), errors);
        }

        /** Runs an action at a virtual time in ns. */
        void scheduleAt(long ns, Runnable action) {
            endpointLoop.schedule(action, ns - eventQueue.now(), TimeUnit.NANOSECONDS);
        }

        static void write(ChannelHandlerContext to, String text) {
            to.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        }

        /** Records the first characters of what it reads. */
        private final class Endpoint extends SimpleChannelInboundHandler<ByteBuf> {
            private final String name;
            private final Consumer<ChannelHandlerContext> onActive;

            Endpoint(String name, Consumer<ChannelHandlerContext> onActive) {
                this.name = name;
                this.onActive = onActive;
            }

            @Override
            public void channelActive(ChannelHandlerContext ctx) {
                onActive.accept(ctx);
            }

            @Override
            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf b) {
                String text = b.toString(StandardCharsets.US_ASCII);
                if (text.startsWith("HTTP/1.1 ") || text.startsWith("GET /look")) {
                    events.add(name + " reads " + text.substring(0, 12).trim());
                }
            }
        }

        /** Sends every request to the one node while it is ready, and fails requests whose attempt fails. */
        private final class Module implements Balancer {
            private boolean ready;

            @Override
            public void onServerList(long now, ListKind kind, long version, List<ListedServer> members) {
                node = members.get(0).id();
                ready = members.get(0).state() == State.READY;
                events.add(ready ? "ready" : "drains");
            }

            @Override
            public void onRequest(long now, Request r) {
                events.add("request");
                if (ready) {
                    sentAt = now;
                    actions.send(r.ticket(), node, timeoutNs);
                } else {
                    actions.refuse(r.ticket(), 0);
                }
            }

            @Override
            public void onStreamStarted(long now, int ticket, int attempt, int server, long elapsedNs) {}

            @Override
            public void onOutcome(long now, Outcome o) {
                events.add(o.status().name());
                if (!o.isFinal()) {
                    actions.fail(o.ticket());
                }
            }

            @Override
            public void onClientDisconnected(long now, int ticket) {
                events.add("disconnected");
            }

            @Override
            public void onTimer(long now, long token) {}
        }
    }

    private interface Scenario {
        List<String> run(Fixture fixture) throws Exception;
    }

    /** Runs a scenario with many seeds, twice each, and counts each observed sequence of events. */
    private static Map<String, Integer> countOutcomes(Scenario scenario) throws Exception {
        Map<String, Integer> counts = new TreeMap<>();
        for (long seed = 0; seed < SEEDS; seed++) {
            List<String> events = scenario.run(new Fixture(seed));
            assertEquals(events, scenario.run(new Fixture(seed)), "seed " + seed);
            counts.merge(String.join(", ", events), 1, Integer::sum);
        }
        return counts;
    }

    private static void assertBothOrdersOccur(Map<String, Integer> counts, String one, String other) {
        assertEquals(2, counts.size(), counts.toString());
        assertTrue(
                counts.getOrDefault(one, 0) > SEEDS / 4 && counts.getOrDefault(other, 0) > SEEDS / 4,
                counts.toString());
    }

    /** The node's response arrives at the same ns as the time-out of its attempt. */
    @Test
    void responseAndTimeout() throws Exception {
        assertBothOrdersOccur(
                countOutcomes(fixture -> {
                    fixture.timeoutNs = 50 * NS_PER_MS;
                    Fixture.write(fixture.clientContext, GET);
                    fixture.runTo(40);
                    fixture.events.clear();
                    fixture.scheduleAt(fixture.sentAt + 49 * NS_PER_MS, () -> Fixture.write(fixture.nodeContext, OK));
                    fixture.runTo(2000);
                    return fixture.events;
                }),
                "OK, client reads HTTP/1.1 200",
                "TIMEOUT, client reads HTTP/1.1 502");
    }

    /** A drain notice and a request arrive at the same ns: after the notice nothing is sent to the node. */
    @Test
    void drainNoticeAndRequest() throws Exception {
        assertBothOrdersOccur(
                countOutcomes(fixture -> {
                    fixture.events.clear();
                    fixture.scheduleAt(START_NS + 30 * NS_PER_MS, () -> Fixture.write(fixture.clientContext, GET));
                    fixture.scheduleAt(
                            START_NS + 30 * NS_PER_MS,
                            () -> Fixture.write(
                                    fixture.discoveryContext, Fixture.chunk(Fixture.list(2, "terminating"))));
                    fixture.runTo(40);
                    return fixture.events;
                }),
                "drains, request, client reads HTTP/1.1 503",
                "request, drains, node reads GET /look/1");
    }

    /** The client disconnects at the same ns as its response arrives. */
    @Test
    void clientCloseAndResponse() throws Exception {
        assertBothOrdersOccur(
                countOutcomes(fixture -> {
                    Fixture.write(fixture.clientContext, GET);
                    fixture.runTo(40);
                    fixture.events.clear();
                    fixture.scheduleAt(START_NS + 59 * NS_PER_MS, () -> Fixture.write(fixture.nodeContext, OK));
                    fixture.scheduleAt(START_NS + 59 * NS_PER_MS, () -> fixture.clientContext.close());
                    fixture.runTo(2000);
                    return fixture.events;
                }),
                "OK",
                "disconnected, CANCELLED");
    }
}
