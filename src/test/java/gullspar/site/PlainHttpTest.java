package gullspar.site;

import static gullspar.site.ProxyFixture.OK;
import static gullspar.site.ProxyFixture.status;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.proxy.Peer;
import gullspar.proxy.Peer.Wire;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plain HTTP/1.1: what the proxy forwards to servers and back to clients. */
class PlainHttpTest {
    /** The value of a header field in a head; null if it is absent. */
    private static String header(String head, String name) {
        return head.lines()
                .filter(l -> l.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(l -> l.substring(name.length() + 1).trim())
                .findFirst()
                .orElse(null);
    }

    @Test
    void minimalRequestAndResponseAreForwarded() throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", server);
                Wire c = s.connect()) {
            c.write("GET /a%20b?x=1 HTTP/1.1\r\nHost: shop\r\n\r\n");
            Wire w = server.accept();
            String got = w.read();
            assertTrue(got.startsWith("GET /a%20b?x=1 HTTP/1.1\r\n"), got);
            assertEquals("shop", header(got, "Host"));
            assertEquals(32, header(got, "Request-Id").length());
            assertEquals("127.0.0.1", header(got, "X-Forwarded-For"));
            assertEquals("http", header(got, "X-Forwarded-Proto"));
            assertEquals("shop", header(got, "X-Forwarded-Host"));
            assertEquals("for=127.0.0.1;host=\"shop\";proto=http", header(got, "Forwarded"));
            assertEquals("1.1 gullspar", header(got, "Via"));
            assertEquals(null, header(got, "Content-Length"));
            w.write("HTTP/1.1 201 Created\r\nContent-Length: 2\r\nX-Own: 1\r\nConnection: X-Hop\r\n"
                    + "X-Hop: 1\r\n\r\nok");
            String answer = c.read();
            assertEquals("201", status(answer));
            assertEquals("1", header(answer, "X-Own"));
            assertEquals(null, header(answer, "X-Hop"));
            assertEquals("1.1 gullspar", header(answer, "Via"));
            assertTrue(answer.endsWith("ok"));
        }
    }

    @Test
    void hopByHopHeadersAreNotForwarded() throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", server);
                Wire c = s.connect()) {
            c.write("GET / HTTP/1.1\r\nHost: a\r\nConnection: X-Mine, Cookie\r\nX-Mine: 1\r\nCookie: k=v\r\n"
                    + "TE: trailers\r\nUpgrade: h2c\r\nKeep-Alive: 5\r\nX-Stays: 1\r\n"
                    + "X-Forwarded-For: 6.6.6.6\r\nForwarded: for=6.6.6.6\r\nX-Real-IP: 6.6.6.6\r\n\r\n");
            String got = server.accept().read();
            for (String gone : List.of("X-Mine", "TE", "Upgrade", "Keep-Alive", "Connection", "X-Real-IP")) {
                assertEquals(null, header(got, gone), gone);
            }
            assertEquals("k=v", header(got, "Cookie"));
            assertEquals("1", header(got, "X-Stays"));
            assertFalse(got.contains("6.6.6.6"), got);
        }
    }

    @Test
    void forwardingHeadersAreAppendedToWhenConfigured() throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = new ProxyFixture(
                        "forwarded = \"append\"\n" + ProxyFixture.LISTENER + ProxyFixture.poolConfig("", server));
                Wire c = s.connect()) {
            c.write("GET / HTTP/1.1\r\nHost: a\r\nX-Forwarded-For: 6.6.6.6\r\nX-Forwarded-Proto: https\r\n"
                    + "Via: 1.0 other\r\n\r\n");
            String got = server.accept().read();
            assertEquals("6.6.6.6, 127.0.0.1", header(got, "X-Forwarded-For"));
            assertEquals("https", header(got, "X-Forwarded-Proto"));
            assertEquals("1.0 other, 1.1 gullspar", header(got, "Via"));
        }
    }

    @Test
    void chunkedRequestGetsALengthAndKeepsTrailers() throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", server);
                Wire c = s.connect()) {
            c.write("PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
                    + "0\r\n\r\n");
            Wire w = server.accept();
            String got = w.read();
            assertTrue(got.endsWith("\r\n\r\nabcde"), got);
            w.write(OK);
            c.read();
            c.write("PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
                    + "X-Sum: 7\r\n\r\n");
            assertEquals("chunked", header(w.read(), "Transfer-Encoding"));
            assertEquals("3\r\nabc\r\n0\r\nX-Sum: 7\r\n\r\n", w.readBytes(23));
        }
    }

    @Test
    void expectContinueIsAnsweredWithContinue() throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", server);
                Wire c = s.connect()) {
            c.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
            assertEquals("100", status(c.read()));
            c.write("abc");
            Wire w = server.accept();
            String got = w.read();
            assertEquals(null, header(got, "Expect"));
            w.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + OK);
            assertEquals("200", status(c.read()));
        }
    }

    @Test
    void responseToHeadHasALengthAndNoBody() throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", server);
                Wire c = s.connect()) {
            c.write("HEAD / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n");
            Wire w = server.accept();
            assertTrue(w.read().startsWith("HEAD / "));
            w.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
            assertTrue(w.read().startsWith("GET / "), "on the same connection");
            w.write(OK);
            String head = c.readBytes(20);
            assertTrue(head.startsWith("HTTP/1.1 200 OK"), head);
            String rest = c.readUntil("ok");
            assertTrue(rest.contains("ontent-length: 5\r\n") || rest.contains("ontent-Length: 5\r\n"), rest);
            assertTrue(rest.contains("\r\n\r\nHTTP/1.1 200 OK"), rest);
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", server);
                Wire c = s.connect()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 100; i++) {
                all.append("POST /")
                        .append(i)
                        .append(" HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n ")
                        .append(i % 10);
            }
            c.write(all.toString());
            Wire w = server.accept();
            for (int i = 0; i < 100; i++) {
                assertTrue(w.read().startsWith("POST /" + i + " "));
                w.write("HTTP/1.1 200 OK\r\nContent-Length: " + (i + "").length() + "\r\n\r\n" + i);
            }
            for (int i = 0; i < 100; i++) {
                assertTrue(c.read().endsWith("\r\n\r\n" + i));
            }
        }
    }

    @Test
    void clientsOfHttp10GetNoChunks() throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", server);
                Wire c = s.connect()) {
            c.write("GET / HTTP/1.0\r\n\r\n");
            Wire w = server.accept();
            w.read();
            w.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
            String answer = c.read();
            assertEquals("close", header(answer, "Connection"));
            assertEquals(null, header(answer, "Transfer-Encoding"));
            assertEquals("abc", c.readBytes(3));
            assertTrue(c.ended());
        }
    }

    @Test
    void responseDelimitedByCloseIsForwardedChunked() throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", server);
                Wire c = s.connect()) {
            c.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            Wire w = server.accept();
            w.read();
            w.write("HTTP/1.0 200 OK\r\n\r\nabc");
            w.close();
            assertEquals("chunked", header(c.read(), "Transfer-Encoding"));
            assertEquals("3\r\nabc\r\n0\r\n\r\n", c.readBytes(13));
        }
    }

    @Test
    void responseTrailersAreForwarded() throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", server);
                Wire c = s.connect()) {
            c.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            Wire w = server.accept();
            w.read();
            w.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-T: 1\r\n\r\n");
            c.read();
            assertEquals("1\r\na\r\n0\r\nX-T: 1\r\n\r\n", c.readBytes(19));
        }
    }

    @Test
    void bodiesBeyondTheRouteLimitAreRejected() throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("body_kb = 1", server)) {
            try (Wire c = s.connect()) {
                c.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1025\r\n\r\n");
                assertEquals("413", status(c.read()));
                assertTrue(c.ended());
            }
            try (Wire c = s.connect()) {
                c.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n" + "a".repeat(1024)
                        + "\r\n1\r\na\r\n0\r\n\r\n");
                assertEquals("413", status(c.read()));
                assertTrue(c.ended());
            }
            assertTrue(server.hasNoNewConnection());
        }
    }

    @Test
    void bodiesShareOneBudget() throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = new ProxyFixture(ProxyFixture.LISTENER + "[limits]\nbodies_mb = 0.0625\n"
                        + ProxyFixture.poolConfig("", server));
                Wire first = s.connect();
                Wire second = s.connect();
                Wire third = s.connect()) {
            first.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n" + "a".repeat(40_000));
            Wire w = server.accept();
            w.read();
            second.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n" + "a".repeat(40_000));
            String refused = second.read();
            assertEquals("503", status(refused));
            assertEquals("1", header(refused, "Retry-After"));
            w.write(OK);
            assertEquals("200", status(first.read()));
            third.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n" + "a".repeat(40_000));
            w.read();
            w.write(OK);
            assertEquals("200", status(third.read()), "the budget of a completed request is released");
            third.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n" + "a".repeat(90_000));
            assertEquals("413", status(third.read()), "larger than the whole budget");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\nabc",
                "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "0\r\n\r\n",
                "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc",
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc",
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc",
                "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n\t2\r\n\r\n",
                "GET / HTTP/1.1\nHost: a\n\n",
                "GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n",
                "GET / HTTP/1.1\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: a b\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: a\r\nnocolon\r\n\r\n",
                "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n",
                "GET /%00 HTTP/1.1\r\nHost: a\r\n\r\n",
                "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n",
                "GET /../a HTTP/1.1\r\nHost: a\r\n\r\n",
                "GET a HTTP/1.1\r\nHost: a\r\n\r\n",
                "GET ftp://a/ HTTP/1.1\r\nHost: a\r\n\r\n",
                "GET /#a HTTP/1.1\r\nHost: a\r\n\r\n",
                "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n",
                "GET / HTTP/1.2\r\nHost: a\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: a\r\nExpect: magic\r\n\r\n"
            })
    void ambiguousRequestsAreRejectedAndClosed(String text) throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", server);
                Wire c = s.connect()) {
            c.write(text);
            assertTrue(List.of("400", "501", "505", "417").contains(status(c.read())));
            assertTrue(c.ended());
            assertTrue(server.hasNoNewConnection());
        }
    }

    @Test
    void absoluteTargetDeterminesTheHost() throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", server);
                Wire c = s.connect()) {
            c.write("GET http://other:81/x?y HTTP/1.1\r\nHost: a\r\n\r\n");
            String got = server.accept().read();
            assertTrue(got.startsWith("GET /x?y HTTP/1.1"), got);
            assertEquals("other:81", header(got, "Host"));
        }
    }

    @Test
    void headSentByteByByteIsParsed() throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", server);
                Wire c = s.connect()) {
            String text = "\r\nPOST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n\r\n odd\r\n\r\n";
            for (int i = 0; i < text.length(); i++) {
                c.write(text.substring(i, i + 1));
            }
            Wire w = server.accept();
            assertTrue(w.read().endsWith("\r\n\r\n\r\n odd\r\n\r\n"));
            w.write(OK);
            assertEquals("200", status(c.read()));
        }
    }

    @Test
    void routesWithFixedAnswers() throws Exception {
        String answers = "[[host.route]]\npath = \"/old\"\nanswer = { status = 301, "
                + "location = \"https://${host}${uri}\" }\n[[host.route]]\npath = \"/gone\"\n"
                + "answer = { status = 410, body = \"no ${arg.x}\", headers = { set = { X-A = \"1\" } } }\n"
                + "[[host.route]]\nmatch = \"exact\"\npath = \"/post\"\nmethods = [\"POST\", \"PUT\"]\n"
                + "pool = \"p\"\n";
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool(answers, server);
                Wire c = s.connect()) {
            c.write("GET /old/a?b HTTP/1.1\r\nHost: Shop:80\r\n\r\n");
            assertEquals("https://shop/old/a?b", header(c.read(), "Location"));
            c.write("GET /gone?x=7 HTTP/1.1\r\nHost: a\r\n\r\n");
            String goneResponse = c.read();
            assertTrue(goneResponse.endsWith("\r\n\r\nno 7"), goneResponse);
            assertEquals("1", header(goneResponse, "X-A"));
            c.write("GET /post HTTP/1.1\r\nHost: a\r\n\r\n");
            String methodNotAllowed = c.read();
            assertEquals("405", status(methodNotAllowed));
            assertEquals("POST, PUT", header(methodNotAllowed, "Allow"));
            c.write("POST /gone HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc");
            assertEquals("close", header(c.read(), "Connection"), "the unread body ends the connection");
            assertTrue(c.ended());
        }
    }

    @Test
    void routeRewritesHeadersAndPaths() throws Exception {
        String route = "rewrite = { to = \"/v1 \u00e9/\" }\nrequest_headers = { set = { X-Client = \"${client}\", "
                + "X-Empty = \"${arg.none}\", Host = \"inside\" }, remove = [\"X-Out\"] }\n"
                + "answer_headers = { set = { X-Route = \"${route}\" }, remove = [\"X-Powered-By\"] }\n";
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool(route, server);
                Wire c = s.connect()) {
            c.write("GET /a%2Fb?q HTTP/1.1\r\nHost: a\r\nX-Out: 1\r\nX-Empty: 1\r\n\r\n");
            Wire w = server.accept();
            String got = w.read();
            assertTrue(got.startsWith("GET /v1%20%C3%A9/a/b?q HTTP/1.1"), got);
            assertEquals("127.0.0.1", header(got, "X-Client"));
            assertEquals("inside", header(got, "Host"));
            assertEquals(null, header(got, "X-Out"));
            assertEquals(null, header(got, "X-Empty"));
            w.write("HTTP/1.1 200 OK\r\nX-Powered-By: x\r\nContent-Length: 0\r\n\r\n");
            String answer = c.read();
            assertEquals("/", header(answer, "X-Route"));
            assertEquals(null, header(answer, "X-Powered-By"));
        }
    }
}
