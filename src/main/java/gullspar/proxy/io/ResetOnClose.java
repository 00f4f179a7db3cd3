package gullspar.proxy.io;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;

/**
 * Makes any close of a connection a reset, also that by the end of the process. For messages that the end of the
 * connection delimits: until they are complete, an orderly close would make what has been sent look whole.
 */
public final class ResetOnClose {
    private static final int RESET = 0;
    private static final int ORDERLY = -1;

    private ResetOnClose() {}

    /** From here on a close resets the connection and discards what the remote end has not received. */
    public static void enable(Channel channel) {
        setLinger(channel, RESET);
    }

    /** From here on a close is orderly again, behind all that was written. */
    public static void disable(Channel channel) {
        setLinger(channel, ORDERLY);
    }

    private static void setLinger(Channel channel, int seconds) {
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, seconds); // no effect on channels without sockets
        }
    }
}
