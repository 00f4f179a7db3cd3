package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.Member;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.ConfigException;
import gullspar.proxy.discovery.Discovery;
import gullspar.proxy.discovery.ListUpdate;
import gullspar.proxy.discovery.ListedBackend;
import gullspar.proxy.io.Clock;
import gullspar.proxy.io.Log;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What discovery says, and what the proxy makes of it. */
class DiscoveryTest extends LoopbackTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private int knownServer;

    @BeforeEach
    void awaitKnownList() throws Exception {
        knownServer = server;
        assertEquals(ListKind.CACHED, setup.nextEvent("kind", ListKind.class));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private String list(int generation, boolean isFull, String id, String lifecycle) {
        return """
                {"generation":%d,"reset":%b,"instances":[{"instanceId":"%s","hostPort":"%s","zone":"b",\
                "machineType":"m2","cell":3,"lifecycle":"%s","weight":0.5,"startedAtMs":1700000000000}]}
                """
                .formatted(generation, isFull, id, backend.hostPort(), lifecycle);
    }

    private Member nextMember() throws Exception {
        return (Member) setup.nextEvent("members", List.class).get(0);
    }

    @Test
    void listAppliesOnceCompleteAndWatchResumesFromVersion() throws Exception {
        Peer.Wire watch = discovery.accept();
        assertTrue(watch.read().startsWith("GET /catalog/members?stream=1&index=41 "));
        String line = list(42, false, "s-1", "terminating");
        watch.write(HEAD + chunk("\n" + line.substring(0, 30)) + chunk(line.substring(30)));
        Member m = nextMember();
        assertEquals(new Member(knownServer, 1, State.DRAINING, m.bootNs(), 3, 1, 0.5), m);
        assertTrue(m.bootNs() > 1_700_000_000_000_000_000L, "its least age is none: the latest start of all");
        assertEquals(ListKind.DELTA, setup.nextEvent("kind", ListKind.class));
        String cut = list(43, false, "s-1", "in_service").trim();
        watch.write(chunk(cut.substring(0, cut.length() - 1))).close(); // no end: no news
        Peer.Wire second = discovery.accept();
        assertTrue(second.read().startsWith("GET /catalog/members?stream=1&index=42 "));
        second.write(HEAD + chunk(list(44, true, "s-2", "in_service")));
        assertNotEquals(knownServer, nextMember().id());
        assertEquals(ListKind.FULL, setup.nextEvent("kind", ListKind.class));
    }

    @Test
    void invalidListChangesNothingAndWatchIsReopened() throws Exception {
        for (String bad : List.of(
                "{x\n",
                "nonsense\n",
                "[]\n",
                "{}\n",
                "{\"generation\":42,\"instances\":[{}]}\n",
                list(42, false, "s-1", "resting"))) {
            Peer.Wire watch = discovery.accept();
            watch.read();
            watch.write(HEAD + chunk(bad));
            assertTrue(watch.ended());
        }
        Peer.Wire watch = discovery.accept();
        assertTrue(watch.read().contains("index=41 "));
        assertTrue(setup.moduleEvents.stream().noneMatch(t -> t.type().equals("members")));
    }

    /** Lists may come indented, cut anywhere: neither lines nor chunks mean anything. */
    @Test
    void indentedListIsParsedWhereverItIsSplit() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD);
        ObjectMapper mapper = new ObjectMapper();
        int length = prettyList(mapper, 100, "terminating").length();
        for (int cut = 1; cut < length; cut++) {
            String both = prettyList(mapper, 100 + cut, cut % 2 == 0 ? "terminating" : "in_service");
            watch.write(chunk("\r\n\n" + both.substring(0, cut))).write(chunk(both.substring(cut)));
            assertEquals(
                    cut % 2 == 0 ? State.DRAINING : State.READY, nextMember().state());
        }
        // Two in one read, with nothing between them.
        watch.write(chunk(prettyList(mapper, 900, "terminating") + prettyList(mapper, 901, "in_service")));
        assertEquals(State.DRAINING, nextMember().state());
        assertEquals(State.READY, nextMember().state());
        assertTrue(discovery.quiet(), "the watch was opened again");
    }

    private String prettyList(ObjectMapper mapper, int generation, String lifecycle) throws Exception {
        return mapper.writerWithDefaultPrettyPrinter()
                .writeValueAsString(mapper.readTree(list(generation, false, "s-1", lifecycle)));
    }

    @Test
    void lowerGenerationIsIgnoredAndWatchResumesFromLastVersion() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk(list(43, false, "s-1", "terminating")));
        assertEquals(State.DRAINING, nextMember().state());
        watch.write(chunk(list(42, true, "s-1", "in_service")));
        assertTrue(watch.ended());
        Peer.Wire next = discovery.accept();
        assertTrue(next.read().contains("index=43 "));
        assertTrue(setup.moduleEvents.stream().noneMatch(t -> t.type().equals("members")));
    }

    /** What never ends is not gathered for ever. */
    @Test
    void oversizedListClosesWatch() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk("{\"generation\":42,\"instances\":["));
        String much = " ".repeat(1 << 20);
        try {
            for (int i = 0; i < 64; i++) {
                watch.write(chunk(much));
            }
        } catch (IOException e) {
            // the other side has closed: what is wanted
        }
        assertTrue(watch.ended());
        assertTrue(discovery.accept().read().contains("index=41 "));
    }

    /** Blank lines inside a list that was cut off are no beats. */
    @Test
    void truncatedListTimesOutDespiteHeartbeats() throws Exception {
        startWatch(new Discovery.Timeouts(60_000, 60_000, 200));
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk("\n" + list(42, false, "s-1", "terminating").substring(0, 60)));
        CountDownLatch finished = new CountDownLatch(1);
        Thread beats = new Thread(() -> {
            try {
                while (finished.getCount() > 0) {
                    watch.write(chunk("\n"));
                    Thread.onSpinWait();
                }
            } catch (IOException e) {
                // given up: what is wanted
            }
        });
        beats.start();
        assertTrue(discovery.accept().read().startsWith("GET /catalog/members?stream=1 "));
        finished.countDown();
        beats.join();
    }

    private Discovery startWatch(Discovery.Timeouts timeouts) throws Exception {
        discovery.accept(); // that of the proxy
        Discovery d = new Discovery(
                Platform.of(setup.loop), Discovery.source(Setup.config(discovery, backend)), setup.proxy, timeouts);
        setup.runOnLoop(() -> d.watch(true));
        return d;
    }

    /** The agent is silent while discovery is down, and answers whom it likes when it is back. */
    @Test
    void silentWatchIsReplacedButStillRead() throws Exception {
        startWatch(new Discovery.Timeouts(60_000, 20, 60_000));
        Peer.Wire silent = discovery.accept();
        silent.read();
        Peer.Wire second = discovery.accept();
        silent.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
        assertEquals(State.DRAINING, nextMember().state());
        second.read();
        assertTrue(second.ended());
        silent.write(chunk(list(43, false, "s-1", "in_service")));
        assertEquals(State.READY, nextMember().state());
    }

    @Test
    void firstWatchToSendAListStaysOpen() throws Exception {
        startWatch(new Discovery.Timeouts(60_000, 20, 60_000));
        Peer.Wire silent = discovery.accept();
        Peer.Wire second = discovery.accept();
        second.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
        while (!second.read().startsWith("GET ")) {
            second = discovery.accept(); // overtaken once more before it was heard
            second.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
        }
        assertEquals(State.DRAINING, nextMember().state());
        silent.read();
        assertTrue(silent.ended());
    }

    /** A new place may take its time to come up, and what is told meanwhile counts. */
    @Test
    void formerAddressIsReadUntilNewOneSendsAList() throws Exception {
        Discovery d = startWatch(Setup.TIMEOUTS);
        Peer.Wire former = discovery.accept();
        former.read();
        former.write(HEAD + chunk("\n"));
        try (Peer elsewhere = new Peer()) {
            setup.runOnLoop(() -> d.changeAddress(elsewhere.address()));
            Peer.Wire watch = elsewhere.accept();
            watch.read();
            former.write(chunk(list(42, false, "s-1", "terminating")));
            assertEquals(State.DRAINING, nextMember().state());
            watch.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
            assertEquals(State.DRAINING, nextMember().state());
            assertTrue(former.ended());
        }
    }

    /** Only a whole list shows that a watch works: not its head, half of a list, or a blank line. */
    @Test
    void watchWithoutCompleteListIsReplaced() throws Exception {
        startWatch(new Discovery.Timeouts(60_000, 20, 60_000));
        String list = list(42, false, "s-1", "terminating");
        for (String begun : List.of(
                "",
                HEAD,
                HEAD + chunk("\n\n"),
                HEAD + chunk(list.substring(0, 60)),
                HEAD + chunk(list.substring(0, 60)) + chunk("\n"))) {
            Peer.Wire watch = discovery.accept();
            watch.read();
            watch.write(begun);
        }
        Peer.Wire whole = discovery.accept();
        whole.write(HEAD + chunk(list));
        assertEquals(State.DRAINING, nextMember().state());
    }

    /** As many watches as a silent agent leaves open at most: no descriptors without end. */
    @Test
    void silentAgentHoldsBoundedNumberOfWatches() throws Exception {
        Discovery d = startWatch(new Discovery.Timeouts(60_000, 1, 60_000));
        List<Peer.Wire> silent = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            silent.add(discovery.accept());
        }
        setup.loop.schedule(() -> {}, 50, TimeUnit.MILLISECONDS).sync(); // many times over its patience
        assertTrue(discovery.quiet(), "more are open than any use");
        silent.get(0).write(HEAD + chunk(list(42, false, "s-1", "terminating")));
        assertEquals(State.DRAINING, nextMember().state());
        setup.runOnLoop(() -> d.watch(false));
    }

    /** A connection may never come up: the system goes on trying, and another is made meanwhile. */
    @Test
    void hangingConnectIsReplaced() throws Exception {
        discovery.accept(); // that of the proxy
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<SocketChannel> queued = new ArrayList<>();
            CountDownLatch more = new CountDownLatch(3);
            InetSocketAddress address = (InetSocketAddress) full.getLocalSocketAddress();
            for (int i = 0; i < 8; i++) { // more than its queue takes
                SocketChannel c = SocketChannel.open();
                c.configureBlocking(false);
                c.connect(address);
                queued.add(c);
            }
            Transport tcp = Transport.tcp(setup.loop);
            Discovery d = new Discovery(
                    platformWith(to -> {
                        more.countDown();
                        return tcp.to(to);
                    }),
                    Discovery.Source.pushed(address),
                    setup.proxy,
                    new Discovery.Timeouts(60_000, 20, 60_000));
            setup.runOnLoop(() -> d.watch(true));
            assertTrue(more.await(20, TimeUnit.SECONDS), "the first was waited for");
            setup.runOnLoop(() -> d.watch(false));
            for (SocketChannel c : queued) {
                c.close();
            }
        }
    }

    /** Idle clients may have taken every descriptor: the system gives none for a watch, and later does. */
    @Test
    void watchIsRetriedAfterDescriptorExhaustion() throws Exception {
        discovery.accept(); // that of the proxy
        Transport tcp = Transport.tcp(setup.loop);
        AtomicInteger without = new AtomicInteger(3);
        Discovery d = new Discovery(
                platformWith(to -> without.getAndDecrement() <= 0
                        ? tcp.to(to)
                        : new Bootstrap().group(setup.loop).remoteAddress(to).channelFactory(() -> {
                            throw new ChannelException("Too many open files");
                        })),
                Discovery.source(Setup.config(discovery, backend)),
                setup.proxy,
                Setup.TIMEOUTS);
        setup.runOnLoop(() -> d.watch(true));
        Peer.Wire watch = discovery.accept();
        watch.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
        assertEquals(State.DRAINING, nextMember().state());
    }

    private Platform platformWith(Function<InetSocketAddress, Bootstrap> to) {
        return new Platform(
                setup.loop,
                Clock.system(),
                new Transport() {
                    @Override
                    public Bootstrap to(InetSocketAddress address) {
                        return to.apply(address);
                    }

                    @Override
                    public ServerBootstrap at(InetSocketAddress address) {
                        throw new AssertionError("discovery listens nowhere");
                    }
                },
                Log.standardError());
    }

    /** A place that answers with lower versions has begun to count anew, if it goes on so. */
    @Test
    void restartedGenerationsAreAcceptedEventually() throws Exception {
        startWatch(new Discovery.Timeouts(60_000, 60_000, 400));
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk(list(43, false, "s-1", "in_service")));
        assertEquals(State.READY, nextMember().state());
        watch.close();
        answerUntilApplied(discovery, list(7, true, "s-1", "terminating"));
        assertEquals(ListKind.FULL, setup.nextEvent("kind", ListKind.class));
    }

    /** Changes after a version that it never had say nothing: it is asked for the whole list. */
    @Test
    void fullListIsRequestedAfterGenerationsRestart() throws Exception {
        startWatch(new Discovery.Timeouts(60_000, 60_000, 400));
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk(list(43, false, "s-1", "in_service")));
        assertEquals(State.READY, nextMember().state());
        watch.close();
        String asked = "";
        while (!asked.startsWith("GET /catalog/members?stream=1 ")) {
            watch = discovery.accept();
            asked = watch.read();
            if (asked.contains("&index=")) {
                watch.write(HEAD + chunk("{\"generation\":7,\"reset\":false,\"instances\":[]}\n"));
            }
        }
        assertTrue(setup.moduleEvents.stream().noneMatch(t -> t.type().equals("members")));
        watch.write(HEAD + chunk(list(7, true, "s-1", "terminating")));
        assertEquals(State.DRAINING, nextMember().state());
        assertEquals(ListKind.FULL, setup.nextEvent("kind", ListKind.class));
    }

    /** At a new place too; a list of the former place counts as long as the new one is behind. */
    @Test
    void restartedGenerationsAtNewAddressAreAcceptedEventually() throws Exception {
        Discovery d = startWatch(new Discovery.Timeouts(60_000, 60_000, 2000));
        Peer.Wire former = discovery.accept();
        former.read();
        former.write(HEAD + chunk(list(42, false, "s-1", "in_service")));
        assertEquals(State.READY, nextMember().state());
        try (Peer elsewhere = new Peer()) {
            setup.runOnLoop(() -> d.changeAddress(elsewhere.address()));
            Peer.Wire watch = elsewhere.accept();
            assertTrue(watch.read().contains("&index=42 "));
            former.write(chunk(list(43, false, "s-1", "terminating")));
            assertEquals(State.DRAINING, nextMember().state());
            watch.write(HEAD + chunk(list(7, true, "s-1", "in_service")));
            answerUntilApplied(elsewhere, list(8, true, "s-1", "terminating"));
            assertTrue(former.ended());
        }
    }

    /** Answers each watch that is opened there with that, until it is taken. */
    private void answerUntilApplied(Peer place, String list) throws Exception {
        AtomicBoolean taken = new AtomicBoolean();
        Thread answers = new Thread(() -> {
            while (!taken.get()) {
                try {
                    Peer.Wire w = place.accept();
                    w.read();
                    w.write(HEAD + chunk(list));
                } catch (IOException | InterruptedException | AssertionError e) {
                    // that watch has been closed, or none comes any more
                }
            }
        });
        answers.setDaemon(true);
        answers.start();
        try {
            assertEquals(State.DRAINING, nextMember().state());
        } finally {
            taken.set(true);
        }
    }

    /** The former place's words are none of the new one's, and whichever watch speaks there counts. */
    @Test
    void silentNewAddressIsRetriedWhileFormerOneSendsHeartbeats() throws Exception {
        Discovery d = startWatch(new Discovery.Timeouts(60_000, 20, 60_000));
        Peer.Wire former = discovery.accept();
        former.read();
        former.write(HEAD + chunk(list(42, false, "s-1", "in_service")));
        assertEquals(State.READY, nextMember().state());
        try (Peer elsewhere = new Peer()) {
            setup.runOnLoop(() -> d.changeAddress(elsewhere.address()));
            Peer.Wire silent = elsewhere.accept();
            for (int i = 0; i < 3; i++) {
                former.write(chunk("\n"));
                elsewhere.accept();
            }
            former.write(chunk(list(43, false, "s-1", "terminating")));
            assertEquals(State.DRAINING, nextMember().state());
            silent.write(HEAD + chunk(list(44, false, "s-1", "in_service")));
            assertEquals(State.READY, nextMember().state());
            assertTrue(former.ended());
        }
    }

    /** Two new configurations before either place speaks, the second of them down for a while. */
    @Test
    void allAddressesAreReadUntilTheLastOneSendsAList() throws Exception {
        Discovery d = startWatch(Setup.TIMEOUTS);
        Peer.Wire first = discovery.accept();
        first.read();
        first.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
        assertEquals(State.DRAINING, nextMember().state());
        InetSocketAddress down;
        try (Peer third = new Peer()) {
            down = third.address();
        }
        try (Peer second = new Peer()) {
            setup.runOnLoop(() -> d.changeAddress(second.address()));
            Peer.Wire between = second.accept();
            setup.runOnLoop(() -> d.changeAddress(down));
            between.write(HEAD + chunk(list(43, false, "s-1", "in_service")));
            assertEquals(State.READY, nextMember().state());
            first.write(chunk(list(44, false, "s-1", "terminating")));
            assertEquals(State.DRAINING, nextMember().state());
            try (Peer up = new Peer(down.getPort())) {
                up.accept().write(HEAD + chunk(list(45, true, "s-1", "in_service")));
                assertEquals(State.READY, nextMember().state());
                assertTrue(first.ended());
                between.read();
                assertTrue(between.ended());
            }
        }
    }

    private Discovery startOnRequest(Discovery.Timeouts timeouts) throws Exception {
        discovery.accept(); // that of the proxy
        Discovery d = new Discovery(
                Platform.of(setup.loop),
                new Discovery.Source(
                        discovery.address(), true, MissingNode.getInstance(), List.of("m1", "m2"), List.of("a", "b")),
                setup.proxy,
                timeouts);
        setup.runOnLoop(() -> d.watch(true));
        return d;
    }

    private void awaitWatchFailed() throws Exception {
        ListKind kind = setup.nextEvent("kind", ListKind.class);
        while (kind != ListKind.FAILED) {
            kind = setup.nextEvent("kind", ListKind.class);
        }
    }

    /** The module says when a call is made again, so it has to hear of each that fails, however it does. */
    @Test
    void callWithoutCompleteListFails() throws Exception {
        Discovery d = startOnRequest(new Discovery.Timeouts(60_000, 50, 60_000));
        String list = list(42, false, "s-1", "terminating");
        for (String begun : List.of(
                "",
                HEAD,
                HEAD + chunk("\n"),
                HEAD + chunk(list.substring(0, 60)),
                "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")) {
            Peer.Wire call = discovery.accept();
            call.read();
            call.write(begun);
            awaitWatchFailed();
            assertTrue(call.ended());
            assertTrue(discovery.quiet(), "it was made again unasked");
            setup.runOnLoop(() -> d.watch(true));
        }
        discovery.accept().write(HEAD + chunk(list));
        assertEquals(State.DRAINING, nextMember().state());
    }

    /** Calls at a new place fail in turn, and the former one still tells. */
    @Test
    void formerAddressIsReadWhileCallsAtNewOneFail() throws Exception {
        Discovery d = startOnRequest(Setup.TIMEOUTS);
        Peer.Wire former = discovery.accept();
        former.read();
        former.write(HEAD + chunk(list(42, false, "s-1", "in_service")));
        assertEquals(State.READY, nextMember().state());
        try (Peer elsewhere = new Peer()) {
            setup.runOnLoop(() -> d.changeAddress(elsewhere.address()));
            for (int i = 0; i < 3; i++) {
                elsewhere.accept().reset();
                awaitWatchFailed();
                setup.runOnLoop(() -> d.watch(true));
            }
            former.write(chunk(list(43, false, "s-1", "terminating")));
            assertEquals(State.DRAINING, nextMember().state());
            elsewhere.accept().write(HEAD + chunk(list(44, false, "s-1", "in_service")));
            assertEquals(State.READY, nextMember().state());
            assertTrue(former.ended());
        }
    }

    /**
     * What the agent has counts as told from the first moment of a process, so nobody is sent to by the list
     * of the start until it has spoken. Changes then count from that list.
     */
    @Test
    void knownListIsNotUsedBeforeDiscoveryAnswers() throws Exception {
        setup.close();
        discovery.accept();
        setup = new Setup().startWithoutList(Setup.config(discovery, backend), Setup.TIMEOUTS);
        Peer.Wire watch = discovery.accept();
        assertTrue(watch.read().contains("index=41 "));
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest());
            Setup.ModuleEvent first = setup.moduleEvents.poll(20, TimeUnit.SECONDS);
            assertEquals("request", first.type());
            setup.runOnLoop(() -> setup.actions.send(((Request) first.event()).ticket(), knownServer, 0));
            assertEquals(Status.MOOT, setup.nextOutcome().status());
            watch.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
            assertEquals(ListKind.CACHED, setup.nextEvent("kind", ListKind.class));
            assertEquals(State.DRAINING, nextMember().state());
            assertTrue(backend.quiet());
        }
    }

    @Test
    void silentWatchIsClosedAndReopened() throws Exception {
        Config config = Setup.config(discovery, backend);
        discovery.accept().read(); // that of the proxy
        Discovery client = new Discovery(
                Platform.of(setup.loop),
                Discovery.source(config),
                setup.proxy,
                new Discovery.Timeouts(60_000, 60_000, 200));
        setup.loop.submit(() -> client.watch(true)).get(20, TimeUnit.SECONDS);
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD);
        assertTrue(watch.ended());
        discovery.accept().read();
    }

    /** Requests that came first must not go to a backend whose drain was told while the proxy stood still. */
    @Test
    void listIsDeliveredBeforeRequestsAfterStandstill() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        try (Peer.Wire client = setup.client()) {
            client.write("GET /_health HTTP/1.1\r\n\r\n");
            client.read(); // the connection is taken
            CountDownLatch release = new CountDownLatch(1);
            CountDownLatch stopped = new CountDownLatch(1);
            setup.loop.execute(() -> {
                stopped.countDown();
                awaitQuietly(release);
            });
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
            client.write(Setup.getRequest());
            watch.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
            // Both lie in the proxy's buffers once they are written, loopback keeps nothing back.
            release.countDown();
            List<String> eventTypes = new ArrayList<>();
            while (!eventTypes.contains("request") || !eventTypes.contains("members")) {
                Setup.ModuleEvent t = setup.moduleEvents.poll(20, TimeUnit.SECONDS);
                assertNotNull(t, "heard only " + eventTypes);
                eventTypes.add(t.type());
            }
            assertTrue(eventTypes.indexOf("members") < eventTypes.indexOf("request"), eventTypes.toString());
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await(20, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void notReadyUntilListIsReceived() throws Exception {
        setup.close();
        discovery.accept();
        setup = new Setup().startWithoutList(Setup.config(discovery, backend), Setup.TIMEOUTS);
        Peer.Wire watch = discovery.accept();
        watch.read();
        try (Peer.Wire client = setup.client()) {
            client.write("GET /_health HTTP/1.1\r\n\r\n");
            assertTrue(client.read().startsWith("HTTP/1.1 503 "));
            watch.write(HEAD + chunk(list(42, true, "s-1", "in_service")));
            setup.nextEvent("kind", ListKind.class);
            client.write("GET /_health HTTP/1.1\r\n\r\n");
            assertTrue(client.read().startsWith("HTTP/1.1 200 "));
        }
    }

    @Test
    void nothingIsSentToATerminatedBackend() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk(list(42, false, "s-1", "terminated")));
        assertEquals(State.GONE, nextMember().state());
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest());
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), knownServer, 0));
            assertEquals(Status.MOOT, setup.nextOutcome().status());
            assertTrue(backend.quiet());
        }
    }

    @Test
    void numbersOfTerminatedBackendsAreReleased() throws Exception {
        Config config = Setup.config(discovery, backend);
        Discovery d = new Discovery(Platform.of(setup.loop), Discovery.source(config), setup.proxy, Setup.TIMEOUTS);
        setup.runOnLoop(() -> d.watch(true));
        discovery.accept(); // that of the proxy
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD);
        for (int i = 0; i < 3; i++) {
            watch.write(chunk(list(50 + i, false, "s-" + i, "in_service")));
            nextMember();
        }
        assertEquals(3, setup.loop.submit(d::backendCount).get(20, TimeUnit.SECONDS));
        for (int i = 0; i < 3; i++) {
            watch.write(chunk(list(60 + i, false, "s-" + i, "terminated")));
            nextMember();
        }
        assertEquals(0, setup.loop.submit(d::backendCount).get(20, TimeUnit.SECONDS));
    }

    @Test
    void drainAppliesToAnAttemptThatIsStillConnecting() throws Exception {
        setup.close();
        JsonNode root = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
        ((ObjectNode) root.at("/settings/rules")).put("drain_grace_ns", 1); // over before any connect
        setup = new Setup().start(Config.parse(root, Map.of()));
        Member drains = new Member(setup.listedServer(), 0, State.DRAINING, 0, 3, 0, 1);
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest());
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> {
                setup.actions.send(r.ticket(), drains.id(), 0);
                setup.proxy.onUpdate(
                        new ListUpdate(ListKind.DELTA, 42, List.of(new ListedBackend(drains, backend.address()))));
            });
            assertEquals(Status.MOOT, setup.nextOutcome().status());
            assertEquals("", backend.accept().read());
        }
    }

    @Test
    void configurationErrorIsOneLine() throws Exception {
        for (String bad :
                List.of("/limits/sockets", "/settings/profiles", "/listen", "/settings/limits/keepalive_ns")) {
            JsonNode root = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 100);
            int slash = bad.lastIndexOf('/');
            ((ObjectNode) root.at(bad.substring(0, slash))).remove(bad.substring(slash + 1));
            String message = assertThrows(ConfigException.class, () -> Config.parse(root, Map.of()))
                    .getMessage();
            assertEquals(1, message.lines().count(), message);
        }
    }
}
