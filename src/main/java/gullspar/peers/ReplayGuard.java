package gullspar.peers;

/**
 * The numbers of the datagrams that a life has sent, as heard here: each counts once, and one that lies far
 * behind the newest not at all (the sliding window of RFC 4303, section 3.4.3).
 */
final class ReplayGuard {
    private static final int WINDOW = 64;

    private long highestNumber;
    /** Bit i: newest - i was heard. */
    private long seenBits;

    /** True for a number that was not heard yet and is not too old. */
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
