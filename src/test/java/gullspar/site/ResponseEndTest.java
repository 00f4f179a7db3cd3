package gullspar.site;

import static gullspar.site.ProxyFixture.GET;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.proxy.Peer;
import gullspar.proxy.Peer.Wire;
import java.io.IOException;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses that only the end of the server's connection delimits, in plain HTTP. */
@Timeout(60)
class ResponseEndTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    private static final int LARGE_BYTES = 300_000;
    /** More than all buffers between a server and a client that does not read. */
    private static final int UNREAD_BYTES = 16 << 20;
    /** More than the buffers of a connection whose other end reads nothing. */
    private static final int REQUEST_BYTES = 8 << 20;

    private static Wire acceptRequest(Peer server) throws Exception {
        Wire wire = server.accept();
        wire.read();
        return wire;
    }

    private static void readChunkedHead(Wire client) throws IOException {
        String head = client.readUntil("\r\n\r\n");
        assertTrue(head.startsWith("HTTP/1.1 200 "), head);
        assertTrue(head.toLowerCase().contains("transfer-encoding: chunked"), head);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 4, LARGE_BYTES, UNREAD_BYTES})
    void responseEndedByTheServerIsWhole(int bytes) throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", server);
                Wire client = s.connect()) {
            client.write(GET);
            Wire wire = acceptRequest(server);
            FutureTask<Void> writing = new FutureTask<>(() -> {
                wire.write(HEAD + "x".repeat(bytes)).close();
                return null;
            });
            new Thread(writing).start();
            readChunkedHead(client);
            assertEquals(bytes, client.readChunkedBody().length());
            writing.get();
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 4, LARGE_BYTES, UNREAD_BYTES})
    void resetResponseIsNotEndedAsWhole(int bytes) throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", server);
                Wire client = s.connect()) {
            client.write(GET);
            Wire wire = acceptRequest(server);
            wire.write(HEAD);
            readChunkedHead(client);
            FutureTask<Void> writing = new FutureTask<>(() -> {
                wire.write("x".repeat(bytes)).reset();
                return null;
            });
            new Thread(writing).start();
            assertThrows(IOException.class, client::readChunkedBody);
            writing.get();
        }
    }

    /** The reset is found by the write of the request and not by a read of the response. */
    @Test
    void responseResetBeforeItsRequestIsWrittenIsNotEndedAsWhole() throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("body_kb = 32768", server);
                Wire client = s.connect()) {
            FutureTask<Void> writing = new FutureTask<>(() -> {
                client.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + REQUEST_BYTES + "\r\n\r\n"
                        + "x".repeat(REQUEST_BYTES));
                return null;
            });
            new Thread(writing).start();
            Wire wire = server.accept();
            wire.readUntil("\r\n\r\n");
            wire.write(HEAD + "part");
            readChunkedHead(client);
            wire.reset();
            assertThrows(IOException.class, client::readChunkedBody);
            writing.get();
        }
    }

    /** To a client of HTTP/1.0 the end of the connection is the end of the response. */
    @ParameterizedTest
    @CsvSource({"false, true", "true, false"})
    void clientWithoutChunksSeesTheKindOfTheEnd(boolean isReset, boolean isWhole) throws Exception {
        try (Peer server = new Peer();
                ProxyFixture s = ProxyFixture.withPool("", server);
                Wire client = s.connect()) {
            client.write("GET / HTTP/1.0\r\nHost: a\r\n\r\n");
            Wire wire = acceptRequest(server);
            wire.write(HEAD + "x".repeat(LARGE_BYTES));
            client.readUntil("\r\n\r\n");
            if (isReset) {
                wire.reset();
            } else {
                wire.close();
            }
            if (isWhole) {
                assertEquals(LARGE_BYTES, client.readBytes(2 * LARGE_BYTES).length());
            } else {
                assertThrows(IOException.class, () -> client.readBytes(2 * LARGE_BYTES));
            }
        }
    }
}
