package gullspar.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
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
import org.junit.jupiter.api.Test;

/**
 * After a stall of the event loop, a body that stayed unread for too long is found in the same iteration that
 * would send it on: its request must be rejected although the timer has not fired yet.
 */
class UnreadBodyTest {
    private final List<Client> accepted = new ArrayList<>();
    private final List<Client> disconnected = new ArrayList<>();
    private long now = 1;

    @Test
    void rejectedBeforeItsTimerFires() throws Exception {
        Config config = Config.parse(
                new ObjectMapper().readTree(Path.of("deploy/warm.json").toFile()), Map.of());
        Frontend.RequestHandler handler = new Frontend.RequestHandler() {
            @Override
            public void onRequest(Client client, Message message, RequestParameters parameters, long receivedAtNs) {
                accepted.add(client);
            }

            @Override
            public void onRequestComplete(Client client, long receivedAtNs) {}

            @Override
            public void onClientDisconnected(Client client) {
                disconnected.add(client);
            }
        };
        EmbeddedChannel c = new EmbeddedChannel();
        new Frontend(
                        new Platform(c.eventLoop(), () -> now, null, line -> {}),
                        config,
                        new Classes(config),
                        new DescriptorLimits(100).clients,
                        MemoryBudget.unlimited(),
                        handler,
                        () -> true)
                .accept(c);
        c.writeInbound(Unpooled.copiedBuffer(
                "POST /order/1 HTTP/1.1\r\nHost: a\r\nRequest-Id: r\r\n"
                        + "Request-Timeout: 1\r\nIdempotency-Key: k\r\nContent-Length: 3000000\r\n\r\n",
                StandardCharsets.ISO_8859_1));
        while (c.config().isAutoRead()) {
            c.writeInbound(Unpooled.buffer().writeZero(10_000));
        }
        Client client = accepted.get(0);
        assertTrue(client.readAndCheckConnected());
        now += Frontend.UNREAD_TIMEOUT_NS - 1;
        assertTrue(client.readAndCheckConnected());
        assertEquals(List.of(), disconnected);
        assertNull(c.readOutbound());
        now++;
        client.readAndCheckConnected();
        assertEquals(List.of(client), disconnected);
        c.runPendingTasks();
        ByteBuf answer = c.readOutbound();
        assertTrue(answer.toString(StandardCharsets.US_ASCII).startsWith("HTTP/1.1 503 "));
        answer.release();
        assertTrue(c.config().isAutoRead(), "the rest is read to detect that the client disconnects");
        c.close();
        c.runPendingTasks();
    }
}
