package gullspar.proxy.client;

import gullspar.proxy.http.HeaderLines;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes requests, until stopped by {@link Client} after one that cannot be parsed: its end is unknown, and the data
 * behind it may be a smuggled request. Netty itself rejects a request with both Content-Length and Transfer-Encoding.
 */
public class RequestDecoder extends HttpRequestDecoder {
    /** A field takes a hundred times its bytes once it is decoded, so the limit of the head's size is not enough. */
    static final int MAX_FIELDS = 100;

    private boolean stopped;
    private boolean paused;
    private int fieldCount;
    private long receivedBytes;
    private long decodedParts;
    private boolean inRequest;

    /** Limits of the request line and of the head, in bytes. */
    public RequestDecoder(int maxLineBytes, int maxHeadBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxLineBytes)
                .setMaxHeaderSize(maxHeadBytes)
                .setMaxChunkSize(64 << 10));
    }

    /** Discards all further input. */
    public void stop() {
        stopped = true;
    }

    /** Keeps further input undecoded until {@link #resume}. */
    public void pause() {
        paused = true;
    }

    /** Decodes again from the next read on; what was kept comes first. */
    public void resume() {
        paused = false;
    }

    /** True while further input is kept undecoded. */
    public boolean isPaused() {
        return paused;
    }

    /** Number of bytes that were read and are not decoded. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    /** True while a request is partly received. */
    public boolean inRequest() {
        return inRequest;
    }

    /** Called when the current request is complete. */
    public void endRequest() {
        inRequest = false;
    }

    /** Number of bytes read so far. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Number of heads and parts of bodies decoded so far. */
    public long decodedParts() {
        return decodedParts;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        receivedBytes += ((ByteBuf) message).readableBytes();
        super.channelRead(ctx, message);
    }

    /** While paused the superclass would request a read, as nothing was decoded. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (paused) {
            discardSomeReadBytes();
            ctx.fireChannelReadComplete();
        } else {
            super.channelReadComplete(ctx);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (stopped) {
            in.skipBytes(in.readableBytes());
        } else if (!paused) {
            inRequest |= in.getByte(in.readerIndex()) > ' '; // an empty line before a request does not start one
            decodedParts++;
            super.decode(ctx, in, out);
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        fieldCount = 0;
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        HeaderLines.checkColon(line, start + length);
        fieldCount++;
        if (fieldCount > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
        return super.splitHeaderName(line, start, length);
    }
}
