package gullspar.rehearse.stage;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** Answers as no proxy wants them. */
final class Spoils {
    /** In which way. */
    enum How {
        NOISE,
        NEGATIVE_LENGTH,
        HEAD_WITHOUT_END,
        HALF,
        MORE,
        ENDLESS
    }

    private static final int CHUNK_BYTES = 16 << 10;
    private static final int LONG_HEAD_BYTES = 20_000;

    private final ChannelHandlerContext ctx;
    private final Node node;

    Spoils(ChannelHandlerContext ctx, Node node) {
        this.ctx = ctx;
        this.node = node;
    }

    private void raw(byte[] bytes) {
        ctx.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }

    private void text(String s) {
        raw(s.getBytes(StandardCharsets.US_ASCII));
    }

    /** Writes an answer that was good in that way. */
    void write(How how, byte[] answer) {
        switch (how) {
            case NOISE -> text("\u0001\u0002 noise that is no answer\r\n\r\n");
            case NEGATIVE_LENGTH -> text("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nspoilt");
            case HEAD_WITHOUT_END -> text("HTTP/1.1 200 OK\r\nX: " + "x".repeat(LONG_HEAD_BYTES));
            case HALF -> {
                raw(Arrays.copyOf(answer, answer.length / 2));
                ctx.close();
            }
            case MORE -> {
                raw(answer);
                text("more than belongs to it");
            }
            default -> {
                text("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n");
                endless();
            }
        }
    }

    private void endless() {
        if (ctx.channel().isActive() && node.up()) {
            if (ctx.channel().isWritable()) {
                raw(new byte[CHUNK_BYTES]);
            }
            node.platform().loop().schedule(this::endless, 1, TimeUnit.MILLISECONDS);
        }
    }

    /** Writes an answer a little at a time, from that byte on. */
    void trickle(byte[] answer, int from) {
        if (!ctx.channel().isActive() || !node.up()) {
            return;
        }
        int to = Math.min(answer.length, from + Math.max(1, (int) (node.trickle() / 100)));
        raw(Arrays.copyOfRange(answer, from, to));
        if (to < answer.length) {
            node.platform().loop().schedule(() -> trickle(answer, to), 10, TimeUnit.MILLISECONDS);
        }
    }
}
