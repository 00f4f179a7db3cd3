package gullspar.site.client;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Decodes random sequences of protocol fragments: no exception escapes, and the number of decoded objects is
 * bounded.
 */
class RandomBytesTest {
    @Provide
    Arbitrary<String> fragments() {
        Arbitrary<String> known = Arbitraries.of(
                "GET ",
                "POST ",
                "/ ",
                "HTTP/1.1",
                "\r\n",
                "\r\n\r\n",
                "\n",
                "\r",
                "Host: a",
                "Content-Length: 3",
                "Transfer-Encoding: chunked",
                "3\r\nabc",
                "0",
                " ",
                ":",
                "\t",
                "abc",
                "\u0000",
                "ffffffffffffffff",
                "Content-Length: -1",
                "HTTP/9.9",
                "\u00ff",
                "x".repeat(3000));
        return known.list().ofMaxSize(40).map(l -> String.join("", l));
    }

    @Property(tries = 3000, seed = "815")
    void decodingEnds(@ForAll("fragments") String text) {
        EmbeddedChannel c = new EmbeddedChannel(new PlainDecoder());
        int size = 7;
        for (int at = 0; at < text.length(); at += size) {
            String piece = text.substring(at, Math.min(text.length(), at + size));
            c.writeInbound(Unpooled.copiedBuffer(piece, StandardCharsets.ISO_8859_1));
            size = size * 3 % 501 + 1;
        }
        int objects = 0;
        for (Object o = c.readInbound(); o != null; o = c.readInbound()) {
            ReferenceCountUtil.release(o);
            objects++;
        }
        assertTrue(objects <= text.length() + 2);
        c.finishAndReleaseAll();
    }
}
