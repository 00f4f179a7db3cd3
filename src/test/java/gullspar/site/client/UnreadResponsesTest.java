package gullspar.site.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.config.Site;
import gullspar.config.SiteReader;
import gullspar.proxy.http.MemoryBudget;
import gullspar.proxy.io.DescriptorLimits;
import gullspar.proxy.io.Platform;
import gullspar.route.Router;
import gullspar.site.http.PlainRequest;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Clients that pipeline requests and do not read the responses. */
class UnreadResponsesTest {
    /** Long enough that the encoder does not copy it into its own buffer. */
    private static final int BODY_CHARS = 5000;

    private static final String CONFIG =
            """
            [limits]
            idle_s = 60
            [[listener]]
            address = "127.0.0.1:0"
            [[host]]
            default = true
            [[host.route]]
            path = "/"
            answer = { status = 200, body = "%s" }
            """
                    .formatted("x".repeat(BODY_CHARS));
    private static final int PIPELINED = 5;
    /** So many fit into one read of 32 KB. */
    private static final int SMALL_REQUESTS = 1000;

    private static final int LARGE_FIELD_CHARS = 32 << 10;
    private static final int MAX_LARGE_REQUESTS = 4;

    /** A write that the client's receive window does not admit yet. */
    private record PendingWrite(Object message, ChannelPromise promise) {
        void complete() {
            ReferenceCountUtil.release(message);
            promise.setSuccess();
        }
    }

    private final EmbeddedChannel channel = new EmbeddedChannel() {
        @Override
        protected SocketAddress localAddress0() {
            return new InetSocketAddress("127.0.0.1", 80);
        }

        @Override
        protected SocketAddress remoteAddress0() {
            return new InetSocketAddress("127.0.0.1", 40_000);
        }
    };
    private final Queue<PendingWrite> writes = new ArrayDeque<>();
    private final MemoryBudget budget = new MemoryBudget(1 << 20);
    private int reads;
    private Clients clients;
    private long nowNs = 1;

    @BeforeEach
    void start() throws Exception {
        Site site = SiteReader.parse(CONFIG, "test");
        channel.pipeline().addLast(new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                writes.add(new PendingWrite(message, promise));
            }

            @Override
            public void read(ChannelHandlerContext ctx) {
                reads++;
            }
        });
        clients = new Clients(
                new Platform(channel.eventLoop(), () -> nowNs, null, line -> {}),
                new DescriptorLimits(100).clients,
                site.limits(),
                budget,
                1,
                new FixedResponsesOnly(site.listeners().get(0).router()));
        clients.accept(channel, site.listeners().get(0).address());
    }

    private record FixedResponsesOnly(Router router) implements Clients.RequestHandler {
        @Override
        public Clients.PendingRequest onRequest(PlainClient client, PlainRequest request, Router.Result found) {
            throw new AssertionError("no route leads to a pool");
        }

        @Override
        public Router router(InetSocketAddress listener) {
            return router;
        }
    }

    private static String request(String fields) {
        return "GET / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
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
        send(request(""));
        int writesPerResponse = writes.size();
        send(request("").repeat(PIPELINED));
        assertEquals(writesPerResponse, writes.size());
        for (int answered = 0; answered < PIPELINED; answered++) {
            completeWrites(writesPerResponse);
            assertEquals(writesPerResponse, writes.size(), "the next one");
        }
        completeWrites(writesPerResponse);
        assertTrue(channel.isOpen());
    }

    @Test
    void responseIsReservedUntilItIsWritten() {
        send(request(""));
        assertTrue(budget.reservedBytes() >= BODY_CHARS);
        completeWrites(writes.size());
        assertEquals(0, budget.reservedBytes());
    }

    /** A client that had pipelined a request and never read a response would keep its connection for good. */
    @Test
    void connectionWithAPipelinedRequestWhoseResponseIsNeverReadIsClosed() {
        send(request("").repeat(2));
        nowNs += TimeUnit.SECONDS.toNanos(60);
        clients.sweep();
        assertTrue(channel.isOpen());
        nowNs++;
        clients.sweep();
        assertFalse(channel.isOpen());
    }

    /** All small requests of a read were decoded, whatever their heads took. */
    @Test
    void smallRequestsAreDecodedOnlyUpToTheLimit() {
        send(request(""));
        int writesPerResponse = writes.size();
        PlainDecoder decoder = channel.pipeline().get(PlainDecoder.class);
        long decodedBefore = decoder.decodedParts();
        send(request("").repeat(SMALL_REQUESTS));
        long decoded = decoder.decodedParts() - decodedBefore;
        assertTrue(decoded < SMALL_REQUESTS / 2, decoded + " decoded");
        for (int answered = 0; answered <= SMALL_REQUESTS; answered++) {
            assertEquals(writesPerResponse, writes.size(), "response " + answered);
            completeWrites(writesPerResponse);
        }
        assertTrue(writes.isEmpty());
    }

    /** Only bodies were counted: a client could have a thousand heads of 64 KB read ahead. */
    @Test
    void headsOfPipelinedRequestsAreReadOnlyUpToTheLimit() {
        send(request(""));
        String large = request("X: " + "x".repeat(LARGE_FIELD_CHARS) + "\r\n");
        int sent = 0;
        int readsBefore;
        do {
            readsBefore = reads;
            send(large);
            sent++;
        } while (reads > readsBefore && sent < MAX_LARGE_REQUESTS);
        assertTrue(sent < MAX_LARGE_REQUESTS, "stops reading");
        for (int i = 0; i < sent; i++) {
            completeWrites(writes.size());
        }
        assertTrue(reads > readsBefore, "reads on once the responses are written");
    }
}
