package gullspar.peers;

/**
 * Rejects replayed datagrams of one life: each sequence number is accepted once, and none that lies 64 or more
 * behind the highest one (the sliding window of RFC 4303, section 3.4.3).
 */
final class ReplayGuard {
    private static final int WINDOW = 64;

    private long highestNumber;
    /** Bit i: highestNumber - i was received. */
    private long seenBits;

    /** Records a number; returns false if it was received before or is too old. */
    boolean accept(long number) {
        if (number > highestNumber) {
            long ahead = number - highestNumber;
            seenBits = ahead >= WINDOW ? 0 : seenBits << ahead;
            seenBits |= 1;
            highestNumber = number;
            return true;
        }
        long behind = highestNumber - number;
        if (behind >= WINDOW || (seenBits >>> behind & 1) != 0) {
            return false;
        }
        seenBits |= 1L << behind;
        return true;
    }
}
