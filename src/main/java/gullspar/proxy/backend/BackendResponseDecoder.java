package gullspar.proxy.backend;

import gullspar.proxy.http.HeaderLines;
import gullspar.proxy.io.ChannelReads;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Decodes one response for each request, and never takes stray bytes for the response to the next request: bytes
 * that do not start a response, and bytes after a complete one, are reported at once.
 */
public final class BackendResponseDecoder extends HttpResponseDecoder {
    /** Notified of bytes that are not part of an expected response. */
    public interface Listener {
        /** Bytes that do not start a response, or that arrived while none was expected. */
        void onUnexpectedBytes();

        /**
         * Bytes after a complete response.
         *
         * @param startsResponse whether another response starts there, so that the first one did end
         */
        void onTrailingBytes(boolean startsResponse);
    }

    private static final byte[] VERSION_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    private enum Expected {
        NOTHING,
        BEGINNING,
        REST,
        END,
        /** Whatever follows is discarded, as the connection is being closed. */
        ANYTHING
    }

    private final Listener listener;
    private Expected expected = Expected.NOTHING;
    private boolean hasNoBody;
    private long decodedParts;

    /** Creates a decoder that rejects a longer status line or head; both limits are in bytes. */
    public BackendResponseDecoder(Listener listener, int maxStatusLineBytes, int maxHeadBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxStatusLineBytes)
                .setMaxHeaderSize(maxHeadBytes)
                .setMaxChunkSize(64 << 10)
                .setAllowDuplicateContentLengths(true)); // of equal ones the message is sound (RFC 9110, section 8.6)
        this.listener = listener;
    }

    /** Expects a response; with headOnly it has no body, whatever its headers say, as in response to HEAD. */
    public void expectResponse(boolean headOnly) {
        hasNoBody = headOnly;
        expectResponse();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return hasNoBody || super.isContentAlwaysEmpty(message);
    }

    /** Expects a response, either to the request that is being written or following an interim response. */
    public void expectResponse() {
        expected = Expected.BEGINNING;
    }

    /** The response is complete: further bytes of this read are not part of it. */
    public void responseComplete() {
        expected = Expected.END;
    }

    /** The connection is being closed by this side: what is left of a response is not unexpected. */
    public void abandon() {
        expected = Expected.ANYTHING;
    }

    /** The read that completed the response has ended: bytes before the next request are unexpected. */
    public void expectNothing() {
        expected = Expected.NOTHING;
    }

    /** Number of heads and parts of bodies decoded so far. */
    public long decodedParts() {
        return decodedParts;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        decodedParts++;
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
            case ANYTHING -> in.skipBytes(in.readableBytes());
            case BEGINNING -> {
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

    /**
     * A response with neither a length nor chunks ends with its connection. The library ends it on any close, but only
     * the end of the backend's sending makes it whole: after a reset, or a close by this side, the rest is missing.
     */
    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        super.decodeLast(ctx, in, out);
        int last = out.size() - 1;
        if (last >= 0 && out.get(last) instanceof LastHttpContent && !ChannelReads.hasReadEndOfStream(ctx.channel())) {
            out.remove(last);
        }
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        HeaderLines.checkColon(line, start + length);
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
