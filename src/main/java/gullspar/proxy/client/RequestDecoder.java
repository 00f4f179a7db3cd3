package gullspar.proxy.client;

import gullspar.proxy.http.HeadLines;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes requests, and nothing after one that cannot be read: where that ends, and what hides behind it,
 * only its sender knows. The library itself turns down a request with both Content-Length and
 * Transfer-Encoding.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int LONGEST_LINE = 4096, LONGEST_HEAD = 8 << 10;

    private boolean stopped;
    private boolean begun;

    RequestDecoder() {
        super(new HttpDecoderConfig().setMaxInitialLineLength(LONGEST_LINE).setMaxHeaderSize(LONGEST_HEAD));
    }

    /** Drops what still comes. */
    void stop() {
        stopped = true;
    }

    /** Has a request begun that is not whole yet? */
    boolean begun() {
        return begun;
    }

    /** The request that had begun is whole. */
    void whole() {
        begun = false;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (stopped) {
            in.skipBytes(in.readableBytes());
        } else {
            begun |= in.getByte(in.readerIndex()) > ' '; // an empty line ahead of a request is none yet
            super.decode(ctx, in, out);
        }
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        HeadLines.checkColon(line, start + length);
        return super.splitHeaderName(line, start, length);
    }
}
