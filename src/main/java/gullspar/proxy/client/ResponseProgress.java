package gullspar.proxy.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * The progress of a response on its way to the client. A response may take any time while it makes progress; it is
 * aborted if its backend sends nothing, or its client reads nothing, for a stated time.
 */
final class ResponseProgress {
    /** The longest time without progress. */
    private static final long STALL_TIMEOUT_NS = 10_000_000_000L;
    /** The same for a client that does not read while memory is short, as its response keeps memory from others. */
    private static final long UNREAD_TIMEOUT_NS = 1_500_000_000L;

    private long lastProgressNs;
    private long unwrittenBytes;
    private long writtenBytesOfPart;

    /** Records that a response has begun, or that a part of it was forwarded. */
    void record(long nowNs) {
        lastProgressNs = nowNs;
    }

    /** Looks at what the socket has accepted since the last call. */
    void update(Channel channel, long nowNs) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        long unwritten = buffer == null ? 0 : buffer.totalPendingWriteBytes();
        long writtenOfPart = buffer == null ? 0 : buffer.currentProgress();
        if (unwritten != unwrittenBytes || writtenOfPart != writtenBytesOfPart) {
            lastProgressNs = nowNs;
        }
        unwrittenBytes = unwritten;
        writtenBytesOfPart = writtenOfPart;
    }

    /** When the response last made progress, as far as is known. */
    long lastNs() {
        return lastProgressNs;
    }

    /** Whether bytes waited for the client to read at the last update. */
    boolean hasUnwrittenBytes() {
        return unwrittenBytes > 0;
    }

    /**
     * Whether the response has made no progress for too long.
     *
     * @param isClientSlow whether it is the client that does not read
     */
    boolean hasStalled(long nowNs, boolean isClientSlow, boolean isMemoryShort) {
        return nowNs - lastProgressNs > (isClientSlow && isMemoryShort ? UNREAD_TIMEOUT_NS : STALL_TIMEOUT_NS);
    }
}
