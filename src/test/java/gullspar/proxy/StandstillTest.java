package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Stops a proxy process under load by SIGSTOP: what it then finds in its sockets is older than the time at which it
 * reads it, and deadlines must count from arrival. Clients send at a fixed rate, regardless of responses.
 */
@Timeout(120)
class StandstillTest {
    /** The time-out of each request; longer than the slack, else a late response would go unnoticed. */
    private static final long TIMEOUT_NS = 900_000_000L;
    /** A response may arrive this late (as the protocol defines). */
    private static final long SLACK_NS = 500_000_000L;
    /** The Request-Timeout of an attempt may exceed the client's remaining time by this. */
    private static final long REQUEST_TIMEOUT_SLACK_NS = 150_000_000L;

    private static final long MAX_RECOVERY_NS = 1_000_000_000L;
    private static final long SEND_INTERVAL_MS = 10;
    private static final double MIN_SERVED_SHARE = 0.9;

    @TempDir
    Path folder;

    private final Map<String, SentRequest> requests = new ConcurrentHashMap<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private Backend backend;
    private ProxyProcess process;
    /** New requests have a path to which the backend never responds. */
    private volatile boolean isHanging;

    /** A request as seen by its client, and its attempts as seen by the backend. */
    private static final class SentRequest {
        final long sentAtNs = System.nanoTime();
        final boolean hangs;
        final List<Attempt> attempts = new ArrayList<>();
        volatile long endedAtNs;
        volatile String status = "";
        volatile long responseOrder;

        SentRequest(boolean hangs) {
            this.hangs = hangs;
        }

        synchronized void addAttempt(Attempt a) {
            attempts.add(a);
        }

        synchronized List<Attempt> attempts() {
            return List.copyOf(attempts);
        }
    }

    private record Attempt(long receivedAtNs, long requestTimeoutNs, long order) {}

    /** Records all requests, and responds to each unless its path ends in /hang. */
    private final class Backend implements AutoCloseable {
        final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());

        Backend() throws IOException {
            threads.execute(() -> {
                try {
                    while (true) {
                        Peer.Wire wire = new Peer.Wire(server.accept());
                        threads.execute(() -> serve(wire));
                    }
                } catch (IOException e) {
                    // closed at the end of the test
                }
            });
        }

        private void serve(Peer.Wire wire) {
            try (wire) {
                for (String r = wire.read(); !r.isEmpty(); r = wire.read()) {
                    SentRequest request = requests.get(header(r, "request-id"));
                    request.addAttempt(new Attempt(
                            System.nanoTime(),
                            (long) (Double.parseDouble(header(r, "request-timeout")) * 1e9),
                            order(r)));
                    if (!r.contains("/hang")) {
                        wire.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    }
                }
            } catch (IOException e) {
                // the proxy has closed the connection
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private static String header(String message, String name) {
        return message.lines()
                .filter(l -> l.toLowerCase(Locale.ROOT).startsWith(name + ":"))
                .map(l -> l.substring(name.length() + 1).trim())
                .findFirst()
                .orElse("");
    }

    /** The proxy's number of a message; 0 if it has none. */
    private static long order(String message) {
        String order = header(message, SendOrder.HEADER);
        return order.isEmpty() ? 0 : Long.parseLong(order);
    }

    @BeforeEach
    void start() throws Exception {
        backend = new Backend();
        String address = "127.0.0.1:" + backend.server.getLocalPort();
        process = new ProxyProcess(folder, address, List.of(SendOrder.OPTION));
        process.sendList(42, List.of(ProxyProcess.instance("s-1", address)));
        process.awaitReady();
    }

    @AfterEach
    void end() throws Exception {
        scheduler.shutdownNow();
        process.close();
        backend.close();
        threads.shutdownNow();
    }

    /** Sends a request on a connection of its own; every third request is unsafe. */
    private void send() {
        String id = "r" + ids.incrementAndGet();
        SentRequest request = new SentRequest(isHanging);
        requests.put(id, request);
        boolean unsafe = ids.get() % 3 == 0;
        String line = (unsafe ? "POST /pay" : "GET /look") + (request.hangs ? "/hang" : "/1");
        String length = unsafe ? "Content-Length: 0\r\n" : "";
        threads.execute(() -> {
            try (Peer.Wire wire = Peer.Wire.to(process.address)) {
                wire.write(line + " HTTP/1.1\r\nHost: a\r\nRequest-Id: " + id + "\r\nRequest-Timeout: 0.9\r\n" + length
                        + "\r\n");
                String answer = wire.read();
                request.responseOrder = order(answer);
                request.status = answer.length() < 12 ? "closed" : answer.substring(9, 12);
            } catch (IOException e) {
                request.status = "closed: " + e;
            } finally {
                request.endedAtNs = System.nanoTime();
            }
        });
    }

    private void sendLoad(long ms) throws Exception {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        var sending = scheduler.scheduleAtFixedRate(this::send, 0, SEND_INTERVAL_MS, TimeUnit.MILLISECONDS);
        TimeUnit.NANOSECONDS.sleep(until - System.nanoTime());
        sending.cancel(false);
        scheduler.submit(() -> {}).get(); // the request that is being sent may not have its thread yet
    }

    /** Waits until every request has ended, successfully or not. */
    private void awaitAllEnded() throws Exception {
        for (SentRequest s : requests.values()) {
            while (s.endedAtNs == 0) {
                TimeUnit.MILLISECONDS.sleep(SEND_INTERVAL_MS);
            }
        }
    }

    /** Requests since the stop must end in time; those due during the stop may end up to the slack after it. */
    private void assertInTime(long fromNs, long resumedNs) {
        for (Map.Entry<String, SentRequest> e : requests.entrySet()) {
            SentRequest s = e.getValue();
            String what = e.getKey() + ", sent " + toMs(s.sentAtNs - fromNs) + " ms after the stop, ended " + s.status
                    + " after " + toMs(s.endedAtNs - s.sentAtNs) + " ms: ";
            assertTrue(s.status.matches("200|503|502|504"), what + "no response");
            assertTrue(s.attempts().size() <= 1, what + "forwarded twice");
            assertTrue(s.responseOrder > 0, what + "its response has no number");
            s.attempts().forEach(a -> assertSentBeforeResponse(s, a, what));
            if (s.sentAtNs >= fromNs) {
                assertTrue(s.endedAtNs <= Math.max(s.sentAtNs + TIMEOUT_NS, resumedNs) + SLACK_NS, what + "late");
                s.attempts().forEach(a -> assertTimeoutWithinDeadline(s, a, what));
            }
        }
    }

    /** Compares the proxy's numbers of both, as the backend may read an attempt long after it was sent. */
    private static void assertSentBeforeResponse(SentRequest s, Attempt a, String what) {
        assertTrue(a.order() > 0, what + "its attempt has no number");
        assertTrue(a.order() < s.responseOrder, what + "forwarded after its response");
    }

    private static void assertTimeoutWithinDeadline(SentRequest s, Attempt a, String what) {
        long left = s.sentAtNs + TIMEOUT_NS - a.receivedAtNs();
        assertTrue(
                a.requestTimeoutNs() <= left + REQUEST_TIMEOUT_SLACK_NS,
                what + "the Request-Timeout of its attempt is " + toMs(a.requestTimeoutNs()) + " ms, while "
                        + toMs(left) + " were left");
    }

    private void assertServedSince(long sinceNs) {
        List<SentRequest> later =
                requests.values().stream().filter(s -> s.sentAtNs > sinceNs).toList();
        long served = later.stream().filter(s -> s.status.equals("200")).count();
        assertTrue(
                served >= MIN_SERVED_SHARE * later.size(),
                "a second after the standstill " + served + " of " + later.size() + " were served");
    }

    private static long toMs(long ns) {
        return TimeUnit.NANOSECONDS.toMillis(ns);
    }

    private long stopUnderLoad(long ms) throws Exception {
        process.signal("STOP");
        sendLoad(ms);
        long resumed = System.nanoTime();
        process.signal("CONT");
        return resumed;
    }

    /** The backend does not respond to these requests: only the proxy's own time-out ends them in time. */
    @ParameterizedTest
    @ValueSource(longs = {300, 1000, 3000})
    void requestsReadAfterAStandstillCountFromItsStart(long standstillMs) throws Exception {
        sendLoad(1000);
        long stopped = System.nanoTime();
        isHanging = true;
        long resumed = stopUnderLoad(standstillMs);
        isHanging = false;
        sendLoad(500);
        awaitAllEnded();
        assertInTime(stopped, resumed);
    }

    @ParameterizedTest
    @ValueSource(longs = {300, 1000, 3000})
    void servesAgainWithinASecondOfAStandstill(long standstillMs) throws Exception {
        sendLoad(1000);
        long stopped = System.nanoTime();
        long resumed = stopUnderLoad(standstillMs);
        sendLoad(TimeUnit.NANOSECONDS.toMillis(MAX_RECOVERY_NS) + 1000);
        awaitAllEnded();
        assertInTime(stopped, resumed);
        assertServedSince(resumed + MAX_RECOVERY_NS);
    }

    @Test
    void respondsInTimeWithATenthOfItsProcessorTime() throws Exception {
        sendLoad(1000);
        long slowed = System.nanoTime();
        for (int i = 0; i < 50; i++) {
            stopUnderLoad(90);
            sendLoad(10);
        }
        long resumed = System.nanoTime();
        sendLoad(TimeUnit.NANOSECONDS.toMillis(MAX_RECOVERY_NS) + 1000);
        awaitAllEnded();
        assertInTime(slowed, slowed);
        assertServedSince(resumed + MAX_RECOVERY_NS);
    }
}
