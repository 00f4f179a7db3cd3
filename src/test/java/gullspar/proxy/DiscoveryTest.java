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
import gullspar.decide.Balancer.ListedServer;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The discovery client: lists, watches, their timeouts and restarts. */
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

    private ListedServer nextMember() throws Exception {
        return (ListedServer) setup.nextEvent("members", List.class).get(0);
    }

    @Test
    void listAppliesOnceCompleteAndWatchResumesFromVersion() throws Exception {
        Peer.Wire watch = discovery.accept();
        assertTrue(watch.read().startsWith("GET /catalog/members?stream=1&index=41 "));
        String line = list(42, false, "s-1", "terminating");
        watch.write(HEAD + chunk("\n" + line.substring(0, 30)) + chunk(line.substring(30)));
        ListedServer m = nextMember();
        assertEquals(new ListedServer(knownServer, 1, State.DRAINING, m.startedAtNs(), 3, 1, 0.5), m);
        assertTrue(
                m.startedAtNs() > 1_700_000_000_000_000_000L, "the most recent start in a list has a minimum age of 0");
        assertEquals(ListKind.DELTA, setup.nextEvent("kind", ListKind.class));
        String cut = list(43, false, "s-1", "in_service").trim();
        watch.write(chunk(cut.substring(0, cut.length() - 1))).close(); // incomplete, so it must not apply
        Peer.Wire second = discovery.accept();
        assertTrue(second.read().startsWith("GET /catalog/members?stream=1&index=42 "));
        second.write(HEAD + chunk(list(44, true, "s-2", "in_service")));
        assertNotEquals(knownServer, nextMember().id());
        assertEquals(ListKind.FULL, setup.nextEvent("kind", ListKind.class));
    }

    /** A list ends by itself: what the head says, and how the connection ends, do not matter. */
    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 OK\r\n\r\n', false",
        "'HTTP/1.0 200 OK\r\n\r\n', false",
        "'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n', true",
    })
    void listWithoutLengthAppliesOnceComplete(String head, boolean isReset) throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        String cut = list(43, false, "s-1", "in_service").trim();
        watch.write(head + list(42, false, "s-1", "terminating"));
        assertEquals(State.DRAINING, nextMember().state());
        watch.write(cut.substring(0, cut.length() - 1));
        if (isReset) {
            watch.reset();
        } else {
            watch.close();
        }
        Peer.Wire second = discovery.accept();
        assertTrue(second.read().contains("index=42 "));
        assertTrue(setup.moduleEvents.stream().noneMatch(event -> event.type().equals("members")));
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

    /** Lists may be indented and split anywhere: line and chunk boundaries have no meaning. */
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
        // Two lists in one read, without a separator.
        watch.write(chunk(prettyList(mapper, 900, "terminating") + prettyList(mapper, 901, "in_service")));
        assertEquals(State.DRAINING, nextMember().state());
        assertEquals(State.READY, nextMember().state());
        assertTrue(discovery.hasNoNewConnection(), "the watch was opened again");
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

    /** Guards against buffering an endless list without limit. */
    @Test
    void oversizedListClosesWatch() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk("{\"generation\":42,\"instances\":["));
        String padding = " ".repeat(1 << 20);
        try {
            for (int i = 0; i < 64; i++) {
                watch.write(chunk(padding));
            }
        } catch (IOException e) {
            // expected: the client has closed the watch
        }
        assertTrue(watch.ended());
        assertTrue(discovery.accept().read().contains("index=41 "));
    }

    /** Blank lines inside an incomplete list must not count as heartbeats. */
    @Test
    void truncatedListTimesOutDespiteHeartbeats() throws Exception {
        startWatch(new Discovery.Timeouts(60_000, 60_000, 200));
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk("\n" + list(42, false, "s-1", "terminating").substring(0, 60)));
        CountDownLatch finished = new CountDownLatch(1);
        Thread heartbeats = new Thread(() -> {
            try {
                while (finished.getCount() > 0) {
                    watch.write(chunk("\n"));
                    Thread.onSpinWait();
                }
            } catch (IOException e) {
                // expected: the client has closed the watch
            }
        });
        heartbeats.start();
        assertTrue(discovery.accept().read().startsWith("GET /catalog/members?stream=1 "));
        finished.countDown();
        heartbeats.join();
    }

    private Discovery startWatch(Discovery.Timeouts timeouts) throws Exception {
        discovery.accept(); // the proxy's own watch
        Discovery d = new Discovery(
                Platform.of(setup.loop), Discovery.source(Setup.config(discovery, backend)), setup.proxy, timeouts);
        setup.runOnLoop(() -> d.watch(true));
        return d;
    }

    /** The agent is silent while discovery is down, and may answer any of the open watches once it is back. */
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
            second = discovery.accept(); // replaced once more before its list was read
            second.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
        }
        assertEquals(State.DRAINING, nextMember().state());
        silent.read();
        assertTrue(silent.ended());
    }

    /** A new address may take time to start up; lists from the former one apply until then. */
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

    /** Only a complete list shows that a watch works, not a response head, half a list or a blank line. */
    @Test
    void watchWithoutCompleteListIsReplaced() throws Exception {
        startWatch(new Discovery.Timeouts(60_000, 20, 60_000));
        String list = list(42, false, "s-1", "terminating");
        for (String incomplete : List.of(
                "",
                HEAD,
                HEAD + chunk("\n\n"),
                HEAD + chunk(list.substring(0, 60)),
                HEAD + chunk(list.substring(0, 60)) + chunk("\n"))) {
            Peer.Wire watch = discovery.accept();
            watch.read();
            watch.write(incomplete);
        }
        Peer.Wire whole = discovery.accept();
        whole.write(HEAD + chunk(list));
        assertEquals(State.DRAINING, nextMember().state());
    }

    /** Guards against a silent agent using up descriptors: the number of open watches is limited. */
    @Test
    void silentAgentHoldsBoundedNumberOfWatches() throws Exception {
        Discovery d = startWatch(new Discovery.Timeouts(60_000, 1, 60_000));
        List<Peer.Wire> silent = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            silent.add(discovery.accept());
        }
        setup.loop.schedule(() -> {}, 50, TimeUnit.MILLISECONDS).sync(); // many times the first list's timeout
        assertTrue(discovery.hasNoNewConnection(), "more watches were opened than the limit");
        silent.get(0).write(HEAD + chunk(list(42, false, "s-1", "terminating")));
        assertEquals(State.DRAINING, nextMember().state());
        setup.runOnLoop(() -> d.watch(false));
    }

    /** A connect can hang while the system retries it; further connections are opened meanwhile. */
    @Test
    void hangingConnectIsReplaced() throws Exception {
        discovery.accept(); // the proxy's own watch
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<SocketChannel> queued = new ArrayList<>();
            CountDownLatch furtherConnects = new CountDownLatch(3);
            InetSocketAddress address = (InetSocketAddress) full.getLocalSocketAddress();
            for (int i = 0; i < 8; i++) { // more than the accept queue holds
                SocketChannel c = SocketChannel.open();
                c.configureBlocking(false);
                c.connect(address);
                queued.add(c);
            }
            Transport tcp = Transport.tcp(setup.loop);
            Discovery d = new Discovery(
                    platformWith(to -> {
                        furtherConnects.countDown();
                        return tcp.clientBootstrap(to);
                    }),
                    Discovery.Source.pushed(address),
                    setup.proxy,
                    new Discovery.Timeouts(60_000, 20, 60_000));
            setup.runOnLoop(() -> d.watch(true));
            assertTrue(
                    furtherConnects.await(20, TimeUnit.SECONDS),
                    "no further connection was opened while the first one hung");
            setup.runOnLoop(() -> d.watch(false));
            for (SocketChannel c : queued) {
                c.close();
            }
        }
    }

    /** Idle clients may use up all descriptors, so that a watch cannot be opened until some are free again. */
    @Test
    void watchIsRetriedAfterDescriptorExhaustion() throws Exception {
        discovery.accept(); // the proxy's own watch
        Transport tcp = Transport.tcp(setup.loop);
        AtomicInteger remainingFailures = new AtomicInteger(3);
        Discovery d = new Discovery(
                platformWith(to -> remainingFailures.getAndDecrement() <= 0
                        ? tcp.clientBootstrap(to)
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

    private Platform platformWith(Function<InetSocketAddress, Bootstrap> bootstrapFor) {
        return new Platform(
                setup.loop,
                Clock.system(),
                new Transport() {
                    @Override
                    public Bootstrap clientBootstrap(InetSocketAddress address) {
                        return bootstrapFor.apply(address);
                    }

                    @Override
                    public ServerBootstrap serverBootstrap(InetSocketAddress address) {
                        throw new AssertionError("the discovery client must not listen");
                    }
                },
                Log.standardError());
    }

    /** An address that keeps sending lower versions has restarted its versions. */
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

    /** Deltas to a version that the server never had are meaningless, so the full list is requested. */
    @Test
    void fullListIsRequestedAfterGenerationsRestart() throws Exception {
        startWatch(new Discovery.Timeouts(60_000, 60_000, 400));
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk(list(43, false, "s-1", "in_service")));
        assertEquals(State.READY, nextMember().state());
        watch.close();
        String request = "";
        while (!request.startsWith("GET /catalog/members?stream=1 ")) {
            watch = discovery.accept();
            request = watch.read();
            if (request.contains("&index=")) {
                watch.write(HEAD + chunk("{\"generation\":7,\"reset\":false,\"instances\":[]}\n"));
            }
        }
        assertTrue(setup.moduleEvents.stream().noneMatch(t -> t.type().equals("members")));
        watch.write(HEAD + chunk(list(7, true, "s-1", "terminating")));
        assertEquals(State.DRAINING, nextMember().state());
        assertEquals(ListKind.FULL, setup.nextEvent("kind", ListKind.class));
    }

    /** As above at a new address; lists of the former one apply while the new one sends lower versions. */
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

    /** Answers each watch opened at this server with the list, until it is applied. */
    private void answerUntilApplied(Peer server, String list) throws Exception {
        AtomicBoolean isApplied = new AtomicBoolean();
        Thread responder = new Thread(() -> {
            while (!isApplied.get()) {
                try {
                    Peer.Wire w = server.accept();
                    w.read();
                    w.write(HEAD + chunk(list));
                } catch (IOException | InterruptedException | AssertionError e) {
                    // the watch was closed, or no more are opened
                }
            }
        });
        responder.setDaemon(true);
        responder.start();
        try {
            assertEquals(State.DRAINING, nextMember().state());
        } finally {
            isApplied.set(true);
        }
    }

    /** Heartbeats of the former address are no evidence about the new one; any watch there may deliver the list. */
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

    /** Two reloads before either new address sends a list, with the second one down for a while. */
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
        discovery.accept(); // the proxy's own watch
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

    /** The module schedules the next call, so every kind of failure has to be reported to it. */
    @Test
    void callWithoutCompleteListFails() throws Exception {
        Discovery d = startOnRequest(new Discovery.Timeouts(60_000, 50, 60_000));
        String list = list(42, false, "s-1", "terminating");
        for (String incomplete : List.of(
                "",
                HEAD,
                HEAD + chunk("\n"),
                HEAD + chunk(list.substring(0, 60)),
                "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")) {
            Peer.Wire call = discovery.accept();
            call.read();
            call.write(incomplete);
            awaitWatchFailed();
            assertTrue(call.ended());
            assertTrue(discovery.hasNoNewConnection(), "the call was repeated without a request of the module");
            setup.runOnLoop(() -> d.watch(true));
        }
        discovery.accept().write(HEAD + chunk(list));
        assertEquals(State.DRAINING, nextMember().state());
    }

    /** Calls at a new address fail while the former one still sends lists. */
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
     * Changes that the agent has must be followed from the start of a process, so no request is sent by the known
     * list before the agent has answered. Deltas are then relative to the known list.
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
            assertTrue(backend.hasNoNewConnection());
        }
    }

    @Test
    void silentWatchIsClosedAndReopened() throws Exception {
        Config config = Setup.config(discovery, backend);
        discovery.accept().read(); // the proxy's own watch
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

    /** Requests that waited during a standstill must not go to a backend whose drain was announced in that time. */
    @Test
    void listIsDeliveredBeforeRequestsAfterStandstill() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        try (Peer.Wire client = setup.client()) {
            client.write("GET /_health HTTP/1.1\r\n\r\n");
            client.read(); // the connection is accepted
            CountDownLatch release = new CountDownLatch(1);
            CountDownLatch stopped = new CountDownLatch(1);
            setup.loop.execute(() -> {
                stopped.countDown();
                awaitQuietly(release);
            });
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
            client.write(Setup.getRequest());
            watch.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
            // Over loopback both are in the proxy's receive buffers once they are written.
            release.countDown();
            List<String> eventTypes = new ArrayList<>();
            while (!eventTypes.contains("request") || !eventTypes.contains("members")) {
                Setup.ModuleEvent t = setup.moduleEvents.poll(20, TimeUnit.SECONDS);
                assertNotNull(t, "received only " + eventTypes);
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
            assertTrue(backend.hasNoNewConnection());
        }
    }

    @Test
    void numbersOfTerminatedBackendsAreReleased() throws Exception {
        Config config = Setup.config(discovery, backend);
        Discovery d = new Discovery(Platform.of(setup.loop), Discovery.source(config), setup.proxy, Setup.TIMEOUTS);
        setup.runOnLoop(() -> d.watch(true));
        discovery.accept(); // the proxy's own watch
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
        ((ObjectNode) root.at("/settings/rules")).put("drain_grace_ns", 1); // ends before any connection is established
        setup = new Setup().start(Config.parse(root, Map.of()));
        ListedServer drains = new ListedServer(setup.listedServer(), 0, State.DRAINING, 0, 3, 0, 1);
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
