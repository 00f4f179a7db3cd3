package gullspar.peers;

/**
 * The numbers of the datagrams that a life has sent, as heard here: each counts once, and one that lies far
 * behind the newest not at all (the sliding window of RFC 4303, section 3.4.3).
 */
final class ReplayGuard {
    private static final int WINDOW = 64;

    private long newest;
    /** Bit i: newest - i was heard. */
    private long state;

    /** True for a number that was not heard yet and is not too old. */
    boolean fresh(long number) {
        if (number > newest) {
            long ahead = number - newest;
            state = ahead >= WINDOW ? 0 : state << ahead;
            state |= 1;
            newest = number;
            return true;
        }
        long behind = newest - number;
        if (behind >= WINDOW || (state >>> behind & 1) != 0) {
            return false;
        }
        state |= 1L << behind;
        return true;
    }
}
