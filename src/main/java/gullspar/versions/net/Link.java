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

/** A connection on which messages go either way. All on its loop. */
public final class Link extends ByteToMessageDecoder {
    /** Who hears what comes on it. */
    public interface Listener {
        void opened(Link link);

        /** A frame has come that does not end a message. */
        void partReceived(Link link);

        void received(Link link, Message m);

        /** Nothing comes any more. */
        void closed(Link link, String why);

        /** More may be written again. */
        default void writable(Link link) {}
    }

    /** What the listener is told where the other end has closed it, in whatever way. */
    static final String CLOSED_BY_PEER = "the other end closed it";

    private final Listener listener;
    private final Frames.Assembler assembler;
    private Channel channel;
    private String closeReason = CLOSED_BY_PEER;
    private boolean failed;
    private long sentBytes;
    private long received;

    /** mostBytes: of a message that may come, packed. */
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
        if (failed) { // what still comes would be refused once more, while it is closed
            in.skipBytes(in.readableBytes());
            return;
        }
        if (in.readableBytes() < Integer.BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length < 2 || length > Frames.MAX_FRAME_BYTES) {
            throw new IOException("a frame of " + length + " bytes, " + Frames.MAX_FRAME_BYTES + " at the most");
        }
        if (in.readableBytes() < Integer.BYTES + length) {
            return;
        }
        in.skipBytes(Integer.BYTES);
        byte[] frame = new byte[length];
        in.readBytes(frame);
        received += Integer.BYTES + length;
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

    /** Writes a message at once. */
    public void send(Message m) {
        Frames.of(m).forEach(this::write);
        channel.flush();
    }

    /** Writes a frame; it goes out with the next {@link #flush}. */
    public void write(byte[] frame) {
        sentBytes += frame.length;
        channel.write(Unpooled.wrappedBuffer(frame));
    }

    public void flush() {
        channel.flush();
    }

    /** Does the other end take what is written? */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Bytes written so far, and bytes of whole frames that came, without those of TCP and IP. */
    public long sentBytes() {
        return sentBytes;
    }

    public long received() {
        return received;
    }

    /** Where the other end is. */
    public String peer() {
        return String.valueOf(channel.remoteAddress());
    }

    /** Closes it; reason: what the listener is told, null for the usual one. */
    public void close(String reason) {
        if (reason != null) {
            closeReason = reason;
        }
        if (channel != null) {
            channel.close();
        }
    }
}
