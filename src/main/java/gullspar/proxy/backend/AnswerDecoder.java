package gullspar.proxy.backend;

import gullspar.proxy.http.HeaderLines;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Decodes one answer for each request, and sees to it that bytes which belong to none are never taken for the
 * next one's: what is no answer from its first byte on is said at once, and so is what follows a whole one.
 */
public final class AnswerDecoder extends HttpResponseDecoder {
    /** Who hears what the decoder itself cannot say. */
    public interface Listener {
        /** Bytes that no answer begins with, or that came while no answer was due. */
        void noise();

        /** Bytes behind a whole answer; again: another answer begins there, so the first one did end. */
        void trailing(boolean again);
    }

    private static final byte[] BEGINNING = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    private enum Due {
        NOTHING,
        BEGINNING,
        REST,
        END
    }

    private final Listener listener;
    private Due due = Due.NOTHING;
    private boolean bodiless;

    /** The longest first line and the longest head that it reads, in bytes. */
    public AnswerDecoder(Listener listener, int longestLine, int longestHead) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(longestLine)
                .setMaxHeaderSize(longestHead)
                .setMaxChunkSize(64 << 10));
        this.listener = listener;
    }

    /** As expect; to a request whose answer has no body, whatever its head says (HEAD). */
    public void expect(boolean headOnly) {
        bodiless = headOnly;
        expect();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return bodiless || super.isContentAlwaysEmpty(message);
    }

    /** An answer is due from now on: to the request that is being written, or after an interim one. */
    public void expect() {
        due = Due.BEGINNING;
    }

    /** The answer is whole: what still comes in this go is not part of it. */
    public void whole() {
        due = Due.END;
    }

    /** All that came with the answer has been seen: whatever comes before the next request is noise. */
    public void quiet() {
        due = Due.NOTHING;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        switch (due) {
            case NOTHING -> {
                in.skipBytes(in.readableBytes());
                listener.noise();
            }
            case END -> {
                boolean again = begins(in) && in.readableBytes() >= BEGINNING.length;
                in.skipBytes(in.readableBytes());
                listener.trailing(again);
            }
            case BEGINNING -> {
                if (!begins(in)) {
                    in.skipBytes(in.readableBytes());
                    listener.noise();
                } else if (in.readableBytes() >= BEGINNING.length) {
                    due = Due.REST;
                    super.decode(ctx, in, out);
                }
            }
            default -> super.decode(ctx, in, out);
        }
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        HeaderLines.checkColon(line, start + length);
        return super.splitHeaderName(line, start, length);
    }

    private static boolean begins(ByteBuf in) {
        for (int i = 0; i < Math.min(BEGINNING.length, in.readableBytes()); i++) {
            if (in.getByte(in.readerIndex() + i) != BEGINNING[i]) {
                return false;
            }
        }
        return true;
    }
}
