package gullspar.site;

import static gullspar.site.ProxyFixture.GET;
import static gullspar.site.ProxyFixture.OK;
import static gullspar.site.ProxyFixture.status;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.proxy.Peer;
import gullspar.proxy.Peer.Wire;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Failing servers and clients: how often a request is sent, and that it gets one response. */
class FailuresTest {
    private static final String POST = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";

    /** Returns the connection to the server that got the request; the other server must have got none. */
    private static Wire acceptFirst(Peer a, Peer b) throws Exception {
        while (a.hasNoNewConnection() && b.hasNoNewConnection()) {
            Thread.onSpinWait();
        }
        return a.hasNoNewConnection() ? b.accept() : a.accept();
    }

    @Test
    void safeRequestIsRetriedOnAnotherServerAfterAReset() throws Exception {
        try (Peer a = new Peer();
                Peer b = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", a, b);
                Wire c = s.connect()) {
            c.write(GET);
            Wire w = acceptFirst(a, b);
            w.read();
            w.reset();
            Wire other = acceptFirst(a, b);
            other.read();
            other.write(OK);
            assertEquals("200", status(c.read()));
        }
    }

    @Test
    void unsafeRequestThatMayHaveRunIsNotRetried() throws Exception {
        try (Peer a = new Peer();
                Peer b = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", a, b);
                Wire c = s.connect()) {
            c.write(POST);
            Wire w = acceptFirst(a, b);
            w.read();
            w.reset();
            assertEquals("502", status(c.read()));
            assertTrue(a.hasNoNewConnection() && b.hasNoNewConnection());
        }
    }

    /** A client that waits as long as Retry-After says must come back while servers still drop its repeat. */
    @Test
    void refusalOfAKeyedRequestNamesAWaitThatEndsBeforeItsKeyIsForgotten() throws Exception {
        try (Peer a = new Peer();
                ProxyFixture s = new ProxyFixture(ProxyFixture.LISTENER + "[limits]\nretry_after_s = 200\n"
                        + ProxyFixture.poolConfig("class = \"keyed\"\nremembered_s = 100\nattempts = 1", a));
                Wire c = s.connect()) {
            c.write("POST / HTTP/1.1\r\nHost: a\r\nIdempotency-Key: 7\r\nContent-Length: 1\r\n\r\nx");
            Wire w = a.accept();
            w.read();
            w.reset();
            String refused = c.read();
            assertEquals("503", status(refused));
            Matcher wait = Pattern.compile("(?i)retry-after: (\\d+)").matcher(refused);
            assertTrue(wait.find() && Integer.parseInt(wait.group(1)) < 100, refused);
        }
    }

    @Test
    void keyedRouteRetriesOnlyWithAnIdempotencyKey() throws Exception {
        try (Peer a = new Peer();
                Peer b = new Peer();
                ProxyFixture s = ProxyFixture.withPool("class = \"keyed\"", a, b);
                Wire c = s.connect()) {
            c.write(POST);
            Wire w = acceptFirst(a, b);
            w.read();
            w.reset();
            assertEquals("502", status(c.read()), "without a key a retry could run twice");
            c.write("POST / HTTP/1.1\r\nHost: a\r\nIdempotency-Key: 7\r\nContent-Length: 1\r\n\r\nx");
            w = acceptFirst(a, b);
            w.read();
            w.reset();
            Wire other = acceptFirst(a, b);
            assertTrue(other.read().contains("7"));
            other.write(OK);
            assertEquals("200", status(c.read()));
        }
    }

    @Test
    void unreachableServerIsEjectedForATime() throws Exception {
        Peer dead = new Peer();
        String deadAddress = dead.hostPort();
        dead.close();
        try (Peer a = new Peer();
                ProxyFixture s = new ProxyFixture(ProxyFixture.LISTENER
                        + ProxyFixture.poolConfig("", a)
                                .replace("[[host]]", "[[pool.server]]\naddress = \"" + deadAddress + "\"\n[[host]]"));
                Wire c = s.connect()) {
            for (int i = 0; i < 4; i++) {
                c.write(POST);
                if (i == 0) {
                    Wire w = a.accept();
                    serve(w, 4);
                }
                assertEquals("200", status(c.read()), "unsafe, but the first attempt cannot have run");
            }
            s.awaitLogLine("ejected, failure limit reached");
        }
    }

    /** Answers count requests on a thread of its own. */
    private static void serve(Wire w, int count) {
        Thread t = new Thread(() -> {
            try {
                for (int i = 0; i < count; i++) {
                    w.read();
                    w.write(OK);
                }
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        t.setDaemon(true);
        t.start();
    }

    @Test
    void statusInRetryOnCountsAsAFailure() throws Exception {
        try (Peer a = new Peer();
                Peer b = new Peer();
                ProxyFixture s = ProxyFixture.withPool("retry_on = [\"500\"]", a, b);
                Wire c = s.connect()) {
            c.write(GET);
            Wire w = acceptFirst(a, b);
            w.read();
            w.write("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
            Wire other = acceptFirst(a, b);
            other.read();
            other.write("HTTP/1.1 503 Not me\r\nContent-Length: 0\r\n\r\n");
            assertEquals("503", status(c.read()), "a status outside retry_on is forwarded");
        }
    }

    @Test
    void noRetryOnceTheResponseHasStarted() throws Exception {
        try (Peer a = new Peer();
                Peer b = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", a, b);
                Wire c = s.connect()) {
            c.write(GET);
            Wire w = acceptFirst(a, b);
            w.read();
            w.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
            assertTrue(c.readUntil("abc").endsWith("abc"));
            w.reset();
            assertTrue(c.ended());
            assertTrue(a.hasNoNewConnection() && b.hasNoNewConnection());
        }
    }

    @Test
    void silentServerIsAbandonedAtTheDeadline() throws Exception {
        try (Peer a = new Peer();
                ProxyFixture s = ProxyFixture.withPool("deadline_ms = 200\nclass = \"unsafe\"", a);
                Wire c = s.connect()) {
            c.write(GET);
            Wire w = a.accept();
            w.read();
            String answer = c.read();
            assertTrue(List.of("502", "504").contains(status(answer)), answer);
            assertTrue(w.ended(), "the attempt is cancelled");
        }
    }

    @Test
    void attemptTimeoutLeadsToARetry() throws Exception {
        try (Peer a = new Peer();
                Peer b = new Peer();
                ProxyFixture s = ProxyFixture.withPool("deadline_ms = 20000\nattempt_ms = 100", a, b);
                Wire c = s.connect()) {
            c.write(GET);
            Wire w = acceptFirst(a, b);
            w.read();
            Wire other = acceptFirst(a, b);
            other.read();
            other.write(OK);
            assertEquals("200", status(c.read()));
        }
    }

    @Test
    void refusalCarriesRetryAfter() throws Exception {
        Peer dead = new Peer();
        String deadAddress = dead.hostPort();
        dead.close();
        try (ProxyFixture s = new ProxyFixture(ProxyFixture.LISTENER
                        + "[limits]\nretry_after_s = 2.5\n[[pool]]\nname = \"p\"\n"
                        + "[[pool.server]]\naddress = \"" + deadAddress
                        + "\"\n[[host]]\ndefault = true\n[[host.route]]\n"
                        + "path = \"/\"\npool = \"p\"\n");
                Wire c = s.connect()) {
            c.write(POST);
            String answer = c.read();
            assertEquals("503", status(answer));
            assertTrue(answer.contains("etry-after: 3\r\n"), answer);
        }
    }

    @Test
    void clientDisconnectCancelsTheAttempt() throws Exception {
        try (Peer a = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", a)) {
            Wire c = s.connect();
            c.write(GET);
            Wire w = a.accept();
            w.read();
            c.close();
            assertTrue(w.ended());
            Wire next = s.connect();
            next.write(GET);
            Wire again = a.accept();
            again.read();
            again.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na");
            assertTrue(next.readUntil("\r\n\r\na").endsWith("a"));
            next.close();
            assertTrue(again.ended(), "also while its response is being forwarded");
        }
    }

    @Test
    void slowReaderDelaysOnlyItsOwnServerConnection() throws Exception {
        try (Peer a = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", a);
                Wire slow = s.connect()) {
            slow.write(GET);
            Wire w = a.accept();
            w.read();
            long size = 1L << 30;
            w.write("HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n");
            AtomicLong written = new AtomicLong();
            Thread t = new Thread(() -> {
                String piece = "a".repeat(1 << 16);
                try {
                    while (written.get() < size) {
                        w.write(piece);
                        written.addAndGet(piece.length());
                    }
                } catch (IOException e) {
                    // the test is over
                }
            });
            t.setDaemon(true);
            t.start();
            try (Wire other = s.connect()) {
                for (int i = 0; i < 50; i++) {
                    other.write(GET);
                    if (i == 0) {
                        serve(a.accept(), 50);
                    }
                    assertEquals("200", status(other.read()));
                }
            }
            assertTrue(written.get() < 64 << 20, "most of it is still at the server: " + written);
            assertTrue(slow.readBytes(1 << 20).length() == 1 << 20, "the rest arrives when the client reads it");
        }
    }

    @Test
    void maxConnectionsOfAServerIsKept() throws Exception {
        try (Peer a = new Peer();
                ProxyFixture s = new ProxyFixture(ProxyFixture.LISTENER
                        + ProxyFixture.poolConfig("", a).replace("[[host]]", "max_connections = 2\n[[host]]"));
                Wire c1 = s.connect();
                Wire c2 = s.connect();
                Wire c3 = s.connect()) {
            c1.write(GET);
            Wire w1 = a.accept();
            w1.read();
            c2.write(GET);
            Wire w2 = a.accept();
            w2.read();
            c3.write(GET);
            w1.write(OK);
            assertEquals("200", status(c1.read()));
            assertTrue(w1.read().startsWith("GET"), "the third request waited for a free connection");
            w1.write(OK);
            assertEquals("200", status(c3.read()));
            assertTrue(a.hasNoNewConnection());
            w2.write(OK);
            assertEquals("200", status(c2.read()));
        }
    }

    @Test
    void backupsServeWhileNoPrimaryIsAvailable() throws Exception {
        Peer dead = new Peer();
        String deadAddress = dead.hostPort();
        dead.close();
        try (Peer a = new Peer();
                ProxyFixture s = new ProxyFixture(ProxyFixture.LISTENER
                        + ProxyFixture.poolConfig("", a)
                                .replace(
                                        "[[host]]",
                                        "backup = true\n[[pool.server]]\naddress = \"" + deadAddress
                                                + "\"\n[[host]]"));
                Wire c = s.connect()) {
            c.write(GET);
            Wire w = a.accept();
            w.read();
            w.write(OK);
            assertEquals("200", status(c.read()));
        }
    }

    @Test
    void sharesFollowTheWeights() throws Exception {
        try (Peer a = new Peer();
                Peer b = new Peer();
                ProxyFixture s = new ProxyFixture(ProxyFixture.LISTENER
                        + ProxyFixture.poolConfig("", a, b)
                                .replace("\"" + b.hostPort() + "\"", "\"" + b.hostPort() + "\"\nweight = 3"));
                Wire c = s.connect()) {
            AtomicIntegerArray got = new AtomicIntegerArray(2);
            serveAndCount(a, 0, got);
            serveAndCount(b, 1, got);
            for (int i = 0; i < 400; i++) {
                c.write(GET);
                assertEquals("200", status(c.read()));
            }
            assertEquals(100, got.get(0));
            assertEquals(300, got.get(1));
        }
    }

    private static void serveAndCount(Peer p, int index, AtomicIntegerArray got) {
        Thread t = new Thread(() -> {
            try {
                Wire w = p.accept();
                while (!w.read().isEmpty()) {
                    got.incrementAndGet(index);
                    w.write(OK);
                }
            } catch (IOException | InterruptedException e) {
                // the test is over
            }
        });
        t.setDaemon(true);
        t.start();
    }
}
