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
 * Decodes requests, and turns down a head with a line that continues the one before (obs-fold, RFC 9112,
 * section 5.2): the library joins such lines, and a server behind may not.
 */
final class PlainDecoder extends RequestDecoder {
    private static final int LONGEST_LINE = 16 << 10, LONGEST_HEAD = 64 << 10;

    private boolean inHead = true;
    private boolean partial;

    PlainDecoder() {
        super(LONGEST_LINE, LONGEST_HEAD);
    }

    /** Has a request begun to come that has not come whole? */
    boolean partial() {
        return partial;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (inHead && folded(in)) {
            in.skipBytes(in.readableBytes());
            DefaultFullHttpRequest odd = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
            odd.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("a folded line")));
            out.add(odd);
            return;
        }
        int known = out.size();
        super.decode(ctx, in, out);
        for (int i = known; i < out.size(); i++) {
            boolean last = out.get(i) instanceof LastHttpContent;
            inHead = last || inHead && !(out.get(i) instanceof HttpRequest);
            partial &= !last;
        }
    }

    /** Does a line of the head that is there so far begin with a space? What is unread begins with a line. */
    private boolean folded(ByteBuf in) {
        int i = in.readerIndex();
        while (!partial && i < in.writerIndex() && (in.getByte(i) == '\r' || in.getByte(i) == '\n')) {
            i++;
        }
        partial |= i < in.writerIndex();
        boolean fresh = true;
        for (; i < in.writerIndex(); i++) {
            byte b = in.getByte(i);
            if (fresh && (b == ' ' || b == '\t')) {
                return true;
            }
            if (fresh && (b == '\r' || b == '\n')) {
                return false; // the end of the head
            }
            fresh = b == '\n';
        }
        return false;
    }
}
