package gullspar.site;

import static gullspar.site.ProxyFixture.GET;
import static gullspar.site.ProxyFixture.OK;
import static gullspar.site.ProxyFixture.status;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.proxy.Peer;
import gullspar.proxy.Peer.Wire;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Reloads with open requests, and the drain. */
class ReloadTest {
    @Test
    void openRequestEndsUnderItsOldConfiguration() throws Exception {
        try (Peer a = new Peer();
                Peer b = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", a);
                Wire c = s.connect()) {
            c.write(GET);
            Wire w = a.accept();
            w.read();
            s.reload(ProxyFixture.LISTENER + ProxyFixture.poolConfig("", b).replace("\"p\"", "\"q\""));
            s.awaitLogLine("a new configuration");
            w.write(OK);
            assertEquals("200", status(c.read()));
            c.write(GET);
            Wire other = b.accept();
            other.read();
            other.write(OK);
            assertEquals("200", status(c.read()));
            assertTrue(w.ended(), "the connection of the removed pool is closed");
        }
    }

    @Test
    void failedListenerKeepsTheOldConfiguration() throws Exception {
        try (Peer a = new Peer();
                Peer b = new Peer();
                ServerSocket taken = new ServerSocket(0);
                ProxyFixture s = ProxyFixture.withPool("", a);
                Wire c = s.connect()) {
            s.reload(ProxyFixture.LISTENER + "[[listener]]\naddress = \"0.0.0.0:" + taken.getLocalPort() + "\"\n"
                    + ProxyFixture.poolConfig("", b));
            s.awaitLogLine("cannot listen on");
            c.write(GET);
            Wire w = a.accept();
            w.read();
            w.write(OK);
            assertEquals("200", status(c.read()));
        }
    }

    @Test
    void listenersAreAddedAndRemoved() throws Exception {
        try (Peer a = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", a);
                Wire idle = s.connect();
                Wire half = s.connect()) {
            half.write(GET);
            Wire w = a.accept();
            for (Wire client : List.of(half, idle)) {
                w.read();
                w.write(OK);
                assertEquals("200", status(client.read()));
                if (client == half) {
                    half.write("GET / HTTP/1.1\r\nHo"); // sent, and so read, before the request of idle
                    idle.write(GET);
                }
            }
            s.reload(ProxyFixture.LISTENER.replace(".1:0", ".2:0") + ProxyFixture.poolConfig("", a));
            s.awaitLogLine("a new configuration");
            assertTrue(idle.ended());
            assertEquals(null, s.address());
            half.write("st: a\r\n\r\n");
            w.read();
            w.write(OK);
            assertTrue(
                    half.read().contains("onnection: close"),
                    "a partially received request is answered, then its connection closes");
            assertTrue(half.ended());
        }
    }

    @Test
    void poolKeepsItsStateAcrossReloads() throws Exception {
        Peer dead = new Peer();
        String deadAddress = dead.hostPort();
        dead.close();
        try (Peer a = new Peer()) {
            String toml = ProxyFixture.LISTENER
                    + ProxyFixture.poolConfig("", a)
                            .replace(
                                    "[[host]]",
                                    "[[pool.server]]\naddress = \"" + deadAddress + "\"\nfail_s = 3600\n[[host]]");
            try (ProxyFixture s = new ProxyFixture(toml);
                    Wire c = s.connect()) {
                c.write(GET);
                Wire w = a.accept();
                for (int i = 0; i < 10; i++) {
                    w.read();
                    w.write(OK);
                    assertEquals("200", status(c.read()));
                    s.reload(toml.replace("path = \"/\"", "path = \"/\"\ndeadline_ms = " + (1000 + i)));
                    s.awaitLogLine("a new configuration");
                    c.write(GET);
                }
                w.read();
                assertTrue(
                        s.log.stream().noneMatch(l -> l.contains("ejected")),
                        "the unreachable server was ejected only once");
            }
        }
    }

    /** No request may run twice: each gets one response and reaches a server once, whatever a reload replaces. */
    @Test
    void twoHundredReloadsUnderLoadLoseAndRepeatNoRequest() throws Exception {
        Map<String, Integer> ran = new ConcurrentHashMap<>();
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger served = new AtomicInteger();
        List<String> wrong = Collections.synchronizedList(new ArrayList<>());
        try (Peer a = new Peer();
                Peer b = new Peer();
                Peer d = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", a, b)) {
            for (Peer p : List.of(a, b, d)) {
                answerConnections(p, ran);
            }
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                int me = i;
                Thread t = new Thread(() -> sendRequests(s, me, stop, served, wrong));
                t.start();
                clients.add(t);
            }
            String[] sites = {
                ProxyFixture.poolConfig("", a, b),
                ProxyFixture.poolConfig("deadline_ms = 5000", b, d),
                ProxyFixture.poolConfig("", a, d).replace("\"p\"", "\"q\""),
                ProxyFixture.poolConfig("", a, b, d).replace("name = \"p\"", "name = \"p\"\nbalance = \"learnt\"")
            };
            for (int i = 0; i < 200; i++) {
                int before = served.get();
                s.reload(ProxyFixture.LISTENER + sites[i % sites.length]);
                s.awaitLogLine("a new configuration");
                while (served.get() < before + 5 && wrong.isEmpty()) {
                    Thread.onSpinWait();
                }
            }
            stop.set(true);
            for (Thread t : clients) {
                t.join(TimeUnit.SECONDS.toMillis(20));
            }
            assertEquals(List.of(), wrong);
            assertEquals(served.get(), ran.size());
            assertTrue(ran.values().stream().allMatch(n -> n == 1), "a request ran twice");
            assertTrue(served.get() >= 1000);
        }
    }

    private static void sendRequests(
            ProxyFixture s, int clientId, AtomicBoolean stop, AtomicInteger served, List<String> unexpected) {
        try (Wire c = s.connect()) {
            for (int i = 0; !stop.get(); i++) {
                c.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nRequest-Id: " + clientId + "-" + i
                        + "\r\n\r\nx");
                String answer = c.read();
                if (!status(answer).equals("200")) {
                    unexpected.add(clientId + "-" + i + ": " + answer);
                    return;
                }
                served.incrementAndGet();
            }
        } catch (IOException e) {
            unexpected.add(e.toString());
        }
    }

    /** Answers on every accepted connection, each on a thread of its own. */
    private static void answerConnections(Peer p, Map<String, Integer> ran) {
        start(() -> {
            while (true) {
                Wire w = p.accept();
                start(() -> {
                    for (String got = w.read(); !got.isEmpty(); got = w.read()) {
                        ran.merge(
                                got.lines()
                                        .filter(l -> l.startsWith("Request-Id"))
                                        .findFirst()
                                        .orElse(""),
                                1,
                                Integer::sum);
                        w.write(OK);
                    }
                });
            }
        });
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void start(Task work) {
        Thread t = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException | AssertionError e) {
                // the test is over, or the other side has closed
            }
        });
        t.setDaemon(true);
        t.start();
    }

    @Test
    void drainAnswersOpenRequestsAndClosesIdleConnections() throws Exception {
        try (Peer a = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", a);
                Wire idle = s.connect();
                Wire busy = s.connect()) {
            busy.write(GET);
            Wire w = a.accept();
            w.read();
            var end = s.proxy.drain();
            assertTrue(idle.ended());
            w.write(OK);
            String answer = busy.read();
            assertEquals("200", status(answer));
            assertTrue(answer.contains("onnection: close"), answer);
            end.get(20, TimeUnit.SECONDS);
        }
    }

    @Test
    void drainEndsThoughAServerNeverAnswers() throws Exception {
        try (Peer a = new Peer();
                ProxyFixture s = new ProxyFixture(
                        "[limits]\ndrain_s = 0.1\n" + ProxyFixture.LISTENER + ProxyFixture.poolConfig("", a));
                Wire busy = s.connect()) {
            busy.write(GET);
            a.accept().read();
            s.proxy.drain().get(20, TimeUnit.SECONDS);
            assertTrue(busy.ended());
        }
    }
}
