package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.client.Frontend;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A client that disconnects while its request waits, in each place where one can wait: nothing more is sent for it,
 * the module withdraws the request, and its resources are released. The test triggers each attempt; the disconnect is
 * in the socket by then, although in the second group of tests the event loop has not read it yet.
 */
class ClientDisconnectTest extends LoopbackTest {
    private interface DisconnectAction {
        void disconnect(Peer.Wire client) throws IOException;
    }

    /**
     * How the client disconnects. A client that closes only its sending side counts as disconnected: the
     * protocol allows giving up an attempt that way and has no clients that go on reading.
     */
    enum DisconnectMode implements DisconnectAction {
        CLOSES(Peer.Wire::close),
        RESETS(Peer.Wire::reset),
        ENDS_SENDING(Peer.Wire::endSending);

        private final DisconnectAction action;

        DisconnectMode(DisconnectAction action) {
            this.action = action;
        }

        @Override
        public void disconnect(Peer.Wire client) throws IOException {
            action.disconnect(client);
        }
    }

    @AfterEach
    void noRequestIsPending() throws Exception {
        String status = setup.loop.submit(setup.proxy::statusJson).get();
        assertTrue(status.contains("\"pending\":0"), status);
    }

    /** The request is withdrawn, and a later attempt for it is not sent. */
    private void assertWithdrawnAndNothingSent(Request r) throws Exception {
        assertEquals(r.ticket(), setup.nextEvent("withdrawn", Integer.class));
        setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
        assertEquals(Status.MOOT, setup.nextOutcome().status());
        assertTrue(backend.hasNoNewConnection(), "the request was sent to the backend");
    }

    @ParameterizedTest
    @EnumSource
    void requestWaitingInTheModuleIsNotSent(DisconnectMode mode) throws Exception {
        Peer.Wire client = setup.client();
        client.write(Setup.getRequest());
        Request r = setup.nextRequest();
        mode.disconnect(client);
        assertWithdrawnAndNothingSent(r);
    }

    @ParameterizedTest
    @EnumSource
    void pipelinedRequestsAreNotSent(DisconnectMode mode) throws Exception {
        Peer.Wire client = setup.client();
        client.write(Setup.getRequest() + Setup.getRequest());
        Request r = setup.nextRequest();
        mode.disconnect(client);
        assertWithdrawnAndNothingSent(r);
        assertTrue(
                setup.moduleEvents.stream().noneMatch(t -> t.type().equals("request")),
                "the next request was accepted");
    }

    @ParameterizedTest
    @EnumSource
    void failedAttemptIsNotRetried(DisconnectMode mode) throws Exception {
        Peer.Wire client = setup.client();
        client.write(Setup.getRequest());
        Request r = setup.nextRequest();
        setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
        Peer.Wire wire = backend.accept();
        wire.read();
        wire.reset();
        assertEquals(Status.RESET, setup.nextOutcome().status());
        mode.disconnect(client);
        assertWithdrawnAndNothingSent(r);
    }

    private static String largeRequest(int bytes) {
        return "POST /pay HTTP/1.1\r\nHost: api\r\nRequest-Id: large\r\nRequest-Timeout: 30\r\n" + "Content-Length: "
                + (4 << 20) + "\r\n\r\n" + "x".repeat(bytes);
    }

    /** More of a body is read than is forwarded at once, to detect that its client disconnects. */
    @ParameterizedTest
    @EnumSource
    void requestWithBufferedBodyIsNotSent(DisconnectMode mode) throws Exception {
        Peer.Wire client = setup.client();
        client.write(largeRequest((1 << 20) + (160 << 10)));
        Request r = setup.nextRequest();
        mode.disconnect(client);
        assertWithdrawnAndNothingSent(r);
    }

    /** Restarts the proxy with the production limit on how long a body may stay unread. */
    private void useProductionUnreadTimeout() throws Exception {
        setup.close();
        setup = new Setup();
        setup.unreadTimeoutNs = Frontend.UNREAD_TIMEOUT_NS;
        setup.start(Setup.config(discovery, backend));
        server = setup.listedServer();
    }

    /**
     * Reading a larger body stops at the buffer limit, so the client's disconnect is not seen: its request is
     * no longer sent once the body has been unread for too long.
     */
    @ParameterizedTest
    @EnumSource
    void requestWithPartlyUnreadBodyIsNotSent(DisconnectMode mode) throws Exception {
        useProductionUnreadTimeout();
        Peer.Wire client = setup.client();
        client.write(largeRequest((1 << 20) + 1));
        Request r = setup.nextRequest();
        CompletableFuture<Void> disconnected = writeThenDisconnect(client, "x".repeat(2 << 20), mode);
        assertWithdrawnAndNothingSent(r);
        disconnected.get(20, TimeUnit.SECONDS);
    }

    /** As above, where it is the body of the next pipelined request. */
    @ParameterizedTest
    @EnumSource
    void requestBeforeAPartlyUnreadBodyIsNotSent(DisconnectMode mode) throws Exception {
        useProductionUnreadTimeout();
        Peer.Wire client = setup.client();
        client.write(Setup.getRequest());
        Request r = setup.nextRequest();
        CompletableFuture<Void> disconnected = writeThenDisconnect(client, largeRequest(3 << 20), mode);
        assertWithdrawnAndNothingSent(r);
        disconnected.get(20, TimeUnit.SECONDS);
    }

    /** Runs asynchronously: the kernel may not accept all of it before the proxy reads on. */
    private static CompletableFuture<Void> writeThenDisconnect(Peer.Wire client, String text, DisconnectAction mode) {
        return CompletableFuture.runAsync(() -> {
            try {
                client.write(text);
                mode.disconnect(client);
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    /** The client is still connected, but the proxy cannot detect that: it rejects the request with 503. */
    @Test
    void connectedClientWithUnreadBodyIsRejected() throws Exception {
        useProductionUnreadTimeout();
        Peer.Wire client = setup.client();
        CompletableFuture<Void> written = writeThenDisconnect(client, largeRequest(3 << 20), w -> {});
        Request r = setup.nextRequest();
        assertTrue(client.read().startsWith("HTTP/1.1 503 "));
        written.get(20, TimeUnit.SECONDS);
        assertWithdrawnAndNothingSent(r);
    }

    // ---- the event loop has not read the disconnect yet ----

    /** Sends the request of another client, which must be the first one that the backend receives. */
    private void assertNothingReachedBackend() throws Exception {
        try (Peer.Wire other = setup.client()) {
            setup.onRequest = r -> {};
            String get = Setup.getRequest();
            other.write(get);
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            String id = get.lines()
                    .filter(l -> l.startsWith("Request-Id"))
                    .findFirst()
                    .orElseThrow();
            Peer.Wire wire = backend.accept();
            String got = wire.read();
            assertTrue(got.contains(id), got);
            wire.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            other.read();
        }
    }

    private void disconnect(DisconnectMode mode, Peer.Wire client) {
        try {
            mode.disconnect(client);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private void assertWithdrawnBeforeSending(Request r) throws Exception {
        assertEquals(r.ticket(), setup.nextEvent("withdrawn", Integer.class));
        assertEquals(Status.MOOT, setup.nextOutcome().status());
        assertNothingReachedBackend();
    }

    @ParameterizedTest
    @EnumSource
    void unreadDisconnectPreventsTheFirstAttempt(DisconnectMode mode) throws Exception {
        Peer.Wire client = setup.client();
        client.write(Setup.getRequest());
        Request r = setup.nextRequest();
        setup.runOnLoop(() -> {
            disconnect(mode, client);
            setup.actions.send(r.ticket(), server, 0);
        });
        assertWithdrawnBeforeSending(r);
    }

    /** A request to be sent over an idle backend connection leaves that connection to others. */
    @ParameterizedTest
    @EnumSource
    void unreadDisconnectLeavesTheIdleBackendConnectionToOthers(DisconnectMode mode) throws Exception {
        Peer.Wire client = setup.client();
        client.write(Setup.getRequest());
        Request first = setup.nextRequest();
        setup.runOnLoop(() -> setup.actions.send(first.ticket(), server, 0));
        Peer.Wire wire = backend.accept();
        wire.read();
        wire.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        client.read();
        assertEquals(Status.OK, setup.nextOutcome().status());
        setup.advanceClock(20);
        client.write(Setup.getRequest());
        Request r = setup.nextRequest();
        setup.runOnLoop(() -> {
            disconnect(mode, client);
            setup.actions.send(r.ticket(), server, 0);
        });
        assertEquals(r.ticket(), setup.nextEvent("withdrawn", Integer.class));
        assertEquals(Status.MOOT, setup.nextOutcome().status());
        Peer.Wire other = setup.client();
        other.write(Setup.getRequest().replace("/look/1", "/look/other"));
        Request next = setup.nextRequest();
        setup.runOnLoop(() -> setup.actions.send(next.ticket(), server, 0));
        assertTrue(wire.read().startsWith("GET /look/other"));
        other.close();
        setup.nextOutcome();
    }

    @ParameterizedTest
    @EnumSource
    void unreadDisconnectPreventsARetry(DisconnectMode mode) throws Exception {
        Peer.Wire client = setup.client();
        client.write(Setup.getRequest());
        Request r = setup.nextRequest();
        setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
        Peer.Wire wire = backend.accept();
        wire.read();
        wire.reset();
        assertEquals(Status.RESET, setup.nextOutcome().status());
        setup.runOnLoop(() -> {
            disconnect(mode, client);
            setup.actions.send(r.ticket(), server, 0);
        });
        assertWithdrawnBeforeSending(r);
    }

    /** The turn of the loop has done its reads by then, so only a further read finds the disconnect. */
    @ParameterizedTest
    @EnumSource
    void unreadDisconnectAtBackendConnectPreventsSending(DisconnectMode mode) throws Exception {
        Peer.Wire client = setup.client();
        client.write(Setup.getRequest());
        Request r = setup.nextRequest();
        discovery.accept().readUntil("\r\n\r\n"); // this connection is established, and the next is that to the backend
        setup.onConnected = () -> disconnect(mode, client);
        setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
        assertEquals("", backend.accept().read());
        setup.onConnected = () -> {};
        assertEquals(r.ticket(), setup.nextEvent("withdrawn", Integer.class));
        assertTrue(setup.nextOutcome().isFinal());
        assertNothingReachedBackend();
    }

    /** The request and the disconnect are both in the socket buffer while the event loop is blocked. */
    @ParameterizedTest
    @EnumSource
    void requestReadTogetherWithTheDisconnectIsNotSent(DisconnectMode mode) throws Exception {
        Peer.Wire client = setup.client();
        client.write("GET /_health HTTP/1.1\r\n\r\n");
        client.read();
        setup.onRequest = r -> setup.actions.send(r.ticket(), server, 0);
        setup.loop
                .submit(() -> {
                    client.write(Setup.getRequest());
                    mode.disconnect(client);
                    return null;
                })
                .get(20, TimeUnit.SECONDS);
        assertWithdrawnBeforeSending(setup.nextRequest());
    }

    /** The close is behind more data than one turn of the loop reads: the request was sent for nobody. */
    @ParameterizedTest
    @EnumSource
    void requestIsNotSentIfMuchUnreadDataPrecedesTheDisconnect(DisconnectMode mode) throws Exception {
        Peer.Wire client = setup.client();
        client.write("GET /_health HTTP/1.1\r\n\r\n");
        client.read();
        setup.onRequest = r -> setup.actions.send(r.ticket(), server, 0);
        CountDownLatch disconnected = new CountDownLatch(1);
        Future<?> blocked = setup.loop.submit(() -> disconnected.await(20, TimeUnit.SECONDS));
        client.write(Setup.getRequest() + largeRequest(700 << 10));
        mode.disconnect(client);
        disconnected.countDown();
        blocked.get(20, TimeUnit.SECONDS);
        assertWithdrawnBeforeSending(setup.nextRequest());
    }

    /** The next request is so long that it is not read to its end while the one ahead is in progress. */
    @Test
    void retryIsNotSentIfAnUnreadUploadPrecedesTheDisconnect() throws Exception {
        Peer.Wire client = setup.client();
        client.write(Setup.getRequest());
        Request r = setup.nextRequest();
        client.write(largeRequest(1600 << 10));
        client.close();
        setup.runOnLoop(() -> {
            for (int i = 0; i < 10; i++) {
                setup.actions.send(r.ticket(), server, 0);
            }
        });
        assertWithdrawnBeforeSending(r);
    }

    /** The client disconnects between the poll of the sockets and the attempt of the next request. */
    @ParameterizedTest
    @EnumSource
    void nextPipelinedRequestIsNotSentAfterAnUnreadDisconnect(DisconnectMode mode) throws Exception {
        Peer.Wire client = setup.client();
        client.write(Setup.getRequest() + Setup.getRequest());
        Request ahead = setup.nextRequest();
        setup.onRequest = r -> {
            disconnect(mode, client);
            setup.actions.send(r.ticket(), server, 0);
        };
        setup.runOnLoop(() -> setup.actions.fail(ahead.ticket()));
        assertWithdrawnBeforeSending(setup.nextRequest());
    }

    /** The request ahead is answered after an unread disconnect, and the next one must not even be accepted. */
    @ParameterizedTest
    @EnumSource
    void nextPipelinedRequestIsNotAcceptedAfterAnUnreadDisconnect(DisconnectMode mode) throws Exception {
        Peer.Wire client = setup.client();
        client.write(Setup.getRequest() + Setup.getRequest());
        Request ahead = setup.nextRequest();
        setup.onRequest = r -> setup.actions.send(r.ticket(), server, 0);
        setup.runOnLoop(() -> {
            disconnect(mode, client);
            setup.actions.fail(ahead.ticket());
        });
        setup.awaitStatus("\"descriptors_clients\":0");
        assertTrue(setup.moduleEvents.stream().noneMatch(t -> t.type().equals("request")), "accepted");
        assertNothingReachedBackend();
    }

    @ParameterizedTest
    @EnumSource
    void attemptInProgressIsCancelled(DisconnectMode mode) throws Exception {
        Peer.Wire client = setup.client();
        client.write(Setup.getRequest());
        Request r = setup.nextRequest();
        setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
        Peer.Wire wire = backend.accept();
        wire.read();
        mode.disconnect(client);
        assertEquals(r.ticket(), setup.nextEvent("withdrawn", Integer.class));
        assertEquals(Status.CANCELLED, setup.nextOutcome().status());
        assertTrue(wire.ended());
    }
}
