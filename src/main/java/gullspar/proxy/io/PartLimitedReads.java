package gullspar.proxy.io;

import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.LongSupplier;

/**
 * Ends the reading of a channel for this turn once many parts of messages have been decoded. The bytes that a channel
 * reads in a turn do not bound the work: a body in chunks of one byte has a part for each six bytes.
 */
public final class PartLimitedReads implements RecvByteBufAllocator {
    /** No further buffer is read in a turn after this many parts. */
    public static final int MAX_PARTS = 1024;

    private final RecvByteBufAllocator sizes;
    private final LongSupplier decodedParts;

    /**
     * Limits the reads of one channel.
     *
     * @param sizes decides the size of each buffer, and how many are read in a turn at most
     * @param decodedParts the number of parts that have been decoded on the channel
     */
    public PartLimitedReads(RecvByteBufAllocator sizes, LongSupplier decodedParts) {
        this.sizes = sizes;
        this.decodedParts = decodedParts;
    }

    @Override
    @SuppressWarnings("deprecation") // the type of the overridden method
    public Handle newHandle() {
        return new LimitedHandle(sizes.newHandle());
    }

    private final class LimitedHandle extends DelegatingHandle {
        private long partsAtEnd;

        @SuppressWarnings("deprecation") // the type of the channel's handle
        LimitedHandle(Handle unlimited) {
            super(unlimited);
        }

        @Override
        public void reset(ChannelConfig config) {
            super.reset(config);
            partsAtEnd = decodedParts.getAsLong() + MAX_PARTS;
        }

        @Override
        public boolean continueReading() {
            return decodedParts.getAsLong() < partsAtEnd && super.continueReading();
        }
    }
}
