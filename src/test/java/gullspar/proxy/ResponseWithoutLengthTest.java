package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.http.Message;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses that only the end of the backend's connection delimits. */
class ResponseWithoutLengthTest extends LoopbackTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    private static final int HELD_BYTES = Message.MAX_BUFFERED_RESPONSE_BYTES;
    private static final int LARGE_BYTES = 5 * HELD_BYTES;
    /** More than all buffers between a backend and a client that does not read. */
    private static final int UNREAD_BYTES = 16 << 20;

    private static final long STANDSTILL_NS = 150_000_000L;
    private static final long ATTEMPT_TIMEOUT_NS = 300_000_000L;

    /** How a backend ends its connection. */
    private enum End {
        FIN {
            @Override
            void apply(Peer.Wire wire) throws IOException {
                wire.close();
            }
        },
        RESET {
            @Override
            void apply(Peer.Wire wire) throws IOException {
                wire.reset();
            }
        },
        FIN_THEN_RESET {
            @Override
            void apply(Peer.Wire wire) throws IOException {
                wire.endSending();
                wire.reset();
            }
        };

        abstract void apply(Peer.Wire wire) throws IOException;
    }

    private Request sendRequest(Peer.Wire client, long attemptTimeoutNs) throws Exception {
        client.write(Setup.getRequest());
        Request r = setup.nextRequest();
        setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, attemptTimeoutNs));
        return r;
    }

    private Peer.Wire acceptRequest() throws Exception {
        Peer.Wire wire = backend.accept();
        wire.read();
        return wire;
    }

    private static String readBody(Peer.Wire client) throws IOException {
        String head = client.readUntil("\r\n\r\n");
        assertTrue(head.startsWith("HTTP/1.1 200 "), head);
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) {
                return client.readBytes(Integer.parseInt(line.substring(15).trim()));
            }
        }
        assertTrue(head.toLowerCase().contains("transfer-encoding: chunked"), head);
        return client.readChunkedBody();
    }

    /** Each was given up at its head: its client got 502 or 503 and its request was repeated elsewhere. */
    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n', 4",
        "'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n', 0",
        "'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n', 65536",
        "'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n', 65537",
        "'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n', 2000000",
        "'HTTP/1.1 200 OK\r\n\r\n', 4",
        "'HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n', 4",
        "'HTTP/1.0 200 OK\r\n\r\n', 4",
        "'HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n', 70000",
        "'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n', 4",
        "'HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n', 4",
        "'HTTP/1.1 200 \r\n\r\n', 4"
    })
    void wholeResponseWithoutLengthIsForwarded(String head, int bytes) throws Exception {
        String body = "x".repeat(bytes);
        try (Peer.Wire client = setup.client()) {
            sendRequest(client, 0);
            Peer.Wire wire = acceptRequest();
            wire.write(head + body).close();
            assertEquals(Status.OK, setup.nextOutcome().status());
            assertEquals(body, readBody(client));
            sendRequest(client, 0);
            acceptRequest().write(AnsweringServer.OK);
            assertEquals("ok", readBody(client));
        }
    }

    @Test
    void endOfStreamMayComeLongAfterTheLastByte() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client, 0);
            Peer.Wire wire = acceptRequest();
            wire.write(HEAD + "x".repeat(LARGE_BYTES));
            assertEquals(Status.OK, setup.nextOutcome().status());
            String head = client.readUntil("\r\n\r\n");
            assertTrue(head.startsWith("HTTP/1.1 200 "), head);
            setup.runOnLoop(() -> {}); // the read that has brought the last byte may have ended
            wire.close();
            assertEquals(LARGE_BYTES, client.readChunkedBody().length());
        }
    }

    /** While less than what is held back has come, another backend may still be tried. */
    @ParameterizedTest
    @ValueSource(ints = {0, 4, HELD_BYTES})
    void resetResponseWithoutLengthIsAResetAndIsNotServed(int bytes) throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request r = sendRequest(client, 0);
            Peer.Wire wire = acceptRequest();
            wire.write(HEAD + "x".repeat(bytes)).reset();
            Outcome o = setup.nextOutcome();
            assertEquals(Status.RESET, o.status());
            assertFalse(o.isFinal());
            setup.runOnLoop(() -> setup.actions.fail(r.ticket()));
            assertTrue(client.read().startsWith("HTTP/1.1 502 "));
        }
    }

    @Test
    void resetOfABegunResponseIsSeenByItsClient() throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request r = sendRequest(client, 0);
            Peer.Wire wire = acceptRequest();
            wire.write(HEAD + "x".repeat(LARGE_BYTES));
            assertEquals(Status.OK, setup.nextOutcome().status());
            client.readUntil("\r\n\r\n");
            wire.reset();
            assertThrows(IOException.class, client::readChunkedBody);
            assertEquals(r.ticket(), setup.nextEvent("response closed", Integer.class));
            setup.awaitStatus("\"failed\":{\"look\":1,");
        }
    }

    /** Reading from the backend pauses while its client reads nothing. */
    @ParameterizedTest
    @EnumSource(
            value = End.class,
            names = {"FIN", "RESET"})
    void endOfAPausedResponseIsTold(End end) throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client, 0);
            Peer.Wire wire = acceptRequest();
            Thread writer = new Thread(() -> writeAndEnd(wire, HEAD + "x".repeat(UNREAD_BYTES), end));
            writer.start();
            assertEquals(Status.OK, setup.nextOutcome().status());
            client.readUntil("\r\n\r\n");
            if (end == End.FIN) {
                assertEquals(UNREAD_BYTES, client.readChunkedBody().length());
            } else {
                assertThrows(IOException.class, client::readChunkedBody);
            }
            writer.join();
        }
    }

    private static void writeAndEnd(Peer.Wire wire, String text, End end) {
        try {
            wire.write(text);
            end.apply(wire);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** What has arrived during a standstill is read in one turn. */
    @ParameterizedTest
    @CsvSource({"FIN, OK", "RESET, RESET", "FIN_THEN_RESET, OK"})
    void endThatArrivesDuringAStandstillIsTold(End end, Status status) throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request r = sendRequest(client, 0);
            Peer.Wire wire = acceptRequest();
            setup.runOnLoop(() -> {
                try {
                    wire.write(HEAD + "body");
                    end.apply(wire);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                long endNs = System.nanoTime() + STANDSTILL_NS;
                while (System.nanoTime() < endNs) {
                    Thread.onSpinWait();
                }
            });
            assertEquals(status, setup.nextOutcome().status());
            if (status == Status.OK) {
                assertEquals("body", readBody(client));
            } else {
                setup.runOnLoop(() -> setup.actions.fail(r.ticket()));
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        "500 Oops, '', 4, ERROR",
        "503 Busy, 'Not-Started: 1\r\n', 4, FULL",
        "404 Not Found, '', 4, MOOT",
        "204 No Content, '', 0, ERROR",
        "304 Not Modified, '', 0, ERROR"
    })
    void statusOfAWholeErrorWithoutLengthIsKept(String line, String field, int bytes, Status status) throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client, 0);
            Peer.Wire wire = acceptRequest();
            wire.write("HTTP/1.1 " + line + "\r\n" + field + "\r\n" + "x".repeat(bytes))
                    .close();
            assertEquals(status, setup.nextOutcome().status());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = End.class,
            names = {"FIN", "RESET"})
    void begunResponseIsForwardedWhenTheAttemptTimesOut(End end) throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client, ATTEMPT_TIMEOUT_NS);
            Peer.Wire wire = acceptRequest();
            wire.write(HEAD + "bo");
            assertEquals(Status.OK, setup.nextOutcome().status());
            assertTrue(client.readUntil("\r\n\r\n").startsWith("HTTP/1.1 200 "));
            wire.write("dy");
            end.apply(wire);
            if (end == End.FIN) {
                assertEquals("body", client.readChunkedBody());
            } else {
                assertThrows(IOException.class, client::readChunkedBody);
            }
        }
    }

    /** To such a client the end of the connection is the end of the response, so an aborted one looked whole. */
    @ParameterizedTest
    @EnumSource(
            value = End.class,
            names = {"FIN", "RESET"})
    void clientWithoutChunksSeesTheKindOfTheEnd(End end) throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest().replace("HTTP/1.1", "HTTP/1.0"));
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            Peer.Wire wire = acceptRequest();
            wire.write(HEAD + "x".repeat(LARGE_BYTES));
            assertEquals(Status.OK, setup.nextOutcome().status());
            String head = client.readUntil("\r\n\r\n");
            assertFalse(head.toLowerCase().contains("transfer-encoding"), head);
            end.apply(wire);
            if (end == End.FIN) {
                assertEquals(LARGE_BYTES, client.readBytes(2 * LARGE_BYTES).length());
            } else {
                assertThrows(IOException.class, () -> client.readBytes(2 * LARGE_BYTES));
            }
        }
    }

    @Test
    void openResponseIsServedWholeDuringAPlannedEnd() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client, 0);
            Peer.Wire wire = acceptRequest();
            wire.write(HEAD + "x".repeat(LARGE_BYTES));
            assertEquals(Status.OK, setup.nextOutcome().status());
            setup.runOnLoop(() -> setup.proxy.drain());
            wire.write("y").close();
            client.readUntil("\r\n\r\n");
            assertTrue(client.readChunkedBody().endsWith("xy"));
        }
    }

    @Test
    void responseAboveTheLimitIsCutOffAndNotEndedAsWhole() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client, 0);
            Peer.Wire wire = acceptRequest();
            Thread writer = new Thread(() -> {
                try {
                    wire.write(HEAD + "x".repeat(Message.MAX_BODY_BYTES + 1));
                    wire.close();
                } catch (IOException e) {
                    // closed by the proxy
                }
            });
            writer.start();
            client.readUntil("\r\n\r\n");
            assertThrows(IOException.class, client::readChunkedBody);
            writer.join();
        }
    }

    @Test
    void connectionIsClosedWhenTheClientLeaves() throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request r = sendRequest(client, 0);
            Peer.Wire wire = acceptRequest();
            wire.write(HEAD + "x".repeat(LARGE_BYTES));
            assertEquals(Status.OK, setup.nextOutcome().status());
            client.reset();
            assertEquals(r.ticket(), setup.nextEvent("response closed", Integer.class));
            assertTrue(wire.ended());
        }
    }

    @Test
    void responseThatTheProxyItselfGivesUpIsNotWhole() throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request r = sendRequest(client, 0);
            Peer.Wire wire = acceptRequest();
            wire.write(HEAD + "body");
            setup.runOnLoop(() -> {});
            setup.runOnLoop(() -> setup.actions.cancel(r.ticket(), 0));
            assertEquals(Status.CANCELLED, setup.nextOutcome().status());
            assertTrue(wire.ended());
            setup.runOnLoop(() -> setup.actions.fail(r.ticket()));
            assertTrue(client.read().startsWith("HTTP/1.1 502 "));
        }
    }
}
