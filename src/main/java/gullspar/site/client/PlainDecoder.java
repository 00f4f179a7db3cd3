package gullspar.site.client;

import gullspar.proxy.client.RequestDecoder;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes requests, and rejects a head with a folded line (obs-fold, RFC 9112, section 5.2): the library joins
 * such lines, and a server may not.
 */
final class PlainDecoder extends RequestDecoder {
    private static final int MAX_LINE_BYTES = 16 << 10, MAX_HEAD_BYTES = 64 << 10;

    private boolean inHead = true;
    private boolean hasPartialRequest;

    PlainDecoder() {
        super(MAX_LINE_BYTES, MAX_HEAD_BYTES);
    }

    /** Returns whether a request has been received in part. */
    boolean hasPartialRequest() {
        return hasPartialRequest;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (!isPaused() && inHead && hasFoldedLine(in)) {
            in.skipBytes(in.readableBytes());
            DefaultFullHttpRequest malformed = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
            malformed.setDecoderResult(DecoderResult.failure(
                    new IllegalArgumentException("header line folding (obs-fold) is not supported")));
            out.add(malformed);
            return;
        }
        int known = out.size();
        super.decode(ctx, in, out);
        for (int i = known; i < out.size(); i++) {
            boolean last = out.get(i) instanceof LastHttpContent;
            inHead = last || inHead && !(out.get(i) instanceof HttpRequest);
            hasPartialRequest &= !last;
        }
    }

    /** Returns whether a received line of the head starts with white space. Unread input starts at a line. */
    private boolean hasFoldedLine(ByteBuf in) {
        int i = in.readerIndex();
        while (!hasPartialRequest && i < in.writerIndex() && (in.getByte(i) == '\r' || in.getByte(i) == '\n')) {
            i++;
        }
        hasPartialRequest |= i < in.writerIndex();
        boolean atLineStart = true;
        for (; i < in.writerIndex(); i++) {
            byte b = in.getByte(i);
            if (atLineStart && (b == ' ' || b == '\t')) {
                return true;
            }
            if (atLineStart && (b == '\r' || b == '\n')) {
                return false; // end of the head
            }
            atLineStart = b == '\n';
        }
        return false;
    }
}
