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

/** Hands over from one process to the next where the platform holds the listener. */
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
    void close() throws Exception {
        setup.close();
        discovery.close();
        backend.close();
    }

    private void sendListUpdate() throws Exception {
        setup.runOnLoop(() -> setup.proxy.onUpdate(new ListUpdate(ListKind.DELTA, 42, List.of())));
        setup.proxy.awaitListening();
    }

    @Test
    void listensOnlyOnceItHasAList() throws Exception {
        assertFalse(setup.loop.submit(setup.proxy::isReady).get(20, TimeUnit.SECONDS));
        assertThrows(NullPointerException.class, () -> setup.proxy.address(), "it must not listen without a list");
        sendListUpdate();
        assertTrue(setup.loop.submit(setup.proxy::isReady).get(20, TimeUnit.SECONDS));
    }

    @Test
    void drainServesOpenConnectionsOnceMoreAndAcceptsNoNewOnes() throws Exception {
        sendListUpdate();
        int server = setup.listedServer();
        try (Peer.Wire kept = setup.client();
                Peer.Wire busy = setup.client()) {
            busy.write(Setup.getRequest());
            Request open = setup.nextRequest();
            kept.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
            kept.read();
            var address = setup.proxy.address();
            CompletableFuture<Void> ended = setup.proxy.drain();
            setup.runOnLoop(() -> {});
            awaitConnectionRefused(address);
            kept.write(Setup.getRequest());
            Request late = setup.nextRequest();
            assertTrue(
                    late.timeLeftNs() < TimeUnit.MILLISECONDS.toNanos(1900),
                    "must be answered before the process is killed, time left in ns: " + late.timeLeftNs());
            setup.runOnLoop(() -> setup.actions.send(late.ticket(), server, 0));
            Peer.Wire b = backend.accept();
            b.read();
            b.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            String answer = kept.read();
            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.contains("connection: close"), answer);
            assertTrue(kept.ended());
            assertFalse(ended.isDone(), "the drain completed while a request was open");
            setup.runOnLoop(() -> setup.actions.refuse(open.ticket(), 0));
            assertTrue(busy.read().startsWith("HTTP/1.1 503"));
            ended.get(20, TimeUnit.SECONDS);
        }
    }

    /** The listener is closed when the event loop next polls its sockets, so refusal may take a moment. */
    private static void awaitConnectionRefused(java.net.InetSocketAddress address) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        boolean refused = false;
        while (!refused) {
            assertTrue(System.nanoTime() < end, "the listener was still open after 20 s");
            try {
                Peer.Wire.to(address).close();
            } catch (java.io.IOException e) {
                refused = true;
            }
        }
    }

    @Test
    void idleConnectionIsKeptUntilShortlyBeforeKill() throws Exception {
        sendListUpdate();
        try (Peer.Wire idle = setup.client()) {
            idle.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
            idle.read();
            long startedAtNs = System.nanoTime();
            setup.proxy.drain().get(20, TimeUnit.SECONDS);
            assertTrue(idle.ended());
            // the longest deadline in the configuration is 1.2 s, and the process is killed 0.7 s after it
            assertTrue(System.nanoTime() - startedAtNs >= TimeUnit.MILLISECONDS.toNanos(1200));
        }
    }

    @Test
    void drainedIsLoggedBeforeDrainCompletes() throws Exception {
        sendListUpdate();
        CompletableFuture<Boolean> endedBeforeLine = new CompletableFuture<>();
        AtomicReference<CompletableFuture<Void>> ended = new AtomicReference<>();
        setup.onLog = line -> {
            if (line.equals("drained")) {
                endedBeforeLine.complete(ended.get().isDone());
            }
        };
        setup.runOnLoop(() -> ended.set(setup.proxy.drain()));
        assertFalse(
                endedBeforeLine.get(20, TimeUnit.SECONDS),
                "the drain completed first: the process may exit before the line is written");
        ended.get().get(20, TimeUnit.SECONDS);
    }

    @Test
    void twoProcessesShareTheDescriptorLimit() throws Exception {
        var root = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
        assertEquals(1024, Config.parse(root, Map.of()).sockets());
        assertEquals(512, Config.parse(root, Map.of("NODE_SOCKET_FD", "0")).sockets());
    }

    @Test
    void onlyDescriptor0CanBeInherited() {
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
