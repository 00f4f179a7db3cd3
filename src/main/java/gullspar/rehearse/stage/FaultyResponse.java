package gullspar.rehearse.stage;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** Writes faulty or slow responses of a node. */
final class FaultyResponse {
    /** The kind of fault. */
    enum Kind {
        /** Bytes that are not HTTP. */
        NOISE,
        NEGATIVE_LENGTH,
        HEAD_WITHOUT_END,
        /** The first half of the response, then a close. */
        HALF,
        /** The response, followed by bytes that do not belong to it. */
        MORE,
        /** A body that is sent without pause. */
        ENDLESS
    }

    private static final int CHUNK_BYTES = 16 << 10;
    private static final int LONG_HEAD_BYTES = 20_000;

    private final ChannelHandlerContext ctx;
    private final Node node;

    FaultyResponse(ChannelHandlerContext ctx, Node node) {
        this.ctx = ctx;
        this.node = node;
    }

    private void writeBytes(byte[] bytes) {
        ctx.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }

    private void writeText(String s) {
        writeBytes(s.getBytes(StandardCharsets.US_ASCII));
    }

    /** Writes a valid response with that fault. */
    void write(Kind kind, byte[] response) {
        switch (kind) {
            case NOISE -> writeText("\u0001\u0002 noise that is no answer\r\n\r\n");
            case NEGATIVE_LENGTH -> writeText("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nspoilt");
            case HEAD_WITHOUT_END -> writeText("HTTP/1.1 200 OK\r\nX: " + "x".repeat(LONG_HEAD_BYTES));
            case HALF -> {
                writeBytes(Arrays.copyOf(response, response.length / 2));
                ctx.close();
            }
            case MORE -> {
                writeBytes(response);
                writeText("more than belongs to it");
            }
            default -> {
                writeText("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n");
                writeEndlessBody();
            }
        }
    }

    private void writeEndlessBody() {
        if (ctx.channel().isActive() && node.isUp()) {
            if (ctx.channel().isWritable()) {
                writeBytes(new byte[CHUNK_BYTES]);
            }
            node.platform().loop().schedule(this::writeEndlessBody, 1, TimeUnit.MILLISECONDS);
        }
    }

    /** Writes a response slowly, from that byte on. */
    void trickle(byte[] response, int from) {
        if (!ctx.channel().isActive() || !node.isUp()) {
            return;
        }
        int to = Math.min(response.length, from + Math.max(1, (int) (node.trickleBytesPerS() / 100)));
        writeBytes(Arrays.copyOfRange(response, from, to));
        if (to < response.length) {
            node.platform().loop().schedule(() -> trickle(response, to), 10, TimeUnit.MILLISECONDS);
        }
    }
}
