package gullspar.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import gullspar.proxy.config.Classes;
import gullspar.proxy.config.Config;
import gullspar.proxy.http.MemoryBudget;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.DescriptorLimits;
import gullspar.proxy.io.Platform;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The budget reserved for a request's body is released however the request ends. */
class MemoryBudgetReleaseTest {
    private final List<Message> accepted = new ArrayList<>();
    private final List<Client> disconnected = new ArrayList<>();
    private Frontend frontend;
    private int lastId;
    private long nowNs = 1;

    @BeforeEach
    void start() throws Exception {
        Config config = Config.parse(
                new ObjectMapper().readTree(Path.of("deploy/warm.json").toFile()), Map.of());
        Frontend.RequestHandler handler = new Frontend.RequestHandler() {
            @Override
            public void onRequest(Client client, Message message, RequestParameters parameters, long receivedAtNs) {
                accepted.add(message);
            }

            @Override
            public void onRequestComplete(Client client, long receivedAtNs) {}

            @Override
            public void onClientDisconnected(Client client) {
                disconnected.add(client);
                client.currentRequest().release(); // as an exchange does when it ends
            }
        };
        frontend = new Frontend(
                new Platform(new EmbeddedChannel().eventLoop(), () -> nowNs, null, line -> {}),
                config,
                new Classes(config),
                new DescriptorLimits(100).clients,
                MemoryBudget.unlimited(),
                handler,
                () -> true);
    }

    private EmbeddedChannel client(String... parts) {
        EmbeddedChannel c = new EmbeddedChannel();
        frontend.accept(c);
        for (String part : parts) {
            c.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
        }
        c.runPendingTasks();
        return c;
    }

    private String requestHead(int bodyLength) {
        return "POST /order/1 HTTP/1.1\r\nHost: a\r\nRequest-Id: r" + ++lastId + "\r\nRequest-Timeout: 1\r\n"
                + "Idempotency-Key: k\r\nContent-Length: " + bodyLength + "\r\n\r\n";
    }

    private static void disconnect(EmbeddedChannel c) {
        for (ByteBuf b = c.readOutbound(); b != null; b = c.readOutbound()) {
            b.release();
        }
        c.close();
        c.runPendingTasks();
    }

    @Test
    void releasedWhenClientDisconnectsAfterFullRequest() {
        EmbeddedChannel c = client(requestHead(5000), "x".repeat(5000));
        assertEquals(1, accepted.size());
        assertTrue(frontend.budget().reservedBytes() >= 5000);
        disconnect(c);
        assertEquals(1, disconnected.size());
        assertEquals(0, frontend.budget().reservedBytes());
    }

    @Test
    void releasedWhenClientDisconnectsMidBody() {
        EmbeddedChannel c = client(requestHead(5000), "x".repeat(2000));
        assertTrue(frontend.budget().reservedBytes() >= 2000);
        disconnect(c);
        assertEquals(0, frontend.budget().reservedBytes());
        assertEquals(0, accepted.size());
    }

    @Test
    void releasedWhenRequestIsInvalid() {
        disconnect(client(requestHead(1000).replace("/order", "/other"), "x".repeat(1000)));
        disconnect(client(requestHead(1000).replace("Request-Id", "Other-Id"), "x".repeat(1000)));
        disconnect(client(requestHead(1000).replace("POST", "PUT"), "x".repeat(1000)));
        assertEquals(0, accepted.size());
        assertEquals(0, frontend.budget().reservedBytes());
    }

    @Test
    void releasedForPipelinedRequestsAndWhenTooManyArePipelined() {
        String one = requestHead(1000) + "x".repeat(1000);
        EmbeddedChannel c = client(one, requestHead(1000) + "x".repeat(1000), requestHead(1000) + "x".repeat(1000));
        assertEquals(1, accepted.size());
        assertTrue(frontend.budget().reservedBytes() >= 3000);
        disconnect(c);
        assertEquals(0, frontend.budget().reservedBytes());
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < 40; i++) {
            many.append(requestHead(1000)).append("x".repeat(1000));
        }
        disconnect(client(many.toString()));
        assertEquals(0, frontend.budget().reservedBytes());
    }

    @Test
    void releasedForBodyThatIsStreamed() {
        EmbeddedChannel c = client(requestHead(3 << 20), "x".repeat(2 << 20));
        assertEquals(1, accepted.size());
        assertTrue(frontend.budget().reservedBytes() >= 1 << 20);
        assertTrue(accepted.get(0).bodyStream().isReceiving());
        disconnect(c);
        assertEquals(1, disconnected.size());
        assertEquals(0, frontend.budget().reservedBytes());
    }

    /** The reservation was returned with the response, while the body was still held by a write to the backend. */
    @Test
    void bodyStaysReservedWhileItIsWritten() {
        EmbeddedChannel c = client(requestHead(5000), "x".repeat(5000));
        ByteBuf beingWritten = accepted.get(0).body().bytes();
        accepted.get(0).release();
        assertTrue(frontend.budget().reservedBytes() >= 5000);
        beingWritten.release();
        assertEquals(0, frontend.budget().reservedBytes());
        disconnect(c);
    }

    /** Clients that stopped half way through a request kept room from usual requests for seconds. */
    @Test
    void stalledRequestsAreRejectedEarlierWhileTheBudgetIsExhausted() {
        frontend.budget().setLimit(64 << 10);
        EmbeddedChannel stalled = client(requestHead(65_000), "x".repeat(60_000));
        nowNs += 1_000_000_000L;
        Client client = stalled.pipeline().get(Client.class);
        client.enforceTimeouts(nowNs, 10_000_000_000L, 10_000_000_000L);
        stalled.runPendingTasks();
        assertTrue(responseOf(stalled).startsWith("HTTP/1.1 408 "));
        assertEquals(0, frontend.budget().reservedBytes());
        EmbeddedChannel roomy = client(requestHead(65_000), "x".repeat(20_000));
        nowNs += 1_000_000_000L;
        roomy.pipeline().get(Client.class).enforceTimeouts(nowNs, 10_000_000_000L, 10_000_000_000L);
        roomy.runPendingTasks();
        assertTrue(roomy.outboundMessages().isEmpty(), "there is room");
        disconnect(stalled);
        disconnect(roomy);
    }

    /** Heads of many short fields took hundreds of times their bytes, for each of the requests queued. */
    @Test
    void headWithTooManyFieldsIsRejected() {
        String head = requestHead(0).replace("\r\n\r\n", "\r\n");
        EmbeddedChannel c = client(head + "a:\r\n".repeat(1000) + "\r\n");
        assertTrue(responseOf(c).startsWith("HTTP/1.1 431 "));
        assertEquals(0, accepted.size());
        assertEquals(0, frontend.budget().reservedBytes());
        EmbeddedChannel usual = client(requestHead(0), requestHead(0));
        assertEquals(1, accepted.size());
        disconnect(usual);
    }

    /** Heads were outside the budget: queued requests of many clients exhausted the heap. */
    @Test
    void queuedHeadsAreReservedAndRejectedWhenTheBudgetIsExhausted() {
        frontend.budget().setLimit(100_000);
        List<EmbeddedChannel> all = new ArrayList<>();
        String requests = "";
        for (int i = 0; i < Client.MAX_PIPELINED; i++) {
            requests += requestHead(0).replace("Host: a", "Host: a\r\nCookie: " + "x".repeat(1000));
        }
        while (all.size() < 40
                && (all.isEmpty() || all.get(all.size() - 1).outboundMessages().isEmpty())) {
            all.add(client(requests.replace("Request-Id: r", "Request-Id: r" + all.size() + "-")));
        }
        assertTrue(all.size() < 40, "rejected at some time");
        assertTrue(frontend.budget().reservedBytes() <= 100_000);
        all.forEach(MemoryBudgetReleaseTest::disconnect);
        assertEquals(0, frontend.budget().reservedBytes());
    }

    private static String responseOf(EmbeddedChannel c) {
        ByteBuf response = c.readOutbound();
        try {
            return response.toString(StandardCharsets.ISO_8859_1);
        } finally {
            response.release();
        }
    }

    @Test
    void bodiesAreStreamedWhenBudgetIsExhausted() {
        frontend.budget().setLimit(2 << 20);
        List<EmbeddedChannel> all = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            all.add(client(requestHead(1 << 20), "x".repeat((1 << 20) - 1))); // buffered: one byte is missing
        }
        assertEquals(1, accepted.size(), "the first one without room in the budget is forwarded while it is received");
        EmbeddedChannel small = client(requestHead(1000), "x".repeat(1000));
        assertEquals(2, accepted.size());
        disconnect(small);
        all.forEach(MemoryBudgetReleaseTest::disconnect);
        assertEquals(0, frontend.budget().reservedBytes());
    }
}
