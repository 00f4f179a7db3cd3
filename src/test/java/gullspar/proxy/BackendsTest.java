package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.backend.LoadReport;
import gullspar.proxy.config.Config;
import gullspar.proxy.discovery.ListUpdate;
import gullspar.proxy.discovery.ListedBackend;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses of backends and failures of attempts, and the outcomes reported to the decision module. */
class BackendsTest extends LoopbackTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

    /** Sends a request that the module routes to the backend. */
    private Request sendRequest(Peer.Wire client) throws Exception {
        client.write(Setup.getRequest());
        Request r = setup.nextRequest();
        setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
        return r;
    }

    @Test
    void responseIsReturnedUnchangedAndTheConnectionIsReused() throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request r = sendRequest(client);
            Peer.Wire wire = backend.accept();
            String request = wire.read();
            assertTrue(request.startsWith("GET /look/1?x=2 HTTP/1.1\r\n"), request);
            assertTrue(request.matches("(?s).*Request-Id: r\\d+\r\n.*"), request);
            assertTrue(request.matches("(?s).*Request-Timeout: 29\\.\\d+\r\n.*"), request);
            wire.write(OK.replace("Content", "Server-Load: inflight=7,util=0.61\r\nContent"));
            assertTrue(client.read().endsWith("\r\n\r\nbody"));
            Outcome o = setup.nextOutcome();
            assertEquals(Status.OK, o.status());
            assertEquals(r.ticket(), o.ticket());
            assertTrue(o.isFinal());
            assertEquals(7, o.report().inflight());
            assertEquals(0.61, o.report().utilization());
            setup.advanceClock(20);
            sendRequest(client);
            wire.read(); // on the same connection as before
            wire.write(OK);
            assertTrue(client.read().endsWith("body"));
            assertTrue(backend.hasNoNewConnection());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "500 Oops, '', ERROR",
        "503 Busy, '', ERROR",
        "504 Late, '', ERROR",
        "429 Busy, '', ERROR",
        "503 Busy, Not-Started: 1, FULL",
        "504 Late, Not-Started: 1, FULL",
        "500 Oops, Not-Started: 1, ERROR"
    })
    void onlyNotStartedProvesThatTheRequestNeverRan(String line, String header, Status status) throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire wire = backend.accept();
            wire.read();
            wire.write("HTTP/1.1 " + line + "\r\n" + (header.isEmpty() ? "" : header + "\r\n")
                    + "Content-Length: 0\r\n\r\n");
            Outcome o = setup.nextOutcome();
            assertEquals(status, o.status());
            assertFalse(o.isFinal());
        }
    }

    /** Each request was repeated at every backend and refused. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 4|Content-Length: 4", "Content-Length: 4, 4"})
    void equalContentLengthsAreOne(String fields) throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire wire = backend.accept();
            wire.read();
            wire.write("HTTP/1.1 200 OK\r\n" + fields.replace("|", "\r\n") + "\r\n\r\nbody");
            assertEquals(Status.OK, setup.nextOutcome().status());
            assertTrue(client.read().endsWith("\r\n\r\nbody"));
        }
    }

    /** An error longer than what is buffered counted as a reset: the request may have run, whatever its head said. */
    @ParameterizedTest
    @CsvSource({
        "500 Oops, Content-Length: 70000, ERROR",
        "503 Busy, Not-Started: 1|Content-Length: 70000, FULL",
        "503 Busy, Not-Started: 1|Content-Length: 33554433, FULL",
        "503 Busy, Not-Started: 1|Transfer-Encoding: chunked||11170|, FULL",
        "503 Busy, Not-Started: 1|Connection: close, FULL",
        "404 Not Found, Content-Length: 70000, MOOT"
    })
    void statusOfALongErrorIsKept(String line, String fields, Status status) throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire wire = backend.accept();
            wire.read();
            String separator = fields.contains("||") ? "" : "\r\n\r\n";
            wire.write("HTTP/1.1 " + line + "\r\n" + fields.replace("|", "\r\n") + separator + "x".repeat(70_000));
            assertEquals(status, setup.nextOutcome().status());
            assertTrue(wire.ended(), "the connection is not used again");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 200 OK|Content-Length: 9||half",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|half|",
        "HTTP/1.1 200 OK|Content-Le",
        "rubbish|",
        "HTTP/1.1 200 OK|Content-Length: x||"
    })
    void truncatedResponseIsAResetAndIsNotServed(String answer) throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request r = sendRequest(client);
            Peer.Wire wire = backend.accept();
            wire.read();
            wire.write(answer.replace("|", "\r\n")).close();
            Outcome o = setup.nextOutcome();
            assertEquals(Status.RESET, o.status());
            assertFalse(o.isFinal());
            setup.runOnLoop(() -> setup.actions.fail(r.ticket()));
            assertTrue(client.read().startsWith("HTTP/1.1 502 "));
        }
    }

    /** The backend keeps the connection open: only the bytes show that the response is malformed. */
    @ParameterizedTest
    @CsvSource({
        "xHTTP/1.1 200 OK|Content-Length: 4||body",
        "HTTP/1.1 OK 200|Content-Length: 4||body",
        "HTTP/7.1 200 OK|Content-Length: 4||body",
        "HTTP/1.1 2x0 OK|Content-Length: 4||body",
        "HTTP/1.1 200 OK|no colon here|Content-Length: 4||body",
        "HTTP/1.1 200 OK|Content-Length: 4|Content-Length: 9||body",
        "HTTP/1.1 200 OK|Content-Length: -4|Content-Length: 4||body",
        "HTTP/1.1 200 OK|Content-Length: 4|Transfer-Encoding: chunked||0||",
        "HTTP/1.1 200 OK|Content-Length: 3000000000||body",
        "HTTP/1.1 200 OK|Content-Length: 33554433||body",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||5|abcde|zz|abcde|0||",
        "HTTP/1.1 200 OK|Content-Length: 4||body and the rest of it",
        "HTTP/1.1 200 OK|Transfer-Encoding: gzip||body",
        "'HTTP/1.1 200 OK|Transfer-Encoding: gzip, chunked||4|body|0||'",
        "'HTTP/1.1 200 OK|Transfer-Encoding: chunked, gzip||4|body|0||'",
        "HTTP/1.1 200 OK|Transfer-Encoding: gzip|Transfer-Encoding: chunked||4|body|0||",
        "'HTTP/1.1 200 OK|Transfer-Encoding: chunked, chunked||4|body|0||'",
        "HTTP/1.1 101 Switching Protocols||",
        "noise"
    })
    void malformedResponseIsAnImmediateResetAndClosesTheConnection(String answer) throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request r = sendRequest(client);
            Peer.Wire wire = backend.accept();
            wire.read();
            wire.write(answer.replace("|", "\r\n"));
            Outcome o = setup.nextOutcome();
            assertEquals(Status.RESET, o.status());
            assertFalse(o.isFinal());
            assertTrue(wire.ended());
            setup.runOnLoop(() -> setup.actions.fail(r.ticket()));
            assertTrue(client.read().startsWith("HTTP/1.1 502 "));
        }
    }

    @Test
    void endlessHeadsAndInterimResponsesAreResets() throws Exception {
        for (String endless : List.of("X-Pad: ppppppppppppppppppppppppp\r\n", "HTTP/1.1 103 Early\r\n\r\n")) {
            try (Peer.Wire client = setup.client()) {
                Request r = sendRequest(client);
                Peer.Wire wire = backend.accept();
                wire.read();
                wire.write((endless.startsWith("X") ? "HTTP/1.1 200 OK\r\n" : "") + endless.repeat(400));
                assertEquals(Status.RESET, setup.nextOutcome().status());
                setup.runOnLoop(() -> setup.actions.fail(r.ticket()));
                assertTrue(client.read().startsWith("HTTP/1.1 502 "));
            }
        }
    }

    @Test
    void duplicateResponseIsNotServedToTheNextRequest() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire first = backend.accept();
            first.read();
            first.write("HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n" + OK + OK.substring(0, OK.length() - 2));
            assertTrue(client.read().endsWith("\r\n\r\nbody"));
            assertEquals(Status.OK, setup.nextOutcome().status());
            assertTrue(first.ended());
            sendRequest(client);
            Peer.Wire second = backend.accept();
            second.read();
            second.write(OK.replace("body", "next"));
            assertTrue(client.read().endsWith("\r\n\r\nnext"));
        }
    }

    /** A backend may close right after its response: the proxy must see that before it reuses the connection. */
    @Test
    void longestIdleConnectionIsUsedFirst() throws Exception {
        try (Peer.Wire one = setup.client();
                Peer.Wire two = setup.client()) {
            sendRequest(one);
            Peer.Wire first = backend.accept();
            first.read();
            sendRequest(two);
            Peer.Wire second = backend.accept();
            second.read();
            first.write(OK);
            assertTrue(one.read().endsWith("body"));
            second.write(OK);
            assertTrue(two.read().endsWith("body"));
            setup.advanceClock(20);
            sendRequest(one);
            assertTrue(first.read().startsWith("GET "));
        }
    }

    /**
     * A duplicate response may arrive some milliseconds late: the connection must not carry the next request by
     * then.
     */
    @Test
    void delayedDuplicateResponseIsNotServedToTheNextRequest() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire first = backend.accept();
            first.read();
            first.write(OK);
            assertTrue(client.read().endsWith("body"));
            sendRequest(client); // at once
            Peer.Wire second = backend.accept();
            second.read();
            first.write(OK);
            assertTrue(first.ended());
            second.write(OK.replace("body", "next"));
            assertTrue(client.read().endsWith("next"));
        }
    }

    /** With many idle connections the longest idle one was reused at once, and a late duplicate was served on it. */
    @Test
    void connectionRestsHoweverManyAreIdle() throws Exception {
        List<Peer.Wire> clients = new ArrayList<>();
        List<Peer.Wire> wires = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(setup.client());
            sendRequest(clients.get(i));
            wires.add(backend.accept());
            wires.get(i).read();
        }
        setup.stopClock();
        for (int i = 0; i < 20; i++) {
            wires.get(i).write(OK);
            assertTrue(clients.get(i).read().endsWith("body"));
        }
        sendRequest(clients.get(0));
        Peer.Wire next = backend.accept();
        next.read();
        wires.get(0).write(OK);
        next.write(OK.replace("body", "next"));
        assertTrue(clients.get(0).read().endsWith("next"));
    }

    /** The loop may have stood still since the duplicate arrived, and not have read it yet. */
    @Test
    void duplicateThatWasNotReadYetIsNotServedToTheNextRequest() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire first = backend.accept();
            first.read();
            first.write(OK);
            assertTrue(client.read().endsWith("body"));
            client.write(Setup.getRequest());
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> {
                setup.advanceClock(20);
                writeAndAwaitArrival(first, OK);
                setup.actions.send(r.ticket(), server, 0);
            });
            Peer.Wire second = backend.accept();
            second.read();
            second.write(OK.replace("body", "next"));
            assertTrue(client.read().endsWith("next"));
        }
    }

    /** On loopback the bytes are in the other side's buffer once the write returns. */
    private static void writeAndAwaitArrival(Peer.Wire wire, String text) {
        try {
            wire.write(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A backend that sends second responses may send the next one later than a connection rests. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void connectionsOfABackendThatSentUnexpectedBytesCarryOneRequest(boolean isLate) throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire first = backend.accept();
            first.read();
            first.write(isLate ? OK : OK + OK);
            assertTrue(client.read().endsWith("body"));
            if (isLate) {
                first.write(OK);
            }
            assertTrue(first.ended());
            setup.awaitStatus("\"upstream_unexpected_bytes\":1,");
            for (int i = 0; i < 2; i++) {
                setup.advanceClock(20);
                sendRequest(client);
                Peer.Wire next = backend.accept();
                next.read();
                next.write(OK);
                assertTrue(client.read().endsWith("body"));
                assertTrue(next.ended());
            }
            setup.advanceClock(10_000);
            sendRequest(client);
            Peer.Wire kept = backend.accept();
            kept.read();
            kept.write(OK);
            assertTrue(client.read().endsWith("body"));
            setup.advanceClock(20);
            sendRequest(client);
            assertTrue(kept.read().startsWith("GET "), "reused, as no more such bytes came");
        }
    }

    /** The most recently used connection is the one that the backend is least likely to be closing. */
    @Test
    void nonRepeatableRequestUsesTheMostRecentConnection() throws Exception {
        try (Peer.Wire one = setup.client();
                Peer.Wire two = setup.client()) {
            sendRequest(one);
            Peer.Wire first = backend.accept();
            first.read();
            sendRequest(two);
            Peer.Wire second = backend.accept();
            second.read();
            first.write(OK);
            one.read();
            second.write(OK);
            two.read();
            setup.advanceClock(20);
            one.write(Setup.getRequest()
                    .replace("GET /look", "POST /pay")
                    .replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n"));
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            assertTrue(second.read().startsWith("POST /pay"));
        }
    }

    /**
     * Starts an attempt whose connection opens while the loop is blocked; returns the backend's end. The loop finds all
     * that happens until resume is counted down in one turn.
     */
    private Peer.Wire connectWhileLoopIsBlocked(Runnable send, CountDownLatch resume) throws Exception {
        setup.loop.execute(() -> {
            send.run();
            setup.loop.execute(() -> {
                try {
                    resume.await(20, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        });
        return backend.accept();
    }

    /** The loop finds the client's disconnect and the open connection in one turn. */
    @Test
    void requestIsNotSentIfItsClientDisconnectsDuringConnect() throws Exception {
        Peer.Wire client = setup.client();
        client.write(Setup.getRequest());
        Request r = setup.nextRequest();
        CountDownLatch resume = new CountDownLatch(1);
        Peer.Wire wire = connectWhileLoopIsBlocked(() -> setup.actions.send(r.ticket(), server, 0), resume);
        client.reset();
        resume.countDown();
        assertEquals(r.ticket(), setup.nextEvent("withdrawn", Integer.class));
        assertTrue(setup.nextOutcome().isFinal());
        assertEquals("", wire.read());
    }

    /** A repeat that is sent after the window in which the backend drops repeats might take effect twice. */
    @Test
    void repeatIsNotSentIfItConnectsTooLate() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest());
            Request r = setup.nextRequest();
            CountDownLatch resume = new CountDownLatch(1);
            Peer.Wire wire =
                    connectWhileLoopIsBlocked(() -> setup.actions.send(r.ticket(), server, 0, 100_000_000L), resume);
            setup.advanceClock(101);
            resume.countDown();
            assertEquals(Status.MOOT, setup.nextOutcome().status());
            assertEquals("", wire.read());
            setup.runOnLoop(() -> setup.actions.fail(r.ticket()));
            client.read();
        }
    }

    /** A backend starts a request at its last byte, so an earlier response cannot belong to this request. */
    @Test
    void responseBeforeTheEndOfTheRequestIsNotServed() throws Exception {
        try (Peer.Wire client = setup.client()) {
            // More than is buffered, but no more than the proxy reads before the attempt: the write must not block.
            client.write("POST /pay HTTP/1.1\r\nHost: api\r\nRequest-Id: ahead\r\nRequest-Timeout: 30\r\n"
                    + "Content-Length: " + (8 << 20) + "\r\n\r\n" + "x".repeat((1 << 20) + (64 << 10)));
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            Peer.Wire wire = backend.accept();
            wire.readUntil("\r\n\r\n");
            wire.write(OK);
            assertEquals(Status.CONNECT_FAILED, setup.nextOutcome().status());
            setup.runOnLoop(() -> setup.actions.refuse(r.ticket(), 0));
            assertTrue(client.read().startsWith("HTTP/1.1 503 "));
        }
    }

    @Test
    void partialMessageOnAnIdleConnectionClosesIt() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire first = backend.accept();
            first.read();
            first.write(OK);
            assertTrue(client.read().endsWith("body"));
            first.write("H");
            assertTrue(first.ended());
            sendRequest(client);
            backend.accept().read();
        }
    }

    /** A 4xx response is about the request: it ends the request and does not count against the backend. */
    @Test
    void clientErrorEndsTheRequestAtOnce() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire wire = backend.accept();
            wire.read();
            wire.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            assertTrue(client.read().startsWith("HTTP/1.1 404 "));
            Outcome o = setup.nextOutcome();
            assertEquals(Status.MOOT, o.status());
            assertTrue(o.isFinal());
        }
    }

    @Test
    void connectionLostAfterTheRequestIsAReset() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire wire = backend.accept();
            wire.read();
            wire.reset();
            assertEquals(Status.RESET, setup.nextOutcome().status());
            assertTrue(backend.hasNoNewConnection()); // no retry
        }
    }

    @Test
    void refusedConnectionIsConnectFailed() throws Exception {
        backend.close();
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            assertEquals(Status.CONNECT_FAILED, setup.nextOutcome().status());
        }
    }

    @Test
    void moduleTimeoutClosesTheConnection() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest());
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 300_000_000L));
            Peer.Wire wire = backend.accept();
            wire.read();
            Outcome o = setup.nextOutcome();
            assertEquals(Status.TIMEOUT, o.status());
            assertFalse(o.isFinal());
            assertTrue(wire.ended());
        }
    }

    @Test
    void cancelledAttemptClosesItsConnectionAndEndsOnce() throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request r = sendRequest(client);
            Peer.Wire wire = backend.accept();
            wire.read();
            setup.runOnLoop(() -> {
                setup.actions.cancel(r.ticket(), 0);
                setup.actions.cancel(r.ticket(), 0);
            });
            assertEquals(Status.CANCELLED, setup.nextOutcome().status());
            assertTrue(wire.ended());
            setup.runOnLoop(() -> setup.actions.refuse(r.ticket(), 1_200_000_000L));
            String answer = client.read();
            assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
            assertTrue(answer.contains("Retry-After: 1.200000\r\n"), answer);
            assertTrue(setup.moduleEvents.stream().noneMatch(t -> t.type().equals("outcome")));
        }
    }

    @Test
    void connectionClosedByTheBackendIsNotReused() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire wire = backend.accept();
            wire.read();
            wire.write(OK.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            client.read();
            assertEquals(Status.OK, setup.nextOutcome().status());
            assertTrue(wire.ended());
            sendRequest(client);
            Peer.Wire second = backend.accept();
            second.read();
            second.write(OK);
            assertTrue(client.read().endsWith("body"));
        }
    }

    @Test
    void attemptIsNotStartedWithoutAFreeDescriptor() throws Exception {
        setup.close();
        setup = new Setup()
                .start(Config.parse(
                        Setup.json(discovery.hostPort(), backend.hostPort(), 6, 5000),
                        Map.of())); // two descriptors for backends
        server = setup.listedServer();
        try (Peer.Wire first = setup.client();
                Peer.Wire second = setup.client();
                Peer.Wire third = setup.client()) {
            sendRequest(first);
            sendRequest(second);
            Request r = sendRequest(third);
            Outcome o = setup.nextOutcome();
            assertEquals(r.ticket(), o.ticket());
            assertEquals(Status.MOOT, o.status()); // does not count against the backend
        }
    }

    @Test
    void invalidLoadReportIsIgnored() {
        assertNull(LoadReport.parse(null));
        assertNull(LoadReport.parse("inflight=x"));
        assertNull(LoadReport.parse("util"));
        assertNull(LoadReport.parse("util=-1"));
        assertNull(LoadReport.parse("util=NaN"));
        assertNull(LoadReport.parse("util=1e300"));
        assertNull(LoadReport.parse("inflight=1e12,util=0.5"));
        assertNull(LoadReport.parse("=,="));
        assertEquals(0.5, LoadReport.parse("new=1, util=0.5").utilization());
    }

    /** A new process at the address of a backend that had gone, or had moved, got the requests of the old one. */
    @ParameterizedTest
    @CsvSource({"GONE, DELTA, false", "READY, DELTA, true", ", FULL, false"})
    void nothingIsSentToAnAddressThatItsBackendHasLeftWhileConnecting(State state, ListKind kind, boolean hasMoved)
            throws Exception {
        try (Peer.Wire client = setup.client();
                Peer other = new Peer();
                Peer.Wire watch = discovery.accept()) {
            watch.readUntil("\r\n\r\n"); // this connection is established, and the next one is that to the backend
            setup.onConnected = () -> {
                setup.onConnected = () -> {};
                ListedServer listed = new ListedServer(server, 0, state, 0, 3, 0, 1);
                InetSocketAddress address = hasMoved ? other.address() : backend.address();
                setup.proxy.apply(new ListUpdate(
                        kind, 43, state == null ? List.of() : List.of(new ListedBackend(listed, address))));
            };
            sendRequest(client);
            assertEquals("", backend.accept().read());
            assertEquals(Status.MOOT, setup.nextOutcome().status());
        }
    }
}
