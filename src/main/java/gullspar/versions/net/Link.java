package gullspar.versions.net;

import gullspar.proxy.io.NextTurn;
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

    /** Further messages wait for the next turn of the loop: a peer that sends many must not hold up the others. */
    static final int MAX_MESSAGES_PER_TURN = 64;

    /** The reason given to the listener when the peer has closed the connection in any way. */
    static final String CLOSED_BY_PEER = "the peer closed the connection";

    private final Listener listener;
    private final Frames.Assembler assembler;
    private Channel channel;
    private String closeReason = CLOSED_BY_PEER;
    private boolean failed;
    private int messagesInTurn;
    /** What has been read is decoded in the next turn. */
    private boolean paused;

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
        paused = false; // what has been read is decoded now
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
        if (paused || in.readableBytes() < Integer.BYTES) {
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
            messagesInTurn++;
        }
        if (messagesInTurn >= MAX_MESSAGES_PER_TURN && context.channel().isActive()) {
            pauseUntilNextTurn(context);
        }
    }

    private void pauseUntilNextTurn(ChannelHandlerContext context) {
        paused = true;
        context.channel().config().setAutoRead(false);
        NextTurn.run(context.channel().eventLoop(), () -> {
            paused = false;
            messagesInTurn = 0;
            context.channel().config().setAutoRead(true);
            context.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
            context.pipeline().fireChannelReadComplete();
        });
    }

    /** While paused the superclass would request a read, as nothing was decoded. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        if (paused) {
            discardSomeReadBytes();
            context.fireChannelReadComplete();
        } else {
            messagesInTurn = 0;
            super.channelReadComplete(context);
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
