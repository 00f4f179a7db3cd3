package gullspar.proxy.client;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gullspar.proxy.Peer;
import gullspar.proxy.config.Classes;
import gullspar.proxy.config.Config;
import gullspar.proxy.http.MemoryBudget;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.DescriptorLimits;
import gullspar.proxy.io.Platform;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A request that has arrived but is unread when its connection would be closed as idle must be answered. */
@Timeout(60)
class CloseWithUnreadRequestTest {
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();

    @AfterEach
    void end() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Test
    void unreadRequestIsAnsweredWithConnectionClose() throws Exception {
        ObjectNode root = (ObjectNode)
                new ObjectMapper().readTree(Path.of("deploy/warm.json").toFile());
        root.put("listen", "127.0.0.1:0");
        Config config = Config.parse(root, Map.of());
        Frontend.RequestHandler handler = new Frontend.RequestHandler() {
            @Override
            public void onRequest(Client client, Message message, RequestParameters parameters, long receivedAtNs) {
                message.release();
                client.respond(503, null, "try again");
            }

            @Override
            public void onRequestComplete(Client client, long receivedAtNs) {}

            @Override
            public void onClientDisconnected(Client client) {}
        };
        Frontend frontend = loop.submit(() -> new Frontend(
                        Platform.of(loop),
                        config,
                        new Classes(config),
                        new DescriptorLimits(100).clients,
                        MemoryBudget.unlimited(),
                        handler,
                        () -> true))
                .get(20, TimeUnit.SECONDS);
        InetSocketAddress at = (InetSocketAddress) loop.submit(frontend::listen)
                .get(20, TimeUnit.SECONDS)
                .sync()
                .channel()
                .localAddress();
        try (Peer.Wire client = Peer.Wire.to(at);
                Peer.Wire idle = Peer.Wire.to(at)) {
            for (Peer.Wire w : new Peer.Wire[] {client, idle}) {
                w.write("GET /_health HTTP/1.1\r\n\r\n");
                assertTrue(w.read().startsWith("HTTP/1.1 200"));
            }
            loop.submit(() -> {
                        client.write("POST /order/1 HTTP/1.1\r\nHost: a\r\nRequest-Id: r\r\nRequest-Timeout: 1\r\n"
                                + "Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n");
                        frontend.drain();
                        frontend.close();
                        return null;
                    })
                    .get(20, TimeUnit.SECONDS);
            String answer = client.read();
            assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("connection: close"), answer);
            assertTrue(client.ended());
            assertTrue(idle.ended());
        }
    }
}
