package gullspar.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import gullspar.proxy.config.Classes;
import gullspar.proxy.config.Config;
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

/** Whatever becomes of a request, the room that its body took is given back. */
class BodiesGivenBackTest {
    private final List<Message> taken = new ArrayList<>();
    private final List<Client> gone = new ArrayList<>();
    private Frontend frontend;
    private int ids;

    @BeforeEach
    void start() throws Exception {
        Config config = Config.parse(
                new ObjectMapper().readTree(Path.of("deploy/warm.json").toFile()), Map.of());
        Frontend.Taker taker = new Frontend.Taker() {
            @Override
            public void onRequest(Client client, Message message, RequestParameters asked, long at) {
                taken.add(message);
            }

            @Override
            public void onRequestComplete(Client client, long at) {}

            @Override
            public void onClientLeft(Client client) {
                gone.add(client);
                client.taken().release(); // as an exchange does when it ends
            }
        };
        frontend = new Frontend(
                new Platform(new EmbeddedChannel().eventLoop(), () -> 1, null, line -> {}),
                config,
                new Classes(config),
                new DescriptorLimits(100).clients,
                taker,
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

    private String order(int length) {
        return "POST /order/1 HTTP/1.1\r\nHost: a\r\nRequest-Id: r" + ++ids + "\r\nRequest-Timeout: 1\r\n"
                + "Idempotency-Key: k\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private static void leave(EmbeddedChannel c) {
        for (ByteBuf b = c.readOutbound(); b != null; b = c.readOutbound()) {
            b.release();
        }
        c.close();
        c.runPendingTasks();
    }

    @Test
    void ofARequestThatWasTaken() {
        EmbeddedChannel c = client(order(5000), "x".repeat(5000));
        assertEquals(1, taken.size());
        assertTrue(frontend.budget().taken() >= 5000);
        leave(c);
        assertEquals(1, gone.size());
        assertEquals(0, frontend.budget().taken());
    }

    @Test
    void ofHalfARequest() {
        EmbeddedChannel c = client(order(5000), "x".repeat(2000));
        assertTrue(frontend.budget().taken() >= 2000);
        leave(c);
        assertEquals(0, frontend.budget().taken());
        assertEquals(0, taken.size());
    }

    @Test
    void ofOneThatMakesNoSense() {
        leave(client(order(1000).replace("/order", "/other"), "x".repeat(1000)));
        leave(client(order(1000).replace("Request-Id", "Other-Id"), "x".repeat(1000)));
        leave(client(order(1000).replace("POST", "PUT"), "x".repeat(1000)));
        assertEquals(0, taken.size());
        assertEquals(0, frontend.budget().taken());
    }

    @Test
    void ofThoseThatWaitInLineAndOfTooMany() {
        String one = order(1000) + "x".repeat(1000);
        EmbeddedChannel c = client(one, order(1000) + "x".repeat(1000), order(1000) + "x".repeat(1000));
        assertEquals(1, taken.size());
        assertTrue(frontend.budget().taken() >= 3000);
        leave(c);
        assertEquals(0, frontend.budget().taken());
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < 40; i++) {
            many.append(order(1000)).append("x".repeat(1000));
        }
        leave(client(many.toString()));
        assertEquals(0, frontend.budget().taken());
    }

    @Test
    void ofOneThatIsTooLargeToWaitFor() {
        EmbeddedChannel c = client(order(3 << 20), "x".repeat(2 << 20));
        assertEquals(1, taken.size());
        assertTrue(frontend.budget().taken() >= 1 << 20);
        assertTrue(taken.get(0).rest().coming());
        leave(c);
        assertEquals(1, gone.size());
        assertEquals(0, frontend.budget().taken());
    }

    @Test
    void whereTheBudgetIsSpentRequestsStillGoOn() {
        frontend.budget().limit(2 << 20);
        List<EmbeddedChannel> all = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            all.add(client(order(1 << 20), "x".repeat((1 << 20) - 1))); // held: a byte is missing
        }
        assertEquals(1, taken.size(), "the first that finds no room goes on while it comes");
        EmbeddedChannel small = client(order(1000), "x".repeat(1000));
        assertEquals(2, taken.size());
        leave(small);
        all.forEach(BodiesGivenBackTest::leave);
        assertEquals(0, frontend.budget().taken());
    }
}
