package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.config.Config;
import gullspar.proxy.io.NextTurn;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests and responses that are too large to buffer. */
@Timeout(60)
class LargeBodiesTest {
    private static final int LARGE_BYTES = 6 << 20;
    /** Small, so that the sender is often ahead of the receiver and has to wait. */
    private static final int RECEIVE_BUFFER_BYTES = 16 << 10;

    /** The most that is read of a client in one turn. */
    private static final int READ_BYTES = 16 << 10;

    private static final long SLOW_TURN_NS = 20_000_000L;
    private static final int PIECES = 10;
    private static final long PAUSE_MS = 100;

    private Peer discovery;
    private ServerSocket backend;
    private Setup setup;
    private int server;

    @BeforeEach
    void start() throws Exception {
        discovery = new Peer();
        backend = new ServerSocket();
        backend.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        backend.bind(new InetSocketAddress("127.0.0.1", 0));
        setup = new Setup()
                .start(Config.parse(
                        Setup.json(discovery.hostPort(), "127.0.0.1:" + backend.getLocalPort(), 1024, 5000), Map.of()));
        server = setup.listedServer();
    }

    @AfterEach
    void end() throws Exception {
        setup.close();
        discovery.close();
        backend.close();
    }

    /** Random bytes, so that lost, duplicated or misplaced data is detected. */
    private static byte[] randomBytes(int length) {
        byte[] b = new byte[length];
        new Random(length).nextBytes(b);
        return b;
    }

    private Socket client() throws IOException {
        Socket s = new Socket();
        s.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        s.connect(setup.proxy.address());
        s.setSoTimeout(20_000);
        return s;
    }

    private Socket accept() throws IOException {
        Socket s = backend.accept();
        s.setSoTimeout(20_000);
        return s;
    }

    private static void write(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String orderRequest(String framing) {
        return Setup.getRequest("Request-Timeout: 1.2\r\nIdempotency-Key: k\r\n" + framing)
                .replace("GET /look", "POST /order");
    }

    /** Sends half of a large request, of which the module makes an attempt. */
    private void sendHalfOfARequest(Socket client) throws Exception {
        write(client, orderRequest("Content-Length: " + LARGE_BYTES + "\r\n"));
        client.getOutputStream().write(randomBytes(LARGE_BYTES / 2));
        Request r = setup.nextRequest();
        setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder s = new StringBuilder();
        while (!s.toString().endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                break;
            }
            s.append((char) b);
        }
        return s.toString();
    }

    /** Reads the body of a chunked message. */
    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (true) {
            StringBuilder line = new StringBuilder();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    throw new IOException("end of stream in a chunk size");
                }
                line.append((char) b);
            }
            int size = Integer.parseInt(line.toString().trim(), 16);
            all.write(in.readNBytes(size));
            assertEquals(
                    "\r\n",
                    new String(in.readNBytes(2), StandardCharsets.ISO_8859_1),
                    "the chunk does not end where its size says");
            if (size == 0) {
                return all.toByteArray();
            }
        }
    }

    private static void writeChunks(Socket s, byte[] bytes, int size) throws IOException {
        for (int at = 0; at < bytes.length; at += size) {
            int n = Math.min(size, bytes.length - at);
            write(s, Integer.toHexString(n) + "\r\n");
            s.getOutputStream().write(bytes, at, n);
            write(s, "\r\n");
        }
        write(s, "0\r\n\r\n");
    }

    private interface Work {
        void run() throws Exception;
    }

    private static CompletableFuture<Void> runAsync(Work work) {
        return CompletableFuture.runAsync(() -> {
            try {
                work.run();
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void largeRequestIsStreamedAndTimedFromItsLastByte(boolean chunked) throws Exception {
        byte[] body = randomBytes(LARGE_BYTES);
        try (Socket client = client()) {
            write(
                    client,
                    orderRequest(
                            chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + LARGE_BYTES + "\r\n"));
            CompletableFuture<Void> half = new CompletableFuture<>();
            CompletableFuture<Void> sent = runAsync(() -> {
                if (chunked) {
                    writeChunks(client, body, 100_000);
                } else {
                    client.getOutputStream().write(body, 0, LARGE_BYTES / 2);
                    half.get();
                    client.getOutputStream().write(body, LARGE_BYTES / 2, LARGE_BYTES - LARGE_BYTES / 2);
                }
            });
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            try (Socket backendSide = accept()) {
                String head = readHead(backendSide.getInputStream());
                assertTrue(head.contains("Request-Timeout: 1.19"), head);
                byte[] received;
                if (chunked) {
                    assertTrue(head.contains("transfer-encoding: chunked"), head);
                    received = readChunks(backendSide.getInputStream());
                } else {
                    byte[] first = backendSide.getInputStream().readNBytes(LARGE_BYTES / 2);
                    half.complete(null);
                    received = new byte[LARGE_BYTES];
                    System.arraycopy(first, 0, received, 0, first.length);
                    assertEquals(
                            LARGE_BYTES - first.length,
                            backendSide
                                    .getInputStream()
                                    .readNBytes(received, first.length, LARGE_BYTES - first.length));
                }
                assertArrayEquals(body, received);
                sent.get(20, TimeUnit.SECONDS);
                write(backendSide, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 200"));
                assertEquals(Status.OK, setup.nextOutcome().status());
            }
        }
    }

    @Test
    void partlyReceivedRequestIsRetriedOnlyIfNothingWasSent() throws Exception {
        byte[] body = randomBytes(LARGE_BYTES);
        try (Socket client = client()) {
            write(client, orderRequest("Content-Length: " + LARGE_BYTES + "\r\n"));
            // The rest is held back, as the kernel's buffers could take it all before the backend has closed.
            client.getOutputStream().write(body, 0, LARGE_BYTES / 2);
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), 12345, 0)); // no backend has this number
            assertEquals(Status.MOOT, setup.nextOutcome().status());
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            try (Socket backendSide = accept()) {
                readHead(backendSide.getInputStream());
                backendSide.getInputStream().readNBytes(LARGE_BYTES / 4);
            }
            assertEquals(Status.CONNECT_FAILED, setup.nextOutcome().status(), "its last byte was never written");
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            assertEquals(Status.MOOT, setup.nextOutcome().status(), "part of the body is no longer available");
            setup.runOnLoop(() -> setup.actions.refuse(r.ticket(), 0));
            assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 503"));
        }
    }

    @Test
    void restOfARefusedRequestIsDiscardedAndTheNextServed() throws Exception {
        try (Socket client = client()) {
            write(client, orderRequest("Content-Length: " + LARGE_BYTES + "\r\n"));
            CompletableFuture<Void> sent =
                    runAsync(() -> client.getOutputStream().write(randomBytes(LARGE_BYTES)));
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.refuse(r.ticket(), 0));
            String refusal = readHead(client.getInputStream());
            assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal);
            client.getInputStream().readNBytes("refused, try again\n".length());
            sent.get(20, TimeUnit.SECONDS);
            write(client, Setup.getRequest());
            Request next = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.fail(next.ticket()));
            assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 502"));
        }
    }

    @Test
    void backendThatDoesNotReadIsAbandonedAndHasNotRunTheRequest() throws Exception {
        try (Socket client = client()) {
            write(client, orderRequest("Content-Length: " + LARGE_BYTES + "\r\n"));
            CompletableFuture<Void> sent =
                    runAsync(() -> client.getOutputStream().write(randomBytes(LARGE_BYTES)));
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            Socket silent = accept();
            assertEquals(Status.CONNECT_FAILED, setup.nextOutcome().status());
            setup.runOnLoop(() -> setup.actions.refuse(r.ticket(), 0));
            assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 503"));
            sent.get(20, TimeUnit.SECONDS);
            silent.close();
        }
    }

    /** The client's timeout ran only from when the backend had read the request: the answer came seconds late. */
    @Test
    void requestThatIsReadTooSlowlyIsAbandonedByTheClientsTimeout() throws Exception {
        try (Socket client = client()) {
            write(client, orderRequest("Content-Length: " + LARGE_BYTES + "\r\n"));
            CompletableFuture<Void> sent =
                    runAsync(() -> client.getOutputStream().write(randomBytes(LARGE_BYTES)));
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            try (Socket slow = accept()) {
                setup.loop.scheduleAtFixedRate(
                        () -> runAsync(() -> slow.getInputStream().readNBytes(RECEIVE_BUFFER_BYTES)),
                        0,
                        25,
                        TimeUnit.MILLISECONDS);
                assertEquals(Status.CONNECT_FAILED, setup.nextOutcome().status());
                setup.runOnLoop(() -> setup.actions.refuse(r.ticket(), 0));
                assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 503"));
                sent.get(20, TimeUnit.SECONDS);
            }
        }
    }

    /** Sends a request while the loop stands, so that all of it has arrived; from then on each turn takes a while. */
    private void sendBeforeSlowTurns(Socket client, String timeoutS, int bodyBytes) throws Exception {
        CompletableFuture<Void> sent = new CompletableFuture<>();
        setup.loop.execute(sent::join);
        try {
            write(
                    client,
                    Setup.getRequest("Request-Timeout: " + timeoutS + "\r\nIdempotency-Key: k\r\nContent-Length: "
                                    + bodyBytes + "\r\n")
                            .replace("GET /look", "POST /order"));
            client.getOutputStream().write(randomBytes(bodyBytes));
            setup.loop.execute(this::makeTurnsSlow);
        } finally {
            sent.complete(null);
        }
    }

    private void makeTurnsSlow() {
        long endNs = System.nanoTime() + SLOW_TURN_NS;
        while (System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
        NextTurn.run(setup.loop, this::makeTurnsSlow);
    }

    /** The time of a request ran from the turn that read its last byte, which had waited through all turns before. */
    @Test
    void timeOfARequestThatIsReadOverManyTurnsRunsFromItsArrival() throws Exception {
        try (Socket client = client()) {
            sendBeforeSlowTurns(client, "30", 20 * READ_BYTES);
            long ageNs = setup.nextRequest().ageNs();
            assertTrue(ageNs > 10 * SLOW_TURN_NS, "age " + ageNs);
        }
    }

    /** A crowd made each turn slow, and clients of large requests got their final response seconds after their time. */
    @Test
    void requestThatCannotBeReadInItsTimeIsRefused() throws Exception {
        try (Socket client = client()) {
            sendBeforeSlowTurns(client, "0.2", 60 * READ_BYTES);
            assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 503"));
            assertTrue(
                    setup.moduleEvents.stream().noneMatch(event -> event.type().equals("request")));
        }
    }

    /** Its pieces fill the buffers of reads, as a request does that has been waiting. */
    @ParameterizedTest
    @ValueSource(ints = {READ_BYTES, 70_000})
    void requestThatIsSentSlowlyIsDatedByItsLastByte(int pieceBytes) throws Exception {
        try (Socket client = client()) {
            client.setTcpNoDelay(true);
            write(
                    client,
                    orderRequest("Content-Length: " + PIECES * pieceBytes + "\r\n")
                            .replace("Request-Timeout: 1.2", "Request-Timeout: 0.3"));
            for (int i = 0; i < PIECES; i++) {
                CompletableFuture<Void> pause = new CompletableFuture<>();
                setup.loop.schedule(() -> pause.complete(null), PAUSE_MS, TimeUnit.MILLISECONDS);
                pause.get(20, TimeUnit.SECONDS);
                client.getOutputStream().write(randomBytes(pieceBytes));
            }
            long ageNs = setup.nextRequest().ageNs();
            assertTrue(ageNs < TimeUnit.MILLISECONDS.toNanos(PIECES * PAUSE_MS / 2), "age " + ageNs);
        }
    }

    /** The backend of a client that stopped in the middle of its request was avoided, and other clients refused. */
    @Test
    void clientThatStopsInTheMiddleOfItsRequestIsNotHeldAgainstTheBackend() throws Exception {
        try (Socket client = client()) {
            sendHalfOfARequest(client);
            try (Socket backendSide = accept()) {
                readHead(backendSide.getInputStream());
                CompletableFuture<Void> read =
                        runAsync(() -> backendSide.getInputStream().readAllBytes());
                assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 408"), "its own limit, after 2.2 s");
                assertEquals(Status.MOOT, setup.nextOutcome().status());
                read.get(20, TimeUnit.SECONDS);
            }
        }
    }

    @Test
    void stalledUploadIsWithdrawn() throws Exception {
        try (Socket client = client()) {
            sendHalfOfARequest(client);
            try (Socket backendSide = accept()) {
                readHead(backendSide.getInputStream());
                assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 408"));
                setup.nextEvent("withdrawn", Integer.class);
                backendSide.getInputStream().readAllBytes();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void largeResponseIsForwardedAtTheClientsPace(boolean chunked) throws Exception {
        byte[] body = randomBytes(LARGE_BYTES);
        try (Socket client = client()) {
            write(client, Setup.getRequest());
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            try (Socket backendSide = accept()) {
                readHead(backendSide.getInputStream());
                CompletableFuture<Void> written = runAsync(() -> {
                    write(
                            backendSide,
                            "HTTP/1.1 200 OK\r\n"
                                    + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + LARGE_BYTES)
                                    + "\r\n\r\n");
                    if (chunked) {
                        writeChunks(backendSide, body, 50_001);
                    } else {
                        backendSide.getOutputStream().write(body);
                    }
                });
                assertEquals(Status.OK, setup.nextOutcome().status(), "counted as OK with its first bytes");
                assertEquals(
                        1,
                        setup.loop
                                        .submit(() -> setup.proxy.statusJson().contains("\"pending\":1"))
                                        .get(20, TimeUnit.SECONDS)
                                ? 1
                                : 0,
                        "the request is still in progress");
                String head = readHead(client.getInputStream());
                assertTrue(head.startsWith("HTTP/1.1 200"), head);
                byte[] received = chunked
                        ? readChunks(client.getInputStream())
                        : client.getInputStream().readNBytes(LARGE_BYTES);
                assertArrayEquals(body, received);
                written.get(20, TimeUnit.SECONDS);
                // Both connections can be reused.
                setup.advanceClock(20);
                write(client, Setup.getRequest());
                Request next = setup.nextRequest();
                setup.runOnLoop(() -> setup.actions.send(next.ticket(), server, 0));
                readHead(backendSide.getInputStream());
                write(backendSide, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 200"));
                assertTrue(setup.loop
                        .submit(setup.proxy::statusJson)
                        .get(20, TimeUnit.SECONDS)
                        .contains("\"completed\":{\"look\":2,"));
            }
        }
    }

    /** A response that its backend was still writing was cut off at the client's timeout. */
    @Test
    void responseThatEndsShortlyAfterTheTimeoutIsForwardedWhole() throws Exception {
        byte[] body = randomBytes(200_000);
        setup.ignoredTimerMs = 1200;
        try (Socket client = client()) {
            write(client, Setup.getRequest("Request-Timeout: 1\r\n"));
            Request r = setup.nextRequest();
            CompletableFuture<Void> timeout = new CompletableFuture<>();
            setup.loop.schedule(() -> timeout.complete(null), 1100, TimeUnit.MILLISECONDS);
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            try (Socket backendSide = accept()) {
                readHead(backendSide.getInputStream());
                write(backendSide, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
                backendSide.getOutputStream().write(body, 0, body.length / 2);
                readHead(client.getInputStream());
                timeout.get(20, TimeUnit.SECONDS);
                backendSide.getOutputStream().write(body, body.length / 2, body.length - body.length / 2);
                assertArrayEquals(body, client.getInputStream().readNBytes(body.length));
            }
        }
    }

    @Test
    void truncatedResponseClosesTheClientConnection() throws Exception {
        try (Socket client = client()) {
            write(client, Setup.getRequest());
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            try (Socket backendSide = accept()) {
                readHead(backendSide.getInputStream());
                write(backendSide, "HTTP/1.1 200 OK\r\nContent-Length: " + LARGE_BYTES + "\r\n\r\n");
                backendSide.getOutputStream().write(randomBytes(100_000));
            }
            readHead(client.getInputStream());
            int received = 0;
            try {
                received = client.getInputStream().readAllBytes().length;
            } catch (IOException e) {
                // a reset is valid too
            }
            assertTrue(received <= 100_000);
            setup.awaitStatus("\"failed\":{\"look\":1,");
        }
    }

    @Test
    void clientDisconnectAbortsTheResponse() throws Exception {
        Socket client = client();
        write(client, Setup.getRequest());
        Request r = setup.nextRequest();
        setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
        try (Socket backendSide = accept()) {
            readHead(backendSide.getInputStream());
            write(backendSide, "HTTP/1.1 200 OK\r\nContent-Length: " + LARGE_BYTES + "\r\n\r\n");
            backendSide.getOutputStream().write(randomBytes(100_000));
            readHead(client.getInputStream());
            client.close();
            assertEquals(-1, readByte(backendSide), "the backend connection is closed");
        }
    }

    /** Reads a byte; returns -1 if the connection was closed or reset. */
    private static int readByte(Socket s) {
        try {
            return s.getInputStream().read();
        } catch (IOException e) {
            return -1;
        }
    }

    @Test
    void continueIsSentAfterThePreviousResponse() throws Exception {
        try (Socket client = client()) {
            write(client, Setup.getRequest());
            Request r = setup.nextRequest();
            write(client, orderRequest("Content-Length: 4\r\nExpect: 100-continue\r\n"));
            setup.runOnLoop(() -> setup.actions.fail(r.ticket()));
            String first = readHead(client.getInputStream());
            assertTrue(first.startsWith("HTTP/1.1 502"), first);
            client.getInputStream().readNBytes("failed\n".length());
            assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 100"));
            assertFalse(setup.moduleEvents.stream().anyMatch(t -> t.type().equals("request")));
            write(client, "body");
            Request second = setup.nextRequest();
            assertEquals(1, second.profile());
        }
    }
}
