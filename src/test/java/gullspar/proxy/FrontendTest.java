package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.client.Client;
import gullspar.proxy.client.RequestParameters;
import gullspar.proxy.config.Config;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests of clients and their responses, up to the shutdown of the process. */
class FrontendTest extends LoopbackTest {
    @ParameterizedTest
    @CsvSource({
        "400, 'rubbish||'",
        "400, 'GET /look HTTP/1.1|Request-Id: r|'",
        "400, 'GET /look HTTP/1.1|Request-Timeout: 1|'",
        "400, 'GET /look HTTP/1.1|Request-Id: r|Request-Timeout: 0|'",
        "400, 'GET /look HTTP/1.1|Request-Id: r|Request-Timeout: NaN|'",
        "400, 'GET /look HTTP/1.1|Request-Id: r|Request-Timeout: soon|'",
        "400, 'GET /look HTTP/1.1|Request-Id: r|Request-Timeout: 1e9|'",
        "400, 'GET /look HTTP/1.1|Request-Id: r|Request-Timeout: 0x1p3|'",
        "400, 'GET /look HTTP/1.1|Request-Id: r|Request-Timeout: 1|Request-Timeout: 1|'",
        "400, 'GET /look HTTP/1.1|Request-Id: r|Request-Id: s|Request-Timeout: 1|'",
        "400, 'POST /order HTTP/1.1|Request-Id: r|Request-Timeout: 1|Idempotency-Key: k|"
                + "Idempotency-Key: k|Content-Length: 0|'",
        "400, 'POST /order HTTP/1.1|Request-Id: r|Request-Timeout: 1|Content-Length: 0|'",
        "400, 'POST /pay HTTP/1.1|Request-Id: r|Request-Timeout: 1|Idempotency-Key: k|Content-Length: 0|'",
        "404, 'GET /lookout HTTP/1.1|Request-Id: r|Request-Timeout: 1|'",
        "405, 'POST /look HTTP/1.1|Request-Id: r|Request-Timeout: 1|Content-Length: 0|'",
        "405, 'GET /order HTTP/1.1|Request-Id: r|Request-Timeout: 1|'",
        "413, 'POST /order HTTP/1.1|Request-Id: r|Request-Timeout: 1|Content-Length: 33554433|'"
    })
    void invalidRequestsAreRejectedAndNotForwarded(int status, String request) throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(request.replace("|", "\r\n") + "\r\n");
            String answer = client.read();
            assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
            assertTrue(setup.moduleEvents.stream().noneMatch(t -> t.type().equals("request")));
        }
    }

    /**
     * A request that cannot be parsed closes the connection; the data behind it is not treated as a request.
     */
    @ParameterizedTest
    @CsvSource({
        "400, 'POST /order HTTP/1.1|Request-Id: r|Content-Length: 4|Transfer-Encoding: chunked||0||'",
        "400, 'POST /order HTTP/1.1|Request-Id: r|Content-Length: 4|Content-Length: 5||'",
        "400, 'POST /order HTTP/1.1|Request-Id: r|Content-Length: -4||'",
        "400, 'POST /order HTTP/1.1|Request-Id: r|Content-Length: +4||'",
        "400, 'POST /order HTTP/1.1|Request-Id: r|Content-Length: 0x4||'",
        "400, 'POST /order HTTP/1.1|Request-Id: r|Transfer-Encoding: gzip||'",
        "400, 'POST /order HTTP/1.1|Request-Id: r|Transfer-Encoding: chunked||zz||'",
        "400, 'GET /look HTTP/1.1|no colon here|'",
        "505, 'GET /look HTTP/7.1|Request-Id: r|'",
        "413, 'POST /order HTTP/1.1|Request-Id: r|Content-Length: 62914560|'",
        "417, 'POST /order HTTP/1.1|Request-Id: r|Expect: miracles|Content-Length: 4|'"
    })
    void malformedRequestsCloseTheConnection(int status, String request) throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(request.replace("|", "\r\n") + "\r\n" + Setup.getRequest());
            String answer = client.read();
            assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
            assertTrue(client.ended());
            assertTrue(setup.moduleEvents.stream().noneMatch(t -> t.type().equals("request")));
        }
    }

    @Test
    void overlongHeadIsRejected() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write("GET /look HTTP/1.1\r\n" + "X-Pad: ppppppppppppppppppppp\r\n".repeat(400));
            assertTrue(client.read().startsWith("HTTP/1.1 431 "));
        }
    }

    /** The proxy's own timeouts end these connections. */
    @ParameterizedTest
    @CsvSource({
        "''",
        "'GET /look'",
        "'GET /look HTTP/1.1|Request-Id: r|'",
        "'POST /order HTTP/1.1|Request-Id: r|Content-Length: 9||half'"
    })
    void incompleteRequestsTimeOut(String part) throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(part.replace("|", "\r\n"));
            String answer = client.read();
            assertTrue(part.isEmpty() ? answer.isEmpty() : answer.startsWith("HTTP/1.1 408 "), answer);
        }
    }

    @Test
    void openOrRecentRequestIdIsRejectedUnsent() throws Exception {
        String request = Setup.getRequest();
        try (Peer.Wire client = setup.client();
                Peer.Wire other = setup.client()) {
            client.write(request);
            Request r = setup.nextRequest();
            other.write(request);
            assertTrue(other.read().startsWith("HTTP/1.1 409 "));
            setup.runOnLoop(() -> setup.actions.refuse(r.ticket(), 0));
            assertTrue(client.read().startsWith("HTTP/1.1 503 "));
            other.write(request);
            assertTrue(other.read().startsWith("HTTP/1.1 409 "));
            assertTrue(setup.moduleEvents.stream().noneMatch(t -> t.type().equals("request")));
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInTurn() throws Exception {
        try (Peer.Wire client = setup.client()) {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < Client.MAX_PIPELINED; i++) {
                requests.append(Setup.getRequest());
            }
            client.write(requests.toString());
            for (int i = 0; i < Client.MAX_PIPELINED; i++) {
                Request r = setup.nextRequest();
                setup.runOnLoop(() -> setup.actions.refuse(r.ticket(), 0));
                assertTrue(client.read().startsWith("HTTP/1.1 503 "));
            }
        }
    }

    private static String requests(int count) {
        return Stream.generate(Setup::getRequest).limit(count).collect(Collectors.joining());
    }

    /** At the limit of the queue the queued requests were rejected, and those read behind them got no response. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void requestsBeyondTheQueueAreAnsweredInOrder(boolean isDraining) throws Exception {
        int count = 10 * Client.MAX_PIPELINED;
        try (Peer.Wire client = setup.client()) {
            client.write(requests(count));
            List<Integer> tickets = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                Request r = setup.nextRequest();
                tickets.add(r.ticket());
                if (isDraining && i == 0) {
                    setup.proxy.drain();
                }
                assertTrue(setup.moduleEvents.stream().noneMatch(t -> t.type().equals("request")), "one at a time");
                setup.runOnLoop(() -> setup.actions.refuse(r.ticket(), 0));
                assertTrue(client.read().startsWith("HTTP/1.1 503 "));
            }
            assertEquals(tickets.stream().sorted().toList(), tickets);
            if (isDraining) {
                assertTrue(client.ended());
            } else {
                client.write("GET /_health HTTP/1.1\r\n\r\n");
                assertTrue(client.read().startsWith("HTTP/1.1 200 "));
            }
        }
    }

    /** A request that waits behind a full queue has waited since it was sent, which its timeout counts from. */
    @Test
    void requestBeyondTheQueueCountsFromItsArrival() throws Exception {
        try (Peer.Wire client = setup.client()) {
            setup.stopClock();
            int count = 2 * Client.MAX_PIPELINED;
            client.write(requests(count));
            for (int i = 0; i < count; i++) {
                Request r = setup.nextRequest();
                long waitedNs = TimeUnit.MILLISECONDS.toNanos(100 * i);
                assertTrue(r.timeLeftNs() <= TimeUnit.SECONDS.toNanos(30) - waitedNs, "request " + i);
                setup.advanceClock(100);
                setup.runOnLoop(() -> setup.actions.refuse(r.ticket(), 0));
                client.read();
            }
        }
    }

    /** A client that sends more than is read ahead may have disconnected, so its requests are not sent on. */
    @Test
    void requestIsNotSentWhileMoreIsUnreadThanIsReadAhead() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(requests(1000)); // some 90 KB
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            assertEquals(Status.MOOT, setup.nextOutcome().status());
            assertTrue(backend.hasNoNewConnection());
        }
    }

    /**
     * Connection may name any header as hop-by-hop: those that the backend needs are forwarded all the same.
     */
    @Test
    void connectionHeaderCannotRemoveForwardedHeaders() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest(
                    "Request-Timeout: 30\r\nX-Odd: 1\r\n" + "Connection: request-id, cookie\r\nCookie: sid=1\r\n"));
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            String sent = backend.accept().read();
            assertTrue(sent.contains("Request-Id: r") && sent.contains("Cookie: sid=1\r\n"), sent);
            assertFalse(sent.contains("X-Odd") || sent.contains("Connection"), sent);
        }
    }

    @Test
    void requestParametersReachTheModule() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write("POST /order/7 HTTP/1.1\r\nRequest-Id: r\r\nRequest-Timeout: 2.5\r\n"
                    + "Idempotency-Key: k\r\nCookie: a=b; sid=7f3a9c21e0b4d655\r\n"
                    + "Client-Retry: 1\r\nWork-Hint: 300\r\n"
                    + "Content-Length: 3\r\n\r\nabc");
            Request r = setup.nextRequest();
            assertEquals(1, r.profile());
            assertEquals(RequestParameters.key("sid=7f3a9c21e0b4d655"), r.key());
            assertNotEquals(0, r.key());
            assertEquals(300_000, r.workHintNs());
            assertTrue(r.isRepeat());
            assertTrue(r.timeLeftNs() > 2_000_000_000L && r.timeLeftNs() < 2_500_000_000L);
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            String sent = backend.accept().read();
            assertTrue(sent.startsWith("POST /order/7 ") && sent.endsWith("\r\n\r\nabc"), sent);
            assertTrue(sent.contains("Idempotency-Key: k\r\n"), sent);
        }
    }

    @Test
    void clientDisconnectCancelsItsAttempt() throws Exception {
        Peer.Wire client = setup.client();
        client.write(Setup.getRequest());
        Request r = setup.nextRequest();
        setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
        Peer.Wire wire = backend.accept();
        wire.read();
        client.close();
        assertEquals(r.ticket(), setup.nextEvent("withdrawn", Integer.class));
        Outcome o = setup.nextOutcome();
        assertEquals(Status.CANCELLED, o.status());
        assertTrue(o.isFinal());
        assertTrue(wire.ended());
    }

    @Test
    void deadlineBackstopAnswersAndNothingIsSentAfterwards() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest("Request-Timeout: 0.3\r\n"));
            Request r = setup.nextRequest();
            assertTrue(client.read().startsWith("HTTP/1.1 504 "));
            setup.nextEvent("withdrawn", Integer.class);
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            Outcome o = setup.nextOutcome();
            assertEquals(Status.MOOT, o.status());
            assertTrue(o.isFinal());
            assertTrue(backend.hasNoNewConnection());
        }
    }

    @Test
    void requestIsAnsweredOnceEvenIfTheModuleRefusesAndFailsIt() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest());
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> {
                setup.actions.refuse(r.ticket(), 0);
                setup.actions.fail(r.ticket());
            });
            String refused = client.read();
            assertTrue(refused.startsWith("HTTP/1.1 503 ") && !refused.contains("Retry-After"), refused);
            client.write("GET /none HTTP/1.1\r\n\r\n");
            assertTrue(client.read().startsWith("HTTP/1.1 404 "));
        }
    }

    @Test
    void moduleIsNotCalledReentrantly() throws Exception {
        setup.onRequest = r -> setup.actions.send(999, server, 0); // ends at once with MOOT
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest());
            setup.nextRequest();
            assertEquals(Status.MOOT, setup.nextOutcome().status());
        }
    }

    @Test
    void moduleExceptionFailsOnlyOneRequest() throws Exception {
        setup.onRequest = r -> {
            throw new IllegalStateException("module failure");
        };
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest());
            assertTrue(client.read().startsWith("HTTP/1.1 502 "));
            setup.onRequest = r -> {};
            client.write(Setup.getRequest());
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.refuse(r.ticket(), 0));
            assertTrue(client.read().startsWith("HTTP/1.1 503 "));
        }
    }

    @Test
    void requestsOnOneConnectionAreAnsweredInOrder() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest() + "GET /none HTTP/1.1\r\n\r\n");
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.fail(r.ticket()));
            assertTrue(client.read().startsWith("HTTP/1.1 502 "));
            assertTrue(client.read().startsWith("HTTP/1.1 404 "));
        }
    }

    @Test
    void connectionBurstEvictsNoMoreIdleConnectionsThanNeeded() throws Exception {
        setup.close();
        setup = new Setup()
                .start(Config.parse(
                        Setup.json(discovery.hostPort(), backend.hostPort(), 9, 5000),
                        Map.of())); // four of these descriptors are for clients
        CountDownLatch connected = new CountDownLatch(1);
        setup.loop.execute(() -> {
            try {
                connected.await(20, TimeUnit.SECONDS); // so that all are accepted in one batch
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        List<Peer.Wire> burst = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            burst.add(setup.client());
        }
        connected.countDown();
        for (Peer.Wire w : burst.subList(0, 8)) {
            assertTrue(w.ended());
        }
        for (Peer.Wire w : burst.subList(8, 12)) {
            w.write("GET /none HTTP/1.1\r\n\r\n");
            assertTrue(w.read().startsWith("HTTP/1.1 404 "));
            w.close();
        }
    }

    /**
     * A request partly received when the listener closes is awaited and answered. With these settings the drain
     * rejects it after 1.4 s and ends after 1.8 s. Those timers are ignored and the clock, which other time limits
     * use, is stopped, so that none of the limits is reached however slow the machine is.
     */
    @Test
    void partialRequestIsAwaitedAndAnsweredAfterListenerCloses() throws Exception {
        setup.ignoredTimerMs = 1000;
        setup.stopClock();
        try (Peer.Wire half = setup.client();
                Peer.Wire idle = setup.client()) {
            // The response shows that both connections were accepted before the clock advances.
            assertTrue(idle.write("GET /none HTTP/1.1\r\n\r\n").read().startsWith("HTTP/1.1 404 "));
            String request = Setup.getRequest();
            half.write(request.substring(0, 20));
            CompletableFuture<Void> drained = setup.proxy.drain();
            setup.advanceClock(600); // idle connections are closed with the listener unless they are new
            assertTrue(idle.ended());
            setup.advanceClock(300);
            // Runs on the loop's timers, well after everything due by then has been done.
            setup.loop.schedule(() -> {}, 300, TimeUnit.MILLISECONDS).sync();
            assertFalse(drained.isDone(), "the drain ended with a request partly read");
            half.write(request.substring(20));
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.fail(r.ticket()));
            assertTrue(half.read().contains("connection: close\r\n"));
            drained.get(20, TimeUnit.SECONDS);
        }
    }

    /** A request that is not complete in time is rejected before the process is killed. */
    @Test
    void partialRequestIsRejectedBeforeShutdown() throws Exception {
        try (Peer.Wire half = setup.client();
                Peer.Wire fresh = setup.client()) {
            half.write("GET /look/1 HTTP/1.1\r\nRequest-Id: ");
            CompletableFuture<Void> drained = setup.proxy.drain();
            assertTrue(half.read().startsWith("HTTP/1.1 503 "));
            drained.get(20, TimeUnit.SECONDS);
            assertTrue(fresh.ended());
        }
    }

    /** Class names come from the settings: one may equal a built-in path, or need percent-encoding. */
    @Test
    void classNamesMayNeedEscapesOrMatchBuiltInPaths() throws Exception {
        setup.close();
        JsonNode root = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
        ((ObjectNode) root.at("/settings/profiles/0")).put("name", "_health");
        ((ObjectNode) root.at("/settings/profiles/1")).put("name", "gr\u00f6\u00dfe 1/2+%");
        setup = new Setup().start(Config.parse(root, Map.of()));
        try (Peer.Wire client = setup.client()) {
            client.write("GET /_health HTTP/1.1\r\n\r\n");
            assertTrue(client.read().startsWith("HTTP/1.1 200 "));
            client.write(Setup.getRequest().replace("/look", "/_health"));
            assertEquals(0, setup.nextRequest().profile());
        }
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest()
                    .replace("GET /look", "POST /gr%C3%B6%C3%9Fe%201%2F2+%25")
                    .replace("\r\n\r\n", "\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n"));
            assertEquals(1, setup.nextRequest().profile());
        }
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest().replace("/look", "/gr%"));
            assertTrue(client.read().startsWith("HTTP/1.1 40"));
        }
    }

    @Test
    void drainAnswersRequestsReceivedBeforeAndAfterItStarts() throws Exception {
        try (Peer.Wire idle = setup.client();
                Peer.Wire before = setup.client()) {
            before.write(Setup.getRequest());
            Request first = setup.nextRequest();
            CompletableFuture<Void> drained = setup.proxy.drain();
            try (Peer.Wire after = setup.client()) {
                after.write(Setup.getRequest());
                Request second = setup.nextRequest();
                setup.runOnLoop(() -> setup.actions.fail(second.ticket()));
                assertTrue(after.read().contains("connection: close\r\n"));
                assertTrue(after.ended());
                assertTrue(idle.ended());
                assertFalse(drained.isDone());
                setup.runOnLoop(() -> setup.actions.fail(first.ticket()));
                assertTrue(before.read().contains("connection: close\r\n"));
            }
            drained.get(20, TimeUnit.SECONDS);
        }
    }
}
