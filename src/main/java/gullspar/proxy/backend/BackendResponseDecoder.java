package gullspar.proxy.backend;

import gullspar.proxy.http.HeadLines;
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
public final class BackendResponseDecoder extends HttpResponseDecoder {
    /** Who hears what the decoder itself cannot say. */
    public interface Listener {
        /** Bytes that no answer begins with, or that came while no answer was due. */
        void onUnexpectedBytes();

        /** Bytes behind a whole answer; again: another answer begins there, so the first one did end. */
        void onTrailingBytes(boolean startsResponse);
    }

    private static final byte[] VERSION_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    private enum Expected {
        NOTHING,
        START,
        REST,
        END
    }

    private final Listener listener;
    private Expected expected = Expected.NOTHING;
    private boolean hasNoBody;

    /** The longest first line and the longest head that it reads, in bytes. */
    public BackendResponseDecoder(Listener listener, int maxStatusLineBytes, int maxHeadBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxStatusLineBytes)
                .setMaxHeaderSize(maxHeadBytes)
                .setMaxChunkSize(64 << 10));
        this.listener = listener;
    }

    /** As expect; to a request whose answer has no body, whatever its head says (HEAD). */
    public void expectResponse(boolean headOnly) {
        hasNoBody = headOnly;
        expectResponse();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return hasNoBody || super.isContentAlwaysEmpty(message);
    }

    /** An answer is due from now on: to the request that is being written, or after an interim one. */
    public void expectResponse() {
        expected = Expected.START;
    }

    /** The answer is whole: what still comes in this go is not part of it. */
    public void responseComplete() {
        expected = Expected.END;
    }

    /** All that came with the answer has been seen: whatever comes before the next request is noise. */
    public void expectNothing() {
        expected = Expected.NOTHING;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        switch (expected) {
            case NOTHING -> {
                in.skipBytes(in.readableBytes());
                listener.onUnexpectedBytes();
            }
            case END -> {
                boolean startsResponse = startsWithVersion(in) && in.readableBytes() >= VERSION_PREFIX.length;
                in.skipBytes(in.readableBytes());
                listener.onTrailingBytes(startsResponse);
            }
            case START -> {
                if (!startsWithVersion(in)) {
                    in.skipBytes(in.readableBytes());
                    listener.onUnexpectedBytes();
                } else if (in.readableBytes() >= VERSION_PREFIX.length) {
                    expected = Expected.REST;
                    super.decode(ctx, in, out);
                }
            }
            default -> super.decode(ctx, in, out);
        }
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        HeadLines.checkColon(line, start + length);
        return super.splitHeaderName(line, start, length);
    }

    private static boolean startsWithVersion(ByteBuf in) {
        for (int i = 0; i < Math.min(VERSION_PREFIX.length, in.readableBytes()); i++) {
            if (in.getByte(in.readerIndex() + i) != VERSION_PREFIX[i]) {
                return false;
            }
        }
        return true;
    }
}
