package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.backend.LoadReport;
import gullspar.proxy.config.Config;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What comes back from a backend, and what the module is told of it. */
class BackendsTest extends LoopbackTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

    /** A request on its way: the module has sent it to the backend. */
    private Request sent(Peer.Wire client) throws Exception {
        client.write(Setup.get());
        Request r = setup.request();
        setup.act(() -> setup.actions.send(r.ticket(), server, 0));
        return r;
    }

    @Test
    void anAnswerGoesBackUnchangedAndTheConnectionIsUsedAgain() throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request r = sent(client);
            Peer.Wire wire = backend.accept();
            String request = wire.read();
            assertTrue(request.startsWith("GET /look/1?x=2 HTTP/1.1\r\n"), request);
            assertTrue(request.matches("(?s).*Request-Id: r\\d+\r\n.*"), request);
            assertTrue(request.matches("(?s).*Request-Timeout: 29\\.\\d+\r\n.*"), request);
            wire.write(OK.replace("Content", "Server-Load: inflight=7,util=0.61\r\nContent"));
            assertTrue(client.read().endsWith("\r\n\r\nbody"));
            Outcome o = setup.outcome();
            assertEquals(Status.OK, o.status());
            assertEquals(r.ticket(), o.ticket());
            assertTrue(o.isFinal());
            assertEquals(7, o.report().inflight());
            assertEquals(0.61, o.report().utilization());
            setup.passes(20);
            sent(client);
            wire.read(); // on the same connection
            wire.write(OK);
            assertTrue(client.read().endsWith("body"));
            assertTrue(backend.quiet());
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
    void onlyTheBackendsOwnWordProvesThatItNeverRan(String line, String header, Status status) throws Exception {
        try (Peer.Wire client = setup.client()) {
            sent(client);
            Peer.Wire wire = backend.accept();
            wire.read();
            wire.write("HTTP/1.1 " + line + "\r\n" + (header.isEmpty() ? "" : header + "\r\n")
                    + "Content-Length: 0\r\n\r\n");
            Outcome o = setup.outcome();
            assertEquals(status, o.status());
            assertFalse(o.isFinal());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 200 OK|Content-Length: 9||half",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|half|",
        "HTTP/1.1 200 OK||whole until the end?",
        "HTTP/1.1 200 OK|Content-Le",
        "rubbish|",
        "HTTP/1.1 200 OK|Content-Length: x||"
    })
    void anAnswerThatIsNotWholeIsAResetAndIsNotServed(String answer) throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request r = sent(client);
            Peer.Wire wire = backend.accept();
            wire.read();
            wire.write(answer.replace("|", "\r\n")).close();
            Outcome o = setup.outcome();
            assertEquals(Status.RESET, o.status());
            assertFalse(o.isFinal());
            setup.act(() -> setup.actions.fail(r.ticket()));
            assertTrue(client.read().startsWith("HTTP/1.1 502 "));
        }
    }

    /** The connection stays open: nothing but the bytes says that no answer will come of it. */
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
        "HTTP/1.1 200 OK||body",
        "HTTP/1.1 200 OK|Content-Length: 4||body and the rest of it",
        "HTTP/1.1 101 Switching Protocols||",
        "noise"
    })
    void aSpoiltAnswerIsAResetAtOnceAndItsConnectionIsOfNoUse(String answer) throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request r = sent(client);
            Peer.Wire wire = backend.accept();
            wire.read();
            wire.write(answer.replace("|", "\r\n"));
            Outcome o = setup.outcome();
            assertEquals(Status.RESET, o.status());
            assertFalse(o.isFinal());
            assertTrue(wire.ended());
            setup.act(() -> setup.actions.fail(r.ticket()));
            assertTrue(client.read().startsWith("HTTP/1.1 502 "));
        }
    }

    @Test
    void aHeadWithoutEndAndInterimAnswersWithoutEndAreResets() throws Exception {
        for (String endless : List.of("X-Pad: ppppppppppppppppppppppppp\r\n", "HTTP/1.1 103 Early\r\n\r\n")) {
            try (Peer.Wire client = setup.client()) {
                Request r = sent(client);
                Peer.Wire wire = backend.accept();
                wire.read();
                wire.write((endless.startsWith("X") ? "HTTP/1.1 200 OK\r\n" : "") + endless.repeat(400));
                assertEquals(Status.RESET, setup.outcome().status());
                setup.act(() -> setup.actions.fail(r.ticket()));
                assertTrue(client.read().startsWith("HTTP/1.1 502 "));
            }
        }
    }

    @Test
    void aSecondCopyBehindAGoodAnswerIsNeverTheAnswerToTheNextRequest() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sent(client);
            Peer.Wire first = backend.accept();
            first.read();
            first.write("HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n" + OK + OK.substring(0, OK.length() - 2));
            assertTrue(client.read().endsWith("\r\n\r\nbody"));
            assertEquals(Status.OK, setup.outcome().status());
            assertTrue(first.ended());
            sent(client);
            Peer.Wire second = backend.accept();
            second.read();
            second.write(OK.replace("body", "next"));
            assertTrue(client.read().endsWith("\r\n\r\nnext"));
        }
    }

    /** A backend that closes right behind its answer must not be written to before that is seen. */
    @Test
    void theConnectionIdleLongestIsUsedFirst() throws Exception {
        try (Peer.Wire one = setup.client();
                Peer.Wire two = setup.client()) {
            sent(one);
            Peer.Wire first = backend.accept();
            first.read();
            sent(two);
            Peer.Wire second = backend.accept();
            second.read();
            first.write(OK);
            assertTrue(one.read().endsWith("body"));
            second.write(OK);
            assertTrue(two.read().endsWith("body"));
            setup.passes(20);
            sent(one);
            assertTrue(first.read().startsWith("GET "));
        }
    }

    /**
     * A second answer to a request may come some milliseconds late: the next request must not be on that
     * connection by then.
     */
    @Test
    void aSecondAnswerThatComesLateIsNeverTheAnswerToTheNextRequest() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sent(client);
            Peer.Wire first = backend.accept();
            first.read();
            first.write(OK);
            assertTrue(client.read().endsWith("body"));
            sent(client); // at once
            Peer.Wire second = backend.accept();
            second.read();
            first.write(OK);
            assertTrue(first.ended());
            second.write(OK.replace("body", "next"));
            assertTrue(client.read().endsWith("next"));
        }
    }

    /** The idle connection that its backend is the least likely to be closing just then. */
    @Test
    void whatMayNotRunTwiceGoesOverTheConnectionUsedLast() throws Exception {
        try (Peer.Wire one = setup.client();
                Peer.Wire two = setup.client()) {
            sent(one);
            Peer.Wire first = backend.accept();
            first.read();
            sent(two);
            Peer.Wire second = backend.accept();
            second.read();
            first.write(OK);
            one.read();
            second.write(OK);
            two.read();
            setup.passes(20);
            one.write(
                    Setup.get().replace("GET /look", "POST /pay").replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n"));
            Request r = setup.request();
            setup.act(() -> setup.actions.send(r.ticket(), server, 0));
            assertTrue(second.read().startsWith("POST /pay"));
        }
    }

    /**
     * The module sends a request, and its connection comes up while the loop stands still: what happens until
     * go is found in the same turn as that.
     */
    private Peer.Wire comesUp(Runnable send, CountDownLatch go) throws Exception {
        setup.loop.execute(() -> {
            send.run();
            setup.loop.execute(() -> {
                try {
                    go.await(20, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        });
        return backend.accept();
    }

    /** Its client has left by the time that the connection is up: both are found in one turn. */
    @Test
    void aRequestWhoseClientLeavesWhileItsConnectionComesUpIsNotSent() throws Exception {
        Peer.Wire client = setup.client();
        client.write(Setup.get());
        Request r = setup.request();
        CountDownLatch go = new CountDownLatch(1);
        Peer.Wire wire = comesUp(() -> setup.actions.send(r.ticket(), server, 0), go);
        client.reset();
        go.countDown();
        assertEquals(r.ticket(), setup.next("withdrawn", Integer.class));
        assertTrue(setup.outcome().isFinal());
        assertEquals("", wire.read());
    }

    /** A repeat whose time has run out while its connection came up might take effect a second time. */
    @Test
    void aRepeatThatComesUpTooLateIsNotSent() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get());
            Request r = setup.request();
            CountDownLatch go = new CountDownLatch(1);
            Peer.Wire wire = comesUp(() -> setup.actions.send(r.ticket(), server, 0, 100_000_000L), go);
            setup.passes(101);
            go.countDown();
            assertEquals(Status.MOOT, setup.outcome().status());
            assertEquals("", wire.read());
            setup.act(() -> setup.actions.fail(r.ticket()));
            client.read();
        }
    }

    /** A backend begins with the last byte: what it says ahead of that is no answer to this request. */
    @Test
    void anAnswerAheadOfTheWholeRequestIsNotServed() throws Exception {
        try (Peer.Wire client = setup.client()) {
            String body = "x".repeat(8 << 20);
            client.write("POST /pay HTTP/1.1\r\nHost: api\r\nRequest-Id: ahead\r\nRequest-Timeout: 30\r\n"
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body.substring(0, 4 << 20));
            Request r = setup.request();
            setup.act(() -> setup.actions.send(r.ticket(), server, 0));
            Peer.Wire wire = backend.accept();
            wire.until("\r\n\r\n");
            wire.write(OK);
            assertEquals(Status.CONNECT_FAILED, setup.outcome().status());
            setup.act(() -> setup.actions.refuse(r.ticket(), 0));
            assertTrue(client.read().startsWith("HTTP/1.1 503 "));
        }
    }

    @Test
    void bytesOnAnIdleConnectionCloseItAlsoWhereTheyMakeNoMessage() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sent(client);
            Peer.Wire first = backend.accept();
            first.read();
            first.write(OK);
            assertTrue(client.read().endsWith("body"));
            first.write("H");
            assertTrue(first.ended());
            sent(client);
            backend.accept().read();
        }
    }

    /** A request that no backend can use is its client's trouble: no backend is the worse for it. */
    @Test
    void aRequestThatTheBackendCannotUseIsOverAtOnce() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sent(client);
            Peer.Wire wire = backend.accept();
            wire.read();
            wire.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            assertTrue(client.read().startsWith("HTTP/1.1 404 "));
            Outcome o = setup.outcome();
            assertEquals(Status.MOOT, o.status());
            assertTrue(o.isFinal());
        }
    }

    @Test
    void aConnectionThatDiesAfterTheRequestIsAReset() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sent(client);
            Peer.Wire wire = backend.accept();
            wire.read();
            wire.reset();
            assertEquals(Status.RESET, setup.outcome().status());
            assertTrue(backend.quiet()); // nothing was sent again
        }
    }

    @Test
    void aRefusedConnectionNeverRan() throws Exception {
        backend.close();
        try (Peer.Wire client = setup.client()) {
            sent(client);
            assertEquals(Status.CONNECT_FAILED, setup.outcome().status());
        }
    }

    @Test
    void aTimeoutIsTheModulesAndClosesTheConnection() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get());
            Request r = setup.request();
            setup.act(() -> setup.actions.send(r.ticket(), server, 300_000_000L));
            Peer.Wire wire = backend.accept();
            wire.read();
            Outcome o = setup.outcome();
            assertEquals(Status.TIMEOUT, o.status());
            assertFalse(o.isFinal());
            assertTrue(wire.ended());
        }
    }

    @Test
    void aCancelledAttemptClosesItsConnectionAndEndsOnce() throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request r = sent(client);
            Peer.Wire wire = backend.accept();
            wire.read();
            setup.act(() -> {
                setup.actions.cancel(r.ticket(), 0);
                setup.actions.cancel(r.ticket(), 0);
            });
            assertEquals(Status.CANCELLED, setup.outcome().status());
            assertTrue(wire.ended());
            setup.act(() -> setup.actions.refuse(r.ticket(), 1_200_000_000L));
            String answer = client.read();
            assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
            assertTrue(answer.contains("Retry-After: 1.200000\r\n"), answer);
            assertTrue(setup.told.stream().noneMatch(t -> t.what().equals("outcome")));
        }
    }

    @Test
    void anIdleConnectionThatTheBackendEndsIsNotUsed() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sent(client);
            Peer.Wire wire = backend.accept();
            wire.read();
            wire.write(OK.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            client.read();
            assertEquals(Status.OK, setup.outcome().status());
            assertTrue(wire.ended());
            sent(client);
            Peer.Wire second = backend.accept();
            second.read();
            second.write(OK);
            assertTrue(client.read().endsWith("body"));
        }
    }

    @Test
    void outOfDescriptorsAnAttemptFailsAndNeverRan() throws Exception {
        setup.close();
        setup = new Setup()
                .start(Config.parse(
                        Setup.json(discovery.hostPort(), backend.hostPort(), 6, 5000),
                        Map.of())); // two of them for backends
        server = setup.backend();
        try (Peer.Wire first = setup.client();
                Peer.Wire second = setup.client();
                Peer.Wire third = setup.client()) {
            sent(first);
            sent(second);
            Request r = sent(third);
            Outcome o = setup.outcome();
            assertEquals(r.ticket(), o.ticket());
            assertEquals(Status.MOOT, o.status()); // says nothing of the backend
        }
    }

    @Test
    void aReportThatMakesNoSenseIsNone() {
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
}
