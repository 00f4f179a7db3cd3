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
        void part(Link link);

        void received(Link link, Message m);

        /** Nothing comes any more. */
        void closed(Link link, String why);

        /** More may be written again. */
        default void writable(Link link) {}
    }

    /** What the listener is told where the other end has closed it, in whatever way. */
    static final String CLOSED = "the other end closed it";

    private final Listener listener;
    private final Frames.Joined joined;
    private Channel channel;
    private String why = CLOSED;
    private boolean broken;
    private long sent;
    private long received;

    /** mostBytes: of a message that may come, packed. */
    public Link(Listener listener, int mostBytes) {
        this.listener = listener;
        this.joined = new Frames.Joined(mostBytes);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        listener.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        super.channelInactive(context);
        listener.closed(this, why);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (context.channel().isWritable()) {
            listener.writable(this);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (broken) { // what still comes would be refused once more, while it is closed
            in.skipBytes(in.readableBytes());
            return;
        }
        if (in.readableBytes() < Integer.BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length < 2 || length > Frames.MOST) {
            throw new IOException("a frame of " + length + " bytes, " + Frames.MOST + " at the most");
        }
        if (in.readableBytes() < Integer.BYTES + length) {
            return;
        }
        in.skipBytes(Integer.BYTES);
        byte[] frame = new byte[length];
        in.readBytes(frame);
        received += Integer.BYTES + length;
        Message m = joined.add(frame);
        if (m == null) {
            listener.part(this);
        } else {
            listener.received(this, m);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        broken = true;
        Throwable first = cause.getCause() instanceof IOException ? cause.getCause() : cause;
        end(first.getMessage() == null ? first.toString() : first.getMessage());
    }

    /** Writes a message at once. */
    public void send(Message m) {
        Frames.of(m).forEach(this::write);
        channel.flush();
    }

    /** Writes a frame; it goes out with the next {@link #flush}. */
    public void write(byte[] frame) {
        sent += frame.length;
        channel.write(Unpooled.wrappedBuffer(frame));
    }

    public void flush() {
        channel.flush();
    }

    /** Does the other end take what is written? */
    public boolean writable() {
        return channel.isWritable();
    }

    /** Bytes written so far, and bytes of whole frames that came, without those of TCP and IP. */
    public long sent() {
        return sent;
    }

    public long received() {
        return received;
    }

    /** Where the other end is. */
    public String peer() {
        return String.valueOf(channel.remoteAddress());
    }

    /** Closes it; reason: what the listener is told, null for the usual one. */
    public void end(String reason) {
        if (reason != null) {
            why = reason;
        }
        if (channel != null) {
            channel.close();
        }
    }
}
