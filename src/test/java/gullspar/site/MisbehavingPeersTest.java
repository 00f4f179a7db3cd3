package gullspar.site;

import static gullspar.site.ProxyFixture.GET;
import static gullspar.site.ProxyFixture.OK;
import static gullspar.site.ProxyFixture.status;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.proxy.Peer;
import gullspar.proxy.Peer.Wire;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Servers and clients that violate the protocol: each request gets one response, and no response gets mixed up
 * with another.
 */
class MisbehavingPeersTest {
    private static final String POST = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";

    @ParameterizedTest
    @ValueSource(
            strings = {
                "garbage\r\n\r\n",
                "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
                "HTTP/2.0 200 OK\r\n\r\n",
                "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
                "HTTP/1.1 abc OK\r\n\r\n",
                "\u0000\u0001\u0002",
                "",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
                        + "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
                        + "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
            })
    void malformedResponseFailsAnUnsafeRequestWithoutRetry(String text) throws Exception {
        try (Peer a = new Peer();
                Peer b = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", a, b);
                Wire c = s.connect()) {
            c.write(POST);
            while (a.hasNoNewConnection() && b.hasNoNewConnection()) {
                Thread.onSpinWait();
            }
            Wire w = a.hasNoNewConnection() ? b.accept() : a.accept();
            w.read();
            w.write(text);
            w.close();
            assertEquals("502", status(c.read()));
            assertTrue(a.hasNoNewConnection() && b.hasNoNewConnection());
        }
    }

    @Test
    void endlessResponseHeadsAreAborted() throws Exception {
        try (Peer a = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", a);
                Wire c = s.connect()) {
            c.write(POST);
            Wire w = a.accept();
            w.read();
            w.write("HTTP/1.1 200 OK\r\n");
            for (int i = 0; i < 10_000 && a.hasNoNewConnection(); i++) {
                try {
                    w.write("X-" + i + ": aaaaaaaaaaaaaaaa\r\n");
                } catch (IOException e) {
                    break; // the expected end: the proxy closed the connection
                }
            }
            assertEquals("502", status(c.read()));
        }
    }

    @Test
    void bytesAfterAResponseAreNotTheNextResponse() throws Exception {
        try (Peer a = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", a);
                Wire c = s.connect()) {
            c.write(GET);
            Wire w = a.accept();
            w.read();
            w.write(OK + "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret");
            assertTrue(c.read().endsWith("ok"));
            c.write(GET);
            Wire next = a.accept();
            next.read();
            next.write(OK);
            assertTrue(c.read().endsWith("ok"), "on another connection");
            assertTrue(w.ended());
        }
    }

    @Test
    void unexpectedBytesOnAnIdleConnectionCloseIt() throws Exception {
        try (Peer a = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", a);
                Wire c = s.connect()) {
            c.write(GET);
            Wire w = a.accept();
            w.read();
            w.write(OK);
            c.read();
            w.write("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret");
            assertTrue(w.ended());
            c.write(GET);
            Wire next = a.accept();
            next.read();
            next.write(OK);
            assertTrue(c.read().endsWith("ok"));
        }
    }

    /** A server that sends second responses may send the next one when another request is on its connection. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void connectionsOfAServerThatSentUnexpectedBytesCarryOneRequest(boolean isLate) throws Exception {
        try (Peer a = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", a);
                Wire c = s.connect()) {
            c.write(GET);
            Wire first = a.accept();
            first.read();
            first.write(isLate ? OK : OK + OK);
            assertEquals("200", status(c.read()));
            if (isLate) {
                first.write(OK);
            }
            s.awaitLogLine("sent bytes that belong to no response");
            assertTrue(first.ended());
            for (int i = 0; i < 2; i++) {
                c.write(GET);
                Wire next = a.accept();
                next.read();
                next.write(OK);
                assertEquals("200", status(c.read()));
                assertTrue(next.ended());
            }
        }
    }

    @Test
    void responseBeforeTheRequestEndIsForwardedAndTheConnectionNotReused() throws Exception {
        try (Peer a = new Peer();
                ProxyFixture s = ProxyFixture.withPool("body_kb = 8192", a);
                Wire c = s.connect()) {
            int size = 6 << 20;
            String request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + size + "\r\n\r\n" + "x".repeat(size);
            // Asynchronously: the kernel may not accept all of it before the proxy discards the rest.
            FutureTask<Wire> upload = new FutureTask<>(() -> c.write(request));
            new Thread(upload).start();
            Wire w = a.accept();
            w.readUntil("\r\n\r\n");
            w.write("HTTP/1.1 413 Too much\r\nContent-Length: 0\r\n\r\n");
            assertEquals("413", status(c.read()));
            upload.get(20, TimeUnit.SECONDS);
            c.write(GET);
            Wire next = a.accept();
            assertTrue(next.read().startsWith("GET"));
            next.write(OK);
            assertEquals("200", status(c.read()));
        }
    }

    @Test
    void headerValuesCannotInjectLines() throws Exception {
        String route = "[[host.route]]\npath = \"/to\"\nanswer = { status = 302, location = \"/x${arg.a}\" }\n"
                + "[[host.route]]\nmatch = \"regex\"\npath = \"^/r/(.*)$\"\npool = \"p\"\n"
                + "request_headers = { set = { X-Path = \"${1}\" } }\n";
        try (Peer a = new Peer();
                ProxyFixture s = ProxyFixture.withPool(route, a);
                Wire c = s.connect()) {
            c.write("GET /to?a=%0d%0aSet-Cookie:x HTTP/1.1\r\nHost: a\r\n\r\n");
            assertFalse(c.read().contains("\nSet-Cookie"));
            c.write("GET /r/a%0d%0aX-Evil:%201 HTTP/1.1\r\nHost: a\r\n\r\n");
            String got = a.accept().read();
            assertFalse(got.contains("\nX-Evil"), got);
        }
    }

    /** Random bytes: every connection is answered or closed, and the next client is served. */
    @Test
    void randomBytesCloseOnlyTheirOwnConnection() throws Exception {
        Random random = new Random(23);
        try (Peer a = new Peer();
                ProxyFixture s = new ProxyFixture(
                        "[limits]\nrequest_s = 0.2\n" + ProxyFixture.LISTENER + ProxyFixture.poolConfig("", a))) {
            for (int i = 0; i < 150; i++) {
                byte[] bytes = new byte[random.nextInt(400)];
                random.nextBytes(bytes);
                String text = new String(bytes, StandardCharsets.ISO_8859_1);
                try (Wire c = s.connect()) {
                    c.write(i % 2 == 0 ? text : "GET / HTTP/1.1\r\nHost: " + text.replace("\n", "") + "\n\r\n");
                    c.readUntil("\u0000no such end");
                } catch (IOException e) {
                    // reset while writing: the connection was closed, too
                }
            }
            assertTrue(a.hasNoNewConnection());
            try (Wire c = s.connect()) {
                c.write(GET);
                Wire w = a.accept();
                w.read();
                w.write(OK);
                assertEquals("200", status(c.read()));
            }
        }
    }

    @Test
    void incompleteRequestsTimeOut() throws Exception {
        try (Peer a = new Peer();
                ProxyFixture s = new ProxyFixture("[limits]\nrequest_s = 0.2\nidle_s = 0.2\n" + ProxyFixture.LISTENER
                        + ProxyFixture.poolConfig("", a));
                Wire half = s.connect();
                Wire silent = s.connect();
                Wire body = s.connect()) {
            half.write("GET / HTTP/1.1\r\nHo");
            body.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab");
            assertEquals("408", status(half.read()));
            assertEquals("408", status(body.read()));
            assertTrue(silent.ended());
            assertTrue(a.hasNoNewConnection());
        }
    }

    @Test
    void poolFollowsDiscovery() throws Exception {
        try (Peer discovery = new Peer();
                Peer a = new Peer();
                ProxyFixture s = new ProxyFixture(ProxyFixture.LISTENER
                        + "[[pool]]\nname = \"p\"\ndiscovery = \"" + discovery.hostPort() + "\"\n[[host]]\n"
                        + "default = true\n[[host.route]]\npath = \"/\"\npool = \"p\"\n");
                Wire c = s.connect()) {
            c.write(GET);
            Wire watch = discovery.accept();
            watch.read();
            line(
                    watch,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "{\"generation\":1,\"reset\":true,"
                            + "\"instances\":[{\"instanceId\":\"i\",\"hostPort\":\"" + a.hostPort()
                            + "\",\"zone\":\"z\","
                            + "\"machineType\":\"m\",\"cell\":0,\"lifecycle\":\"in_service\",\"weight\":1,"
                            + "\"startedAtMs\":0}]}\n");
            Wire w = a.accept();
            w.read();
            w.write(OK);
            assertEquals("200", status(c.read()));
            line(
                    watch,
                    "",
                    "{\"generation\":2,\"instances\":[{\"instanceId\":\"i\",\"hostPort\":\"" + a.hostPort()
                            + "\",\"lifecycle\":\"terminating\"}]}\n");
            assertTrue(w.ended(), "a draining server gets no new request");
        }
    }

    private static void line(Wire w, String head, String text) throws IOException {
        w.write(head + Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    @Test
    void idleConnectionsAreLimitedToKeepAlive() throws Exception {
        try (Peer a = new Peer();
                ProxyFixture s = new ProxyFixture(ProxyFixture.LISTENER
                        + ProxyFixture.poolConfig("", a)
                                .replace("[[host]]", "")
                                .replace("name = \"p\"", "name = \"p\"\nkeep_alive = 0")
                                .replace("default = true", "[[host]]\ndefault = true"));
                Wire c = s.connect()) {
            c.write(GET);
            Wire w = a.accept();
            w.read();
            w.write(OK);
            assertEquals("200", status(c.read()));
            assertTrue(w.ended());
        }
    }
}
