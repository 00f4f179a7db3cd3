package gullspar.rehearse.play;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer;
import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.io.Platform;
import gullspar.rehearse.TestScripts;
import gullspar.rehearse.judge.Rule;
import gullspar.rehearse.judge.RuleViolation;
import gullspar.rehearse.judge.Verdict;
import gullspar.rehearse.script.Script;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Faults planted in the daemon and in the decision module: the judge detects the violated rule of each. */
@Timeout(120)
class JudgeDetectionTest {
    private static final Script NO_FAULTS = TestScripts.small(6, "");
    /** Nodes that crash and corrupt responses, so that attempts fail that may have run. */
    private static final Script FAILING_NODES = TestScripts.small(
            6,
            TestScripts.fault("spoil", 0.5, "for = 5\nnodes = 8\nshare = 0.2")
                    + TestScripts.fault("crash", 2, "nodes = 2"));

    private static final Script DRAINING_NODES =
            TestScripts.small(8, TestScripts.fault("drain", 2, "nodes = 2\ngrace_s = 4"));
    /** Cold nodes have a fiftieth of their capacity. */
    private static final Script COLD_NODES = TestScripts.small(
            8,
            230,
            "[rules]\nstart_capacity = 0.02\ncold_s = 20\n"
                    + TestScripts.fault("restart", 1, "nodes = 1\ngrace_s = 0.2\ndown_s = 0.2"));

    private static Verdict play(Script script, VirtualPlay.Options options) {
        return VirtualPlay.play(script, options).verdict();
    }

    /** Asserts that playing the script yields a violation of the rule whose description contains the text. */
    private static void assertDetected(Rule rule, String text, Script script, VirtualPlay.Options options) {
        List<RuleViolation> violations = play(script, options).violations();
        assertFalse(violations.isEmpty(), "no violation was detected");
        assertTrue(
                violations.stream()
                        .anyMatch(b -> b.rule() == rule && b.description().contains(text)),
                violations.get(0).description());
    }

    @Test
    void daysWithoutPlantedFaultsKeepAllRules() {
        for (Script script : List.of(
                NO_FAULTS,
                FAILING_NODES,
                DRAINING_NODES,
                DRAINS_DURING_OUTAGE,
                COLD_NODES,
                LEAVING_CLIENTS,
                PAUSED_PROXY)) {
            assertEquals(List.of(), play(script, VirtualPlay.Options.defaults()).violations());
        }
    }

    // ---- a paused proxy ----

    private static final Script PAUSED_PROXY =
            TestScripts.small(6, TestScripts.fault("pause", 2, "for = 0.5\nproxies = 1"));

    /** The proxy does not know how long its input has waited before it was read. */
    @Test
    void attemptGivenMoreTimeThanItsClientHas() {
        assertDetected(
                Rule.TIME_TOLD,
                "when its client had",
                PAUSED_PROXY,
                new VirtualPlay.Options(
                        null,
                        UnaryOperator.identity(),
                        p -> new Platform(p.loop(), p.clock(), p.transport(), p.log()),
                        ProgressListener.NONE));
    }

    // ---- clients that leave ----

    private static final Script LEAVING_CLIENTS = TestScripts.small(
            6, TestScripts.fault("leaving", 0.5, "for = 5\nclass = \"pay\"\nshare = 0.5\nwithin_ms = 20"));

    /**
     * The proxy is notified of a client's disconnect only long after it, and some of its requests to nodes are sent
     * late, by no more than the time that clients leave early plus what the rule allows.
     */
    private static VirtualPlay.Options delayedSockets(Predicate<String> isDelayed) {
        return PlantedFaults.sockets(
                () -> new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelInactive(ChannelHandlerContext ctx) {
                        ctx.executor().schedule(ctx::fireChannelInactive, 5, TimeUnit.SECONDS);
                    }
                },
                address -> new ChannelOutboundHandlerAdapter() {
                    @Override
                    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                        String text = ((ByteBuf) message).toString(StandardCharsets.US_ASCII);
                        ctx.executor()
                                .schedule(
                                        () -> ctx.writeAndFlush(message, promise),
                                        isDelayed.test(text) ? 150 : 0,
                                        TimeUnit.MILLISECONDS);
                    }
                });
    }

    @Test
    void firstAttemptAfterClientLeft() {
        assertDetected(
                Rule.LEFT_ALONE,
                "after its client had left",
                LEAVING_CLIENTS,
                delayedSockets(t -> t.startsWith("POST /pay")));
    }

    /** Only further attempts of a request are delayed. */
    @Test
    void retryAfterClientLeft() {
        Set<String> ids = new HashSet<>();
        assertDetected(
                Rule.LEFT_ALONE,
                "after its client had left",
                TestScripts.small(
                        6,
                        TestScripts.fault("leaving", 0.5, "for = 5\nclass = \"look\"\nshare = 0.5\nwithin_ms = 20")
                                + TestScripts.fault("spoil", 0.5, "for = 5\nnodes = 8\nshare = 0.5")),
                delayedSockets(t -> t.startsWith("GET /look")
                        && !ids.add(t.lines()
                                .filter(l -> l.startsWith("Request-Id"))
                                .findFirst()
                                .orElse(""))));
    }

    // ---- one final response ----

    /** Applies the tampering to every n-th response that a proxy writes to its clients. */
    private static VirtualPlay.Options tamperedResponses(int every, ResponseTampering tampering) {
        int[] count = {0};
        return PlantedFaults.sockets(
                () -> new ChannelOutboundHandlerAdapter() {
                    private final ByteBuf buffered = Unpooled.buffer();

                    @Override
                    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                        ByteBuf b = (ByteBuf) message; // head and body are written separately
                        buffered.writeBytes(b);
                        b.release();
                        promise.setSuccess();
                    }

                    @Override
                    public void flush(ChannelHandlerContext ctx) {
                        if (!buffered.isReadable()) {
                            return;
                        }
                        String text = buffered.toString(StandardCharsets.US_ASCII);
                        buffered.clear();
                        if (text.startsWith("HTTP/1.1 200") && !text.contains("ready") && ++count[0] % every == 0) {
                            tampering.write(ctx, text);
                        } else {
                            writeText(ctx, text);
                        }
                    }
                },
                null);
    }

    private static void writeText(ChannelHandlerContext ctx, String text) {
        ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private interface ResponseTampering {
        void write(ChannelHandlerContext ctx, String response);
    }

    @Test
    void responseNeverWritten() {
        assertDetected(
                Rule.ONE_ANSWER,
                "no final answer when its time was up",
                NO_FAULTS,
                tamperedResponses(50, (ctx, text) -> {}));
    }

    @Test
    void responseWrittenTwice() {
        assertDetected(Rule.ONE_ANSWER, "unsolicited second response", NO_FAULTS, tamperedResponses(50, (ctx, text) -> {
            writeText(ctx, text);
            ctx.executor().schedule(() -> writeText(ctx, text), 1, TimeUnit.MILLISECONDS);
        }));
    }

    @Test
    void responseOfAnotherRequest() {
        assertDetected(
                Rule.ONE_ANSWER,
                "response body was not made by a node for this request",
                NO_FAULTS,
                tamperedResponses(50, (ctx, text) -> writeText(ctx, text.replaceFirst("\r\n\r\nr", "\r\n\r\nx"))));
    }

    @Test
    void connectionClosedWithoutResponse() {
        assertDetected(
                Rule.ONE_ANSWER,
                "closed with no final answer",
                NO_FAULTS,
                tamperedResponses(50, (ctx, text) -> ctx.close()));
    }

    /** Sends every 40th request to a node only after its client's deadline. */
    @Test
    void attemptSentAfterFinalResponse() {
        int[] count = {0};
        // The proxy fails the request in time, and the socket still sends it afterwards.
        assertDetected(
                Rule.ONE_ANSWER,
                "after its final answer",
                NO_FAULTS,
                PlantedFaults.sockets(null, address -> new ChannelDuplexHandler() {
                    @Override
                    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                        if (address.getPort() == 9000
                                && message instanceof ByteBuf b
                                && b.toString(StandardCharsets.US_ASCII).startsWith("GET /look")
                                && ++count[0] % 40 == 0) {
                            promise.setSuccess();
                            ctx.executor().schedule(() -> ctx.writeAndFlush(b), 270, TimeUnit.MILLISECONDS);
                        } else {
                            ctx.write(message, promise);
                        }
                    }

                    @Override
                    public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
                        ctx.executor().schedule(() -> ctx.close(), 300, TimeUnit.MILLISECONDS);
                    }
                }));
    }

    // ---- no duplicate effects ----

    @Test
    void refusalOfRequestThatMayHaveRun() {
        assertDetected(
                Rule.NOTHING_TWICE,
                "it was refused",
                FAILING_NODES,
                PlantedFaults.module(real -> (settings, seed, now, out) ->
                        real.create(settings, seed, now, PlantedFaults.intercept(out, "fail", args -> {
                            out.refuse((Integer) args[0], 0);
                            return true;
                        }))));
    }

    /** Sends a request again, to another node, where the real module gives up because it may have run. */
    private static final class ResendingModule extends PlantedFaults.Module {
        private final Settings settings;
        private final Balancer.Actions out;
        private final Map<Integer, Integer> classes = new HashMap<>();
        private final List<Integer> nodes = new ArrayList<>();
        private final Effect effect;

        ResendingModule(
                Balancer.Factory real, Settings settings, long seed, long now, Balancer.Actions out, Effect effect) {
            super(real.create(settings, seed, now, out));
            this.settings = settings;
            this.out = out;
            this.effect = effect;
        }

        @Override
        public void onServerList(long now, ListKind kind, long version, List<ListedServer> members) {
            members.stream().filter(m -> !nodes.contains(m.id())).forEach(m -> nodes.add(m.id()));
            super.onServerList(now, kind, version, members);
        }

        @Override
        public void onRequest(long now, Request request) {
            classes.put(request.ticket(), request.profile());
            super.onRequest(now, request);
        }

        @Override
        public void onOutcome(long now, Outcome o) {
            Integer c = classes.remove(o.ticket());
            if (o.status() == Status.RESET
                    && c != null
                    && settings.profiles().get(c).effect() == effect) {
                // Nodes are listed alternating between the sites: the next one is of another site.
                out.send(o.ticket(), nodes.get((nodes.indexOf(o.server()) + 1) % nodes.size()), 0);
            } else {
                super.onOutcome(now, o);
            }
        }
    }

    private static VirtualPlay.Options resendingModule(Effect effect) {
        return PlantedFaults.module(
                real -> (settings, seed, now, out) -> new ResendingModule(real, settings, seed, now, out, effect));
    }

    @Test
    void unsafeRequestSentAgain() {
        assertDetected(Rule.NOTHING_TWICE, "may have run", FAILING_NODES, resendingModule(Effect.AT_MOST_ONCE));
    }

    @Test
    void keyedRequestSentAgainOutsideItsDeduplicationScope() {
        assertDetected(
                Rule.NOTHING_TWICE, "does not drop a repeat", FAILING_NODES, resendingModule(Effect.DEDUPLICATED));
    }

    // ---- drains ----

    /** Delays or rewrites the drain notices that discovery sends to a proxy. */
    private static VirtualPlay.Options tamperedDrainNotices(Function<String, String> tampering, long delayMs) {
        return PlantedFaults.sockets(null, address -> new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                ByteBuf b = (ByteBuf) message;
                String text = b.toString(StandardCharsets.US_ASCII);
                if (!text.contains("\"terminating\"")) {
                    ctx.fireChannelRead(message);
                    return;
                }
                b.release();
                ctx.executor()
                        .schedule(
                                () -> {
                                    ctx.fireChannelRead(
                                            Unpooled.copiedBuffer(tampering.apply(text), StandardCharsets.US_ASCII));
                                    ctx.fireChannelReadComplete();
                                },
                                delayMs,
                                TimeUnit.MILLISECONDS);
            }
        });
    }

    @Test
    void drainNoticeNotReceived() {
        assertDetected(
                Rule.DRAINS_KEPT,
                "was notified that the node leaves",
                DRAINING_NODES,
                tamperedDrainNotices(text -> text.replace("\"terminating\"", "\"in_service\" "), 0));
    }

    @Test
    void drainNoticeReceivedLate() {
        assertDetected(
                Rule.DRAINS_KEPT,
                "was notified that the node leaves",
                DRAINING_NODES,
                tamperedDrainNotices(text -> text, 1500));
    }

    /** All watches end; drains follow after discovery is back, when a proxy may have no watch. */
    private static final Script DRAINS_DURING_OUTAGE = TestScripts.small(
            14,
            TestScripts.fault("discovery-down", 1, "for = 1")
                    + TestScripts.fault("drain", 3, "nodes = 2\ngrace_s = 11"));

    /** A proxy whose later calls to discovery are never sent gets no notices, but must still know of drains. */
    @Test
    void noWatchReestablishedAfterOutage() {
        Set<InetSocketAddress> watchedAddresses = new HashSet<>();
        assertDetected(
                Rule.LISTS_HEARD,
                "should have known that the node leaves",
                DRAINS_DURING_OUTAGE,
                PlantedFaults.sockets(null, address -> new ChannelOutboundHandlerAdapter() {
                    @Override
                    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                        String text = ((ByteBuf) message).toString(StandardCharsets.US_ASCII);
                        if (!text.startsWith("GET /catalog/") || watchedAddresses.add(address)) {
                            ctx.write(message, promise);
                        }
                    }
                }));
    }

    // ---- cold nodes ----

    /** The given number of modules send every n-th attempt to the node that started last, while it is listed. */
    private static VirtualPlay.Options preferringNewestNode(int modules, int every) {
        int[] created = {0};
        return PlantedFaults.module(real -> (settings, seed, now, out) -> {
            if (created[0]++ >= modules) {
                return real.create(settings, seed, now, out);
            }
            int[] newest = {0};
            int[] sent = {0};
            Balancer.Actions redirected = PlantedFaults.intercept(out, "send", args -> {
                boolean redirect = newest[0] != 0 && ++sent[0] % every == 0;
                if (redirect) {
                    out.send((Integer) args[0], newest[0], (Long) args[2]);
                }
                return redirect;
            });
            return new PlantedFaults.Module(real.create(settings, seed, now, redirected)) {
                @Override
                public void onServerList(long at, ListKind kind, long version, List<ListedServer> members) {
                    members.stream()
                            .filter(m -> m.startedAtNs() > 0 && m.state() == State.READY)
                            .forEach(m -> newest[0] = m.id());
                    super.onServerList(at, kind, version, members);
                }
            };
        });
    }

    @Test
    void allProxiesPreferNewestNode() {
        assertDetected(Rule.COLD_SPARED, "and collapsed", COLD_NODES, preferringNewestNode(2, 4));
    }

    /** Only one proxy overloads the node; the rule applies to all proxies together. */
    @Test
    void oneProxyPrefersNewestNode() {
        assertDetected(Rule.COLD_SPARED, "and collapsed", COLD_NODES, preferringNewestNode(1, 1));
    }
}
