package gullspar.proxy.io;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Reads outside the turns of the event loop. */
public final class ChannelReads {
    private ChannelReads() {}

    /**
     * Reads what has arrived, which the event loop has not read yet if it has stood still since, and passes it to the
     * channel's handlers. Returns whether the channel is still open. On its event loop.
     */
    public static boolean readAndCheckActive(Channel channel) {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return channel.isActive();
    }

    /**
     * Whether the remote end has ended its sending and all that it sent has been read. False after a reset, after
     * another failure, and after a close by this side: after these bytes may be missing. On its event loop.
     */
    public static boolean hasReadEndOfStream(Channel channel) {
        return channel.unsafe().recvBufAllocHandle().lastBytesRead() < 0;
    }
}
