package gullspar.versions.net;

import gullspar.versions.Message;
import gullspar.versions.wire.Frames;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.io.IOException;
import java.util.List;

/** A bidirectional message connection. Runs on its event loop. */
public final class Link extends ByteToMessageDecoder {
    /** Receives the events of a link. */
    public interface Listener {
        void opened(Link link);

        /** A frame has arrived that does not complete a message. */
        void partReceived(Link link);

        void received(Link link, Message m);

        /** The connection has ended. */
        void closed(Link link, String reason);

        /** The channel is writable again. */
        default void writable(Link link) {}
    }

    /** The reason given to the listener when the peer has closed the connection in any way. */
    static final String CLOSED_BY_PEER = "the peer closed the connection";

    private final Listener listener;
    private final Frames.Assembler assembler;
    private Channel channel;
    private String closeReason = CLOSED_BY_PEER;
    private boolean failed;
    private long sentBytes;
    private long receivedBytes;

    /** maxBytes: limit for a received message, compressed. */
    public Link(Listener listener, int maxBytes) {
        this.listener = listener;
        this.assembler = new Frames.Assembler(maxBytes);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        listener.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        super.channelInactive(context);
        listener.closed(this, closeReason);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (context.channel().isWritable()) {
            listener.writable(this);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (failed) { // discard input that arrives while the channel closes
            in.skipBytes(in.readableBytes());
            return;
        }
        if (in.readableBytes() < Integer.BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length < 2 || length > Frames.MAX_FRAME_BYTES) {
            throw new IOException("a frame of " + length + " bytes, expected 2 to " + Frames.MAX_FRAME_BYTES);
        }
        if (in.readableBytes() < Integer.BYTES + length) {
            return;
        }
        in.skipBytes(Integer.BYTES);
        byte[] frame = new byte[length];
        in.readBytes(frame);
        receivedBytes += Integer.BYTES + length;
        Message m = assembler.add(frame);
        if (m == null) {
            listener.partReceived(this);
        } else {
            listener.received(this, m);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failed = true;
        Throwable first = cause.getCause() instanceof IOException ? cause.getCause() : cause;
        close(first.getMessage() == null ? first.toString() : first.getMessage());
    }

    /** Writes and flushes a message. */
    public void send(Message m) {
        Frames.of(m).forEach(this::write);
        channel.flush();
    }

    /** Writes a frame; it is sent with the next {@link #flush}. */
    public void write(byte[] frame) {
        sentBytes += frame.length;
        channel.write(Unpooled.wrappedBuffer(frame));
    }

    public void flush() {
        channel.flush();
    }

    /** Whether the write buffer is below its limit. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Bytes written so far, without TCP and IP overhead. */
    public long sentBytes() {
        return sentBytes;
    }

    public long receivedBytes() {
        return receivedBytes;
    }

    /** The remote address. */
    public String peer() {
        return String.valueOf(channel.remoteAddress());
    }

    /** Closes the connection; reason: passed to the listener, null for the default one. */
    public void close(String reason) {
        if (reason != null) {
            closeReason = reason;
        }
        if (channel != null) {
            channel.close();
        }
    }
}
