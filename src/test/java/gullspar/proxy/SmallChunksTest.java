package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.PartLimitedReads;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** How much of a body in chunks of one byte is processed before the event loop reads other connections again. */
class SmallChunksTest extends LoopbackTest {
    private static final String CHUNK = "1\r\nx\r\n";
    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    /** The largest buffer of a read holds this many chunks. */
    private static final int CHUNKS_PER_BUFFER = (16 << 10) / CHUNK.length() + 1;
    /** Some 54 KB, which the system's buffers take at once. */
    private static final int CHUNKS = 9000;

    private static String chunkedRequest(int chunks) {
        return "POST /pay HTTP/1.1\r\nHost: api\r\nRequest-Id: chunked\r\nRequest-Timeout: 30\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n" + CHUNK.repeat(chunks) + "0\r\n\r\n";
    }

    private static void write(Peer.Wire to, String text) {
        try {
            to.write(text);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Before an attempt all that its client had sent was read, to find a disconnect: of a body in very small chunks
     * that took hundreds of ms, for each such client.
     */
    @Test
    void fewSmallChunksAreReadBeforeAnAttempt() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest());
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> {
                write(client, chunkedRequest(CHUNKS));
                setup.actions.send(r.ticket(), server, 0);
            });
            assertEquals(Status.MOOT, setup.nextOutcome().status());
            assertTrue(backend.hasNoNewConnection());
        }
    }

    /** Of a backend's response in very small chunks up to 1 MB was decoded in one turn, and others waited for it. */
    @Test
    void responseInSmallChunksIsReadOverSeveralTurns() throws Exception {
        CompletableFuture<Long> endTurn = new CompletableFuture<>();
        AtomicLong startTurn = new AtomicLong();
        try (Peer.Wire client = setup.client()) {
            Peer.Wire wire = sendToBackend(client);
            setup.onOutcome = () -> endTurn.complete(turn());
            setup.runOnLoop(() -> {
                startTurn.set(turn());
                write(wire, RESPONSE_HEAD + CHUNK.repeat(CHUNKS) + "0\r\n\r\n");
            });
            long turns = endTurn.get(20, TimeUnit.SECONDS) - startTurn.get();
            int maxChunksPerTurn = PartLimitedReads.MAX_PARTS + CHUNKS_PER_BUFFER;
            assertTrue(turns > CHUNKS / maxChunksPerTurn, CHUNKS + " chunks in " + turns + " turns");
            assertTrue(client.read().startsWith("HTTP/1.1 200 "));
        }
    }

    /** Each part of a long response was written on its own: a system call for each byte. */
    @Test
    void smallChunksOfLongResponseAreForwardedTogether() throws Exception {
        int chunks = Message.MAX_BUFFERED_RESPONSE_BYTES + 40_000;
        try (Peer.Wire client = setup.client()) {
            Peer.Wire wire = sendToBackend(client);
            Thread writer = new Thread(() -> write(wire, RESPONSE_HEAD + CHUNK.repeat(chunks) + "0\r\n\r\n"));
            writer.start();
            assertTrue(client.read().startsWith("HTTP/1.1 200 "));
            int forwarded = 0;
            int bytes = 0;
            for (int size = chunkSize(client); size > 0; size = chunkSize(client)) {
                client.readBytes(size + "\r\n".length());
                forwarded++;
                bytes += size;
            }
            writer.join();
            assertEquals(chunks, bytes);
            assertTrue(forwarded < 4000, forwarded + " chunks were forwarded");
        }
    }

    /** Sends a request of a client on and returns the connection on which the backend has read it. */
    private Peer.Wire sendToBackend(Peer.Wire client) throws Exception {
        client.write(Setup.getRequest());
        Request r = setup.nextRequest();
        setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
        Peer.Wire wire = backend.accept();
        wire.read();
        return wire;
    }

    private static int chunkSize(Peer.Wire client) throws IOException {
        return Integer.parseInt(client.readUntil("\r\n").trim(), 16);
    }

    private long turn() {
        return setup.serving.statistics().turns();
    }
}
