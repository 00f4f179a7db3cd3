package gullspar.proxy.client;

/**
 * Since when the bytes that are read from a client may have been waiting to be read. A large request is read over many
 * turns of the event loop, and its last byte may have been there since the first of them. All times are in ns of the
 * proxy's clock; a look is the last time at which the loop found nothing to read.
 */
final class ArrivalTimes {
    /** When all that the client had sent was last read. */
    private long receivedUntilNs;
    /**
     * The last reads have left nothing unread. One read that does not fill its buffer shows only that the receive
     * buffer is empty: behind reads that did, the rest may wait at the client until that has room again.
     */
    private boolean hasReadAll;
    /** The last read did not fill its buffer. */
    private boolean wasShortRead = true;
    /** When the last read ended. */
    private long lastReadNs;
    /** Since the last read the loop has not looked for data of this client, or it is being read out of turn. */
    private boolean isUnwatched;
    /** Further requests may have arrived while none was decoded, at this time at the earliest. */
    private boolean hasWaitingInput;

    private long inputWaitingSinceNs;

    /** A read has ended; isShort: it did not fill its buffer; isWatched: the loop looks for more. */
    void onReadComplete(boolean isShort, boolean isWatched, boolean isDecodingPaused, long nowNs) {
        hasReadAll = isShort && wasShortRead;
        wasShortRead = isShort;
        lastReadNs = nowNs;
        isUnwatched = !isWatched;
        if (hasReadAll) {
            receivedUntilNs = nowNs;
            hasWaitingInput &= isDecodingPaused;
        }
    }

    /** The next read is not one of the loop's, so that it follows no look. */
    void onReadOutOfTurn() {
        isUnwatched = true;
    }

    /** A read has found nothing. */
    void onNothingFound(long nowNs) {
        hasReadAll = true;
        receivedUntilNs = nowNs;
    }

    /** A request begins with the bytes that are being read. */
    void onRequestBegin(long lookedAtNs) {
        receivedUntilNs = receivedAt(lookedAtNs);
    }

    /** A part of a body is among the bytes that are being read. */
    void onBody(long lookedAtNs) {
        if (!hasReadAll) {
            receivedUntilNs = receivedAt(lookedAtNs);
        }
    }

    /** Decoding is paused: from now on requests may wait. */
    void onDecodingPaused(long lookedAtNs) {
        inputWaitingSinceNs = receivedAt(lookedAtNs);
        hasWaitingInput = true;
    }

    /** The earliest time at which the bytes that are being decoded may have arrived. */
    long receivedAt(long lookedAtNs) {
        if (hasWaitingInput) {
            return Math.min(lookedAtNs, inputWaitingSinceNs);
        }
        boolean hasUnreadRest = !hasReadAll && (isUnwatched || lookedAtNs <= lastReadNs);
        return hasUnreadRest ? Math.min(lookedAtNs, receivedUntilNs) : lookedAtNs;
    }

    /** Whether the last reads have left nothing unread, as far as is known. */
    boolean hasReadAll() {
        return hasReadAll;
    }

    /** When all that the client had sent was last read, so that the last byte of its request came later. */
    long receivedUntilNs() {
        return receivedUntilNs;
    }
}
