package gullspar.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import gullspar.proxy.config.Classes;
import gullspar.proxy.config.Config;
import gullspar.proxy.http.MemoryBudget;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.DescriptorLimits;
import gullspar.proxy.io.Platform;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Responses that a client does not read. */
class PendingResponseTest {
    private static final String REQUEST = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final long STALL_TIMEOUT_NS = 10_000_000_000L;

    /** A write that the client's receive window does not admit yet. */
    private record PendingWrite(Object message, ChannelPromise promise) {
        void complete() {
            ReferenceCountUtil.release(message);
            promise.setSuccess();
        }
    }

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Queue<PendingWrite> writes = new ArrayDeque<>();
    private final MemoryBudget budget = new MemoryBudget(1 << 20);
    private long nowNs = 1;

    @BeforeEach
    void start() throws Exception {
        Config config = Config.parse(
                new ObjectMapper().readTree(Path.of("deploy/warm.json").toFile()), Map.of());
        channel.pipeline().addLast(new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                writes.add(new PendingWrite(message, promise));
            }
        });
        new Frontend(
                        new Platform(channel.eventLoop(), () -> nowNs, null, line -> {}),
                        config,
                        new Classes(config),
                        new DescriptorLimits(100).clients,
                        budget,
                        new NoRequests(),
                        () -> true)
                .accept(channel);
    }

    private static final class NoRequests implements Frontend.RequestHandler {
        @Override
        public void onRequest(Client client, Message message, RequestParameters parameters, long receivedAtNs) {
            throw new AssertionError("no request of a class is sent");
        }

        @Override
        public void onRequestComplete(Client client, long receivedAtNs) {}

        @Override
        public void onClientDisconnected(Client client) {}
    }

    private void send(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        channel.runPendingTasks();
    }

    private void completeWrites(int count) {
        for (int i = 0; i < count; i++) {
            writes.remove().complete();
        }
        channel.runPendingTasks();
    }

    /** Responses to pipelined requests piled up without a limit for a client that did not read them. */
    @Test
    void nextRequestIsProcessedOnlyOnceTheResponseIsWritten() {
        send(REQUEST);
        int writesPerResponse = writes.size();
        for (int i = 0; i < Client.MAX_PIPELINED; i++) {
            send(REQUEST);
        }
        assertEquals(writesPerResponse, writes.size());
        for (int answered = 0; answered < Client.MAX_PIPELINED; answered++) {
            completeWrites(writesPerResponse);
            assertEquals(writesPerResponse, writes.size(), "the next one");
        }
        completeWrites(writesPerResponse);
        assertTrue(channel.isOpen());
    }

    /** Nothing more is read or decoded for a client while its queue is full. */
    @Test
    void readingPausesWhileTheQueueIsFull() {
        int count = 3 * Client.MAX_PIPELINED;
        send(REQUEST.repeat(count));
        int writesPerResponse = writes.size();
        assertFalse(channel.config().isAutoRead());
        assertTrue(channel.pipeline().get(RequestDecoder.class).undecodedBytes()
                >= REQUEST.length() * (Client.MAX_PIPELINED - 1));
        for (int answered = 1; answered < count; answered++) {
            completeWrites(writesPerResponse);
            assertEquals(writesPerResponse, writes.size(), "the next one");
        }
        assertTrue(channel.config().isAutoRead());
        completeWrites(writesPerResponse);
        assertTrue(channel.isOpen());
    }

    @Test
    void responseIsReservedUntilItIsWritten() {
        Client client = channel.pipeline().get(Client.class);
        client.respond(404, null, "x".repeat(50_000));
        assertTrue(budget.reservedBytes() >= 50_000);
        completeWrites(writes.size());
        assertEquals(0, budget.reservedBytes());
    }

    /** A client that never read its response kept its connection for good. */
    @Test
    void connectionWhoseResponseIsNeverReadIsClosed() {
        send(REQUEST);
        Client client = channel.pipeline().get(Client.class);
        nowNs += STALL_TIMEOUT_NS;
        client.enforceTimeouts(nowNs, 1, 1);
        assertTrue(channel.isOpen());
        nowNs++;
        client.enforceTimeouts(nowNs, 1, 1);
        assertFalse(channel.isOpen());
    }
}
