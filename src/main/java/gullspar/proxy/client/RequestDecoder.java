package gullspar.proxy.client;

import gullspar.proxy.http.HeaderLines;
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
public class RequestDecoder extends HttpRequestDecoder {
    private boolean stopped;
    private boolean inRequest;

    /** The longest first line and the longest head that it reads, in bytes. */
    public RequestDecoder(int longestLine, int longestHead) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(longestLine)
                .setMaxHeaderSize(longestHead)
                .setMaxChunkSize(64 << 10));
    }

    /** Drops what still comes. */
    public void stop() {
        stopped = true;
    }

    /** Has a request begun that is not whole yet? */
    public boolean inRequest() {
        return inRequest;
    }

    /** The request that had begun is whole. */
    public void endRequest() {
        inRequest = false;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (stopped) {
            in.skipBytes(in.readableBytes());
        } else {
            inRequest |= in.getByte(in.readerIndex()) > ' '; // an empty line ahead of a request is none yet
            super.decode(ctx, in, out);
        }
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        HeaderLines.checkColon(line, start + length);
        return super.splitHeaderName(line, start, length);
    }
}
