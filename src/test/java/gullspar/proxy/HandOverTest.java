package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.Request;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.ConfigException;
import gullspar.proxy.discovery.ListUpdate;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** One process takes over from another where the platform holds the listener. */
@Timeout(60)
class HandOverTest {
    private Peer discovery;
    private Peer backend;
    private Setup setup;

    @BeforeEach
    void start() throws Exception {
        discovery = new Peer();
        backend = new Peer();
        setup = new Setup()
                .start(Config.parse(
                        Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000),
                        Map.of("NODE_SOCKET_FD", "0")));
    }

    @AfterEach
    void end() throws Exception {
        setup.close();
        discovery.close();
        backend.close();
    }

    private void list() throws Exception {
        setup.act(() -> setup.proxy.news(new ListUpdate(ListKind.DELTA, 42, List.of())));
        setup.proxy.bound();
    }

    @Test
    void acceptsNobodyBeforeItCanServe() throws Exception {
        assertFalse(setup.loop.submit(setup.proxy::isReady).get(20, TimeUnit.SECONDS));
        assertThrows(NullPointerException.class, () -> setup.proxy.address(), "it listens nowhere yet");
        list();
        assertTrue(setup.loop.submit(setup.proxy::isReady).get(20, TimeUnit.SECONDS));
    }

    @Test
    void servesTheConnectionsThatItHoldsEachOneOnceMoreAndTakesNoNewOnes() throws Exception {
        list();
        int server = setup.backend();
        try (Peer.Wire kept = setup.client();
                Peer.Wire busy = setup.client()) {
            busy.write(Setup.get());
            Request open = setup.request();
            kept.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
            kept.read();
            var address = setup.proxy.address();
            CompletableFuture<Void> ended = setup.proxy.drain();
            setup.act(() -> {});
            takesNoNewOnes(address);
            kept.write(Setup.get());
            Request late = setup.request();
            assertTrue(
                    late.leftNs() < TimeUnit.MILLISECONDS.toNanos(1900),
                    "answered before the process is killed: " + late.leftNs());
            setup.act(() -> setup.actions.send(late.ticket(), server, 0));
            Peer.Wire b = backend.accept();
            b.read();
            b.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            String answer = kept.read();
            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.contains("connection: close"), answer);
            assertTrue(kept.ended());
            assertFalse(ended.isDone(), "a request is open");
            setup.act(() -> setup.actions.refuse(open.ticket(), 0));
            assertTrue(busy.read().startsWith("HTTP/1.1 503"));
            ended.get(20, TimeUnit.SECONDS);
        }
    }

    /** The system closes a listener as the loop next looks at its sockets, not in the turn that says so. */
    private static void takesNoNewOnes(java.net.InetSocketAddress address) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        boolean refused = false;
        while (!refused) {
            assertTrue(System.nanoTime() < end, "it still listens");
            try {
                Peer.Wire.to(address).close();
            } catch (java.io.IOException e) {
                refused = true;
            }
        }
    }

    @Test
    void anIdleConnectionIsKeptUntilShortlyBeforeTheEnd() throws Exception {
        list();
        try (Peer.Wire idle = setup.client()) {
            idle.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
            idle.read();
            long began = System.nanoTime();
            setup.proxy.drain().get(20, TimeUnit.SECONDS);
            assertTrue(idle.ended());
            // 1.2 s is the longest deadline of the configuration; 0.7 s more until the process is killed
            assertTrue(System.nanoTime() - began >= TimeUnit.MILLISECONDS.toNanos(1200));
        }
    }

    @Test
    void theLastLineIsWrittenBeforeTheProcessMayEnd() throws Exception {
        list();
        CompletableFuture<Boolean> endedBeforeLine = new CompletableFuture<>();
        AtomicReference<CompletableFuture<Void>> ended = new AtomicReference<>();
        setup.onLog = line -> {
            if (line.equals("drained")) {
                endedBeforeLine.complete(ended.get().isDone());
            }
        };
        setup.act(() -> ended.set(setup.proxy.drain()));
        assertFalse(endedBeforeLine.get(20, TimeUnit.SECONDS), "the line may be lost with the process");
        ended.get().get(20, TimeUnit.SECONDS);
    }

    @Test
    void twoProcessesShareTheLimitOnDescriptors() throws Exception {
        var root = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
        assertEquals(1024, Config.parse(root, Map.of()).sockets());
        assertEquals(512, Config.parse(root, Map.of("NODE_SOCKET_FD", "0")).sockets());
    }

    @Test
    void onlyDescriptor0CanBeTakenOver() {
        assertEquals(
                "NODE_SOCKET_FD is '3': only descriptor 0 can be taken over",
                assertThrows(
                                ConfigException.class,
                                () -> Config.parse(
                                        Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000),
                                        Map.of("NODE_SOCKET_FD", "3")))
                        .getMessage());
    }
}
