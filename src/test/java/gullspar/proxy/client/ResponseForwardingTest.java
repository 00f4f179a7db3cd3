package gullspar.proxy.client;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.proxy.http.BodyStream;
import gullspar.proxy.http.MemoryBudget;
import gullspar.proxy.http.Message;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Forwards a response of which much is already buffered when the channel of the client is writable. */
class ResponseForwardingTest {
    private static final class Owner implements Client.Owner {
        @Override
        public void onRequest(Client client, Message message, long receivedAtNs) {}

        @Override
        public long receivedAt() {
            return now();
        }

        @Override
        public void onRequestComplete(Client client, long receivedAtNs) {}

        @Override
        public void onRequestAborted(Client client) {}

        @Override
        public void onRequestIncomplete(Client client, long receivedUntilNs) {}

        @Override
        public long unreadTimeoutNs() {
            return Long.MAX_VALUE;
        }

        @Override
        public MemoryBudget budget() {
            return new MemoryBudget(1 << 20);
        }

        @Override
        public boolean onResponse(Client client, int status) {
            return false;
        }

        @Override
        public void onClosed(Client client) {}

        @Override
        public long now() {
            return 1;
        }
    }

    /**
     * The channel accepts all data at once, so a write that fills its buffer calls the handler re-entrantly, as the
     * channel is writable again. The nested write must not put data between the parts of a chunk.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void chunkPartsAreNotInterleaved(boolean chunked) throws Exception {
        byte[] all = new byte[700_000];
        new Random(1).nextBytes(all);
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (chunked) {
            HttpUtil.setTransferEncodingChunked(head, true);
        } else {
            HttpUtil.setContentLength(head, all.length);
        }
        EmbeddedChannel c = new EmbeddedChannel(new HttpResponseEncoder());
        Client client = new Client(c, new RequestDecoder(1000, 1000), new Owner());
        c.pipeline().addLast(client);
        BodyStream rest = new BodyStream(MemoryBudget.unlimited(), () -> {}, () -> {});
        for (int at = 100_000; at < all.length; at += 100_000) {
            rest.add(Unpooled.copiedBuffer(all, at, 100_000));
        }
        rest.complete();
        List<Boolean> done = new ArrayList<>();
        byte[] first = new byte[100_000];
        System.arraycopy(all, 0, first, 0, first.length);
        client.respond(head, first, rest, done::add);
        c.runPendingTasks();
        assertEquals(List.of(true), done);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (ByteBuf b = c.readOutbound(); b != null; b = c.readOutbound()) {
            b.readBytes(out, b.readableBytes());
            b.release();
        }
        String text = out.toString(StandardCharsets.ISO_8859_1);
        assertTrue(text.startsWith("HTTP/1.1 200"), text.substring(0, 100));
        byte[] body = text.substring(text.indexOf("\r\n\r\n") + 4).getBytes(StandardCharsets.ISO_8859_1);
        assertArrayEquals(all, chunked ? decodeChunked(body) : body);
    }

    private static byte[] decodeChunked(byte[] bytes) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        int at = 0;
        while (true) {
            int line = text.indexOf("\r\n", at);
            int size = Integer.parseInt(text.substring(at, line), 16);
            at = line + 2;
            if (size == 0) {
                return all.toByteArray();
            }
            all.write(bytes, at, size);
            assertEquals("\r\n", text.substring(at + size, at + size + 2), "a chunk ends there");
            at += size + 2;
        }
    }
}
