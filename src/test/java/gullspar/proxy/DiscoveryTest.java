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

/** What discovery says, and what the proxy makes of it. */
class DiscoveryTest extends LoopbackTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private int known;

    @BeforeEach
    void hearTheKnownList() throws Exception {
        known = server;
        assertEquals(ListKind.CACHED, setup.next("kind", ListKind.class));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private String list(int generation, boolean whole, String id, String lifecycle) {
        return """
                {"generation":%d,"reset":%b,"instances":[{"instanceId":"%s","hostPort":"%s","zone":"b",\
                "machineType":"m2","cell":3,"lifecycle":"%s","weight":0.5,"startedAtMs":1700000000000}]}
                """
                .formatted(generation, whole, id, backend.hostPort(), lifecycle);
    }

    private ListedServer member() throws Exception {
        return (ListedServer) setup.next("members", List.class).get(0);
    }

    @Test
    void aListCountsOnceItsEndHasComeAndTheWatchResumesByVersion() throws Exception {
        Peer.Wire watch = discovery.accept();
        assertTrue(watch.read().startsWith("GET /catalog/members?stream=1&index=41 "));
        String line = list(42, false, "s-1", "terminating");
        watch.write(HEAD + chunk("\n" + line.substring(0, 30)) + chunk(line.substring(30)));
        ListedServer m = member();
        assertEquals(new ListedServer(known, 1, State.DRAINING, m.startedAtNs(), 3, 1, 0.5), m);
        assertTrue(m.startedAtNs() > 1_700_000_000_000_000_000L, "its least age is none: the latest start of all");
        assertEquals(ListKind.DELTA, setup.next("kind", ListKind.class));
        String cut = list(43, false, "s-1", "in_service").trim();
        watch.write(chunk(cut.substring(0, cut.length() - 1))).close(); // no end: no news
        Peer.Wire second = discovery.accept();
        assertTrue(second.read().startsWith("GET /catalog/members?stream=1&index=42 "));
        second.write(HEAD + chunk(list(44, true, "s-2", "in_service")));
        assertNotEquals(known, member().id());
        assertEquals(ListKind.FULL, setup.next("kind", ListKind.class));
    }

    @Test
    void aLineThatIsNotUnderstoodChangesNothingAndTheWatchIsOpenedAgain() throws Exception {
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
        assertTrue(setup.told.stream().noneMatch(t -> t.what().equals("members")));
    }

    /** Lists may come indented, cut anywhere: neither lines nor chunks mean anything. */
    @Test
    void anIndentedListIsHeardWhereverItIsCut() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD);
        ObjectMapper mapper = new ObjectMapper();
        int length = pretty(mapper, 100, "terminating").length();
        for (int cut = 1; cut < length; cut++) {
            String both = pretty(mapper, 100 + cut, cut % 2 == 0 ? "terminating" : "in_service");
            watch.write(chunk("\r\n\n" + both.substring(0, cut))).write(chunk(both.substring(cut)));
            assertEquals(cut % 2 == 0 ? State.DRAINING : State.READY, member().state());
        }
        // Two in one read, with nothing between them.
        watch.write(chunk(pretty(mapper, 900, "terminating") + pretty(mapper, 901, "in_service")));
        assertEquals(State.DRAINING, member().state());
        assertEquals(State.READY, member().state());
        assertTrue(discovery.quiet(), "the watch was opened again");
    }

    private String pretty(ObjectMapper mapper, int generation, String lifecycle) throws Exception {
        return mapper.writerWithDefaultPrettyPrinter()
                .writeValueAsString(mapper.readTree(list(generation, false, "s-1", lifecycle)));
    }

    @Test
    void aListOfALowerGenerationChangesNothingAndTheWatchGoesOnFromTheLast() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk(list(43, false, "s-1", "terminating")));
        assertEquals(State.DRAINING, member().state());
        watch.write(chunk(list(42, true, "s-1", "in_service")));
        assertTrue(watch.ended());
        Peer.Wire next = discovery.accept();
        assertTrue(next.read().contains("index=43 "));
        assertTrue(setup.told.stream().noneMatch(t -> t.what().equals("members")));
    }

    /** What never ends is not gathered for ever. */
    @Test
    void aListWithoutEndIsLetGo() throws Exception {
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
    void aListThatIsCutOffIsNotWaitedForForEver() throws Exception {
        another(new Discovery.Patience(60_000, 60_000, 200));
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk("\n" + list(42, false, "s-1", "terminating").substring(0, 60)));
        CountDownLatch over = new CountDownLatch(1);
        Thread beats = new Thread(() -> {
            try {
                while (over.getCount() > 0) {
                    watch.write(chunk("\n"));
                    Thread.onSpinWait();
                }
            } catch (IOException e) {
                // given up: what is wanted
            }
        });
        beats.start();
        assertTrue(discovery.accept().read().startsWith("GET /catalog/members?stream=1 "));
        over.countDown();
        beats.join();
    }

    private Discovery another(Discovery.Patience patience) throws Exception {
        discovery.accept(); // that of the proxy
        Discovery d = new Discovery(
                Platform.of(setup.loop), Discovery.source(Setup.config(discovery, backend)), setup.proxy, patience);
        setup.act(() -> d.watch(true));
        return d;
    }

    /** The agent is silent while discovery is down, and answers whom it likes when it is back. */
    @Test
    void aWatchThatIsAcceptedAndSaysNothingIsOvertakenAndStillHeard() throws Exception {
        another(new Discovery.Patience(60_000, 20, 60_000));
        Peer.Wire mute = discovery.accept();
        mute.read();
        Peer.Wire second = discovery.accept();
        mute.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
        assertEquals(State.DRAINING, member().state());
        second.read();
        assertTrue(second.ended());
        mute.write(chunk(list(43, false, "s-1", "in_service")));
        assertEquals(State.READY, member().state());
    }

    @Test
    void ofTwoWatchesTheOneThatSpeaksStays() throws Exception {
        another(new Discovery.Patience(60_000, 20, 60_000));
        Peer.Wire mute = discovery.accept();
        Peer.Wire second = discovery.accept();
        second.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
        while (!second.read().startsWith("GET ")) {
            second = discovery.accept(); // overtaken once more before it was heard
            second.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
        }
        assertEquals(State.DRAINING, member().state());
        mute.read();
        assertTrue(mute.ended());
    }

    /** A new place may take its time to come up, and what is told meanwhile counts. */
    @Test
    void whileTheNewPlaceSaysNothingTheFormerOneIsHeard() throws Exception {
        Discovery d = another(Setup.PATIENCE);
        Peer.Wire former = discovery.accept();
        former.read();
        former.write(HEAD + chunk("\n"));
        try (Peer elsewhere = new Peer()) {
            setup.act(() -> d.move(elsewhere.address()));
            Peer.Wire watch = elsewhere.accept();
            watch.read();
            former.write(chunk(list(42, false, "s-1", "terminating")));
            assertEquals(State.DRAINING, member().state());
            watch.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
            assertEquals(State.DRAINING, member().state());
            assertTrue(former.ended());
        }
    }

    /** Only a whole list shows that a watch works: not its head, half of a list, or a blank line. */
    @Test
    void aWatchThatBeginsAndTellsNoListIsNotWaitedFor() throws Exception {
        another(new Discovery.Patience(60_000, 20, 60_000));
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
        assertEquals(State.DRAINING, member().state());
    }

    /** As many watches as a silent agent leaves open at most: no descriptors without end. */
    @Test
    void anAgentThatSaysNothingHoldsFewWatches() throws Exception {
        Discovery d = another(new Discovery.Patience(60_000, 1, 60_000));
        List<Peer.Wire> mute = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            mute.add(discovery.accept());
        }
        setup.loop.schedule(() -> {}, 50, TimeUnit.MILLISECONDS).sync(); // many times over its patience
        assertTrue(discovery.quiet(), "more are open than any use");
        mute.get(0).write(HEAD + chunk(list(42, false, "s-1", "terminating")));
        assertEquals(State.DRAINING, member().state());
        setup.act(() -> d.watch(false));
    }

    /** A connection may never come up: the system goes on trying, and another is made meanwhile. */
    @Test
    void aConnectThatNeverComesUpIsNotWaitedFor() throws Exception {
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
                    on(to -> {
                        more.countDown();
                        return tcp.to(to);
                    }),
                    Discovery.Source.pushed(address),
                    setup.proxy,
                    new Discovery.Patience(60_000, 20, 60_000));
            setup.act(() -> d.watch(true));
            assertTrue(more.await(20, TimeUnit.SECONDS), "the first was waited for");
            setup.act(() -> d.watch(false));
            for (SocketChannel c : queued) {
                c.close();
            }
        }
    }

    /** Idle clients may have taken every descriptor: the system gives none for a watch, and later does. */
    @Test
    void aWatchThatGotNoDescriptorIsOpenedLater() throws Exception {
        discovery.accept(); // that of the proxy
        Transport tcp = Transport.tcp(setup.loop);
        AtomicInteger without = new AtomicInteger(3);
        Discovery d = new Discovery(
                on(to -> without.getAndDecrement() <= 0
                        ? tcp.to(to)
                        : new Bootstrap().group(setup.loop).remoteAddress(to).channelFactory(() -> {
                            throw new ChannelException("Too many open files");
                        })),
                Discovery.source(Setup.config(discovery, backend)),
                setup.proxy,
                Setup.PATIENCE);
        setup.act(() -> d.watch(true));
        Peer.Wire watch = discovery.accept();
        watch.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
        assertEquals(State.DRAINING, member().state());
    }

    private Platform on(Function<InetSocketAddress, Bootstrap> to) {
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
    void aPlaceThatCountsAnewIsBelievedInTheEnd() throws Exception {
        another(new Discovery.Patience(60_000, 60_000, 400));
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk(list(43, false, "s-1", "in_service")));
        assertEquals(State.READY, member().state());
        watch.close();
        answerUntilTold(discovery, list(7, true, "s-1", "terminating"));
        assertEquals(ListKind.FULL, setup.next("kind", ListKind.class));
    }

    /** Changes after a version that it never had say nothing: it is asked for the whole list. */
    @Test
    void aPlaceThatCountsAnewIsAskedForTheWholeList() throws Exception {
        another(new Discovery.Patience(60_000, 60_000, 400));
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk(list(43, false, "s-1", "in_service")));
        assertEquals(State.READY, member().state());
        watch.close();
        String asked = "";
        while (!asked.startsWith("GET /catalog/members?stream=1 ")) {
            watch = discovery.accept();
            asked = watch.read();
            if (asked.contains("&index=")) {
                watch.write(HEAD + chunk("{\"generation\":7,\"reset\":false,\"instances\":[]}\n"));
            }
        }
        assertTrue(setup.told.stream().noneMatch(t -> t.what().equals("members")));
        watch.write(HEAD + chunk(list(7, true, "s-1", "terminating")));
        assertEquals(State.DRAINING, member().state());
        assertEquals(ListKind.FULL, setup.next("kind", ListKind.class));
    }

    /** At a new place too; a list of the former place counts as long as the new one is behind. */
    @Test
    void aNewPlaceThatCountsAnewIsBelievedInTheEnd() throws Exception {
        Discovery d = another(new Discovery.Patience(60_000, 60_000, 2000));
        Peer.Wire former = discovery.accept();
        former.read();
        former.write(HEAD + chunk(list(42, false, "s-1", "in_service")));
        assertEquals(State.READY, member().state());
        try (Peer elsewhere = new Peer()) {
            setup.act(() -> d.move(elsewhere.address()));
            Peer.Wire watch = elsewhere.accept();
            assertTrue(watch.read().contains("&index=42 "));
            former.write(chunk(list(43, false, "s-1", "terminating")));
            assertEquals(State.DRAINING, member().state());
            watch.write(HEAD + chunk(list(7, true, "s-1", "in_service")));
            answerUntilTold(elsewhere, list(8, true, "s-1", "terminating"));
            assertTrue(former.ended());
        }
    }

    /** Answers each watch that is opened there with that, until it is taken. */
    private void answerUntilTold(Peer place, String list) throws Exception {
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
            assertEquals(State.DRAINING, member().state());
        } finally {
            taken.set(true);
        }
    }

    /** The former place's words are none of the new one's, and whichever watch speaks there counts. */
    @Test
    void whileTheFormerPlaceGoesOnTheMuteNewOneIsTriedAgain() throws Exception {
        Discovery d = another(new Discovery.Patience(60_000, 20, 60_000));
        Peer.Wire former = discovery.accept();
        former.read();
        former.write(HEAD + chunk(list(42, false, "s-1", "in_service")));
        assertEquals(State.READY, member().state());
        try (Peer elsewhere = new Peer()) {
            setup.act(() -> d.move(elsewhere.address()));
            Peer.Wire mute = elsewhere.accept();
            for (int i = 0; i < 3; i++) {
                former.write(chunk("\n"));
                elsewhere.accept();
            }
            former.write(chunk(list(43, false, "s-1", "terminating")));
            assertEquals(State.DRAINING, member().state());
            mute.write(HEAD + chunk(list(44, false, "s-1", "in_service")));
            assertEquals(State.READY, member().state());
            assertTrue(former.ended());
        }
    }

    /** Two new configurations before either place speaks, the second of them down for a while. */
    @Test
    void afterTwoMovesAllAreHeardUntilTheLastPlaceSpeaks() throws Exception {
        Discovery d = another(Setup.PATIENCE);
        Peer.Wire first = discovery.accept();
        first.read();
        first.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
        assertEquals(State.DRAINING, member().state());
        InetSocketAddress down;
        try (Peer third = new Peer()) {
            down = third.address();
        }
        try (Peer second = new Peer()) {
            setup.act(() -> d.move(second.address()));
            Peer.Wire between = second.accept();
            setup.act(() -> d.move(down));
            between.write(HEAD + chunk(list(43, false, "s-1", "in_service")));
            assertEquals(State.READY, member().state());
            first.write(chunk(list(44, false, "s-1", "terminating")));
            assertEquals(State.DRAINING, member().state());
            try (Peer up = new Peer(down.getPort())) {
                up.accept().write(HEAD + chunk(list(45, true, "s-1", "in_service")));
                assertEquals(State.READY, member().state());
                assertTrue(first.ended());
                between.read();
                assertTrue(between.ended());
            }
        }
    }

    private Discovery asked(Discovery.Patience patience) throws Exception {
        discovery.accept(); // that of the proxy
        Discovery d = new Discovery(
                Platform.of(setup.loop),
                new Discovery.Source(
                        discovery.address(), true, MissingNode.getInstance(), List.of("m1", "m2"), List.of("a", "b")),
                setup.proxy,
                patience);
        setup.act(() -> d.watch(true));
        return d;
    }

    private void failed() throws Exception {
        ListKind kind = setup.next("kind", ListKind.class);
        while (kind != ListKind.FAILED) {
            kind = setup.next("kind", ListKind.class);
        }
    }

    /** The module says when a call is made again, so it has to hear of each that fails, however it does. */
    @Test
    void aCallThatTellsNoListFails() throws Exception {
        Discovery d = asked(new Discovery.Patience(60_000, 50, 60_000));
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
            failed();
            assertTrue(call.ended());
            assertTrue(discovery.quiet(), "it was made again unasked");
            setup.act(() -> d.watch(true));
        }
        discovery.accept().write(HEAD + chunk(list));
        assertEquals(State.DRAINING, member().state());
    }

    /** Calls at a new place fail in turn, and the former one still tells. */
    @Test
    void whileCallsAtTheNewPlaceFailTheFormerOneIsHeard() throws Exception {
        Discovery d = asked(Setup.PATIENCE);
        Peer.Wire former = discovery.accept();
        former.read();
        former.write(HEAD + chunk(list(42, false, "s-1", "in_service")));
        assertEquals(State.READY, member().state());
        try (Peer elsewhere = new Peer()) {
            setup.act(() -> d.move(elsewhere.address()));
            for (int i = 0; i < 3; i++) {
                elsewhere.accept().reset();
                failed();
                setup.act(() -> d.watch(true));
            }
            former.write(chunk(list(43, false, "s-1", "terminating")));
            assertEquals(State.DRAINING, member().state());
            elsewhere.accept().write(HEAD + chunk(list(44, false, "s-1", "in_service")));
            assertEquals(State.READY, member().state());
            assertTrue(former.ended());
        }
    }

    /**
     * What the agent has counts as told from the first moment of a process, so nobody is sent to by the list
     * of the start until it has spoken. Changes then count from that list.
     */
    @Test
    void theListOfTheStartIsNotUsedUntilDiscoveryHasSpoken() throws Exception {
        setup.close();
        discovery.accept();
        setup = new Setup().unheard(Setup.config(discovery, backend), Setup.PATIENCE);
        Peer.Wire watch = discovery.accept();
        assertTrue(watch.read().contains("index=41 "));
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get());
            Setup.Told first = setup.told.poll(20, TimeUnit.SECONDS);
            assertEquals("request", first.what());
            setup.act(() -> setup.actions.send(((Request) first.event()).ticket(), known, 0));
            assertEquals(Status.MOOT, setup.outcome().status());
            watch.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
            assertEquals(ListKind.CACHED, setup.next("kind", ListKind.class));
            assertEquals(State.DRAINING, member().state());
            assertTrue(backend.quiet());
        }
    }

    @Test
    void aSilentWatchIsGivenUp() throws Exception {
        Config config = Setup.config(discovery, backend);
        discovery.accept().read(); // that of the proxy
        Discovery quick = new Discovery(
                Platform.of(setup.loop),
                Discovery.source(config),
                setup.proxy,
                new Discovery.Patience(60_000, 60_000, 200));
        setup.loop.submit(() -> quick.watch(true)).get(20, TimeUnit.SECONDS);
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD);
        assertTrue(watch.ended());
        discovery.accept().read();
    }

    /** Requests that came first must not go to a backend whose drain was told while the proxy stood still. */
    @Test
    void aProxyThatStoodStillHearsOfTheListBeforeTheRequests() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        try (Peer.Wire client = setup.client()) {
            client.write("GET /_health HTTP/1.1\r\n\r\n");
            client.read(); // the connection is taken
            CountDownLatch still = new CountDownLatch(1);
            CountDownLatch stopped = new CountDownLatch(1);
            setup.loop.execute(() -> {
                stopped.countDown();
                awaitQuietly(still);
            });
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
            client.write(Setup.get());
            watch.write(HEAD + chunk(list(42, false, "s-1", "terminating")));
            // Both lie in the proxy's buffers once they are written, loopback keeps nothing back.
            still.countDown();
            List<String> heard = new ArrayList<>();
            while (!heard.contains("request") || !heard.contains("members")) {
                Setup.Told t = setup.told.poll(20, TimeUnit.SECONDS);
                assertNotNull(t, "heard only " + heard);
                heard.add(t.what());
            }
            assertTrue(heard.indexOf("members") < heard.indexOf("request"), heard.toString());
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
    void readyOnlyOnceTheListIsIn() throws Exception {
        setup.close();
        discovery.accept();
        setup = new Setup().unheard(Setup.config(discovery, backend), Setup.PATIENCE);
        Peer.Wire watch = discovery.accept();
        watch.read();
        try (Peer.Wire client = setup.client()) {
            client.write("GET /_health HTTP/1.1\r\n\r\n");
            assertTrue(client.read().startsWith("HTTP/1.1 503 "));
            watch.write(HEAD + chunk(list(42, true, "s-1", "in_service")));
            setup.next("kind", ListKind.class);
            client.write("GET /_health HTTP/1.1\r\n\r\n");
            assertTrue(client.read().startsWith("HTTP/1.1 200 "));
        }
    }

    @Test
    void nothingGoesToABackendThatIsGone() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk(list(42, false, "s-1", "terminated")));
        assertEquals(State.GONE, member().state());
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get());
            Request r = setup.request();
            setup.act(() -> setup.actions.send(r.ticket(), known, 0));
            assertEquals(Status.MOOT, setup.outcome().status());
            assertTrue(backend.quiet());
        }
    }

    @Test
    void numbersOfBackendsThatAreGoneAreGivenUp() throws Exception {
        Config config = Setup.config(discovery, backend);
        Discovery d = new Discovery(Platform.of(setup.loop), Discovery.source(config), setup.proxy, Setup.PATIENCE);
        setup.act(() -> d.watch(true));
        discovery.accept(); // that of the proxy
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD);
        for (int i = 0; i < 3; i++) {
            watch.write(chunk(list(50 + i, false, "s-" + i, "in_service")));
            member();
        }
        assertEquals(3, setup.loop.submit(d::numbered).get(20, TimeUnit.SECONDS));
        for (int i = 0; i < 3; i++) {
            watch.write(chunk(list(60 + i, false, "s-" + i, "terminated")));
            member();
        }
        assertEquals(0, setup.loop.submit(d::numbered).get(20, TimeUnit.SECONDS));
    }

    @Test
    void newsOfADrainCountsForAnAttemptThatIsStillConnecting() throws Exception {
        setup.close();
        JsonNode root = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
        ((ObjectNode) root.at("/settings/rules")).put("drain_grace_ns", 1); // over before any connect
        setup = new Setup().start(Config.parse(root, Map.of()));
        ListedServer drains = new ListedServer(setup.backend(), 0, State.DRAINING, 0, 3, 0, 1);
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get());
            Request r = setup.request();
            setup.act(() -> {
                setup.actions.send(r.ticket(), drains.id(), 0);
                setup.proxy.news(
                        new ListUpdate(ListKind.DELTA, 42, List.of(new ListedBackend(drains, backend.address()))));
            });
            assertEquals(Status.MOOT, setup.outcome().status());
            assertEquals("", backend.accept().read());
        }
    }

    @Test
    void aBadConfigurationIsSaidInOneLine() throws Exception {
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
