package gullspar.peers;

/**
 * The most that was heard of a life. Values are in one total order and merging takes the larger, so that
 * views merge the same in whatever order and however often rumours come: goodbye overrides all, then the
 * larger incarnation, then the graver standing. Only the process itself raises its incarnation; so whoever
 * is accused in error overrides the accusation by the next one.
 */
public record MemberState(int incarnation, MemberStatus standing) implements Comparable<MemberState> {
    @Override
    public int compareTo(MemberState o) {
        boolean left = standing == MemberStatus.LEFT;
        if (left != (o.standing == MemberStatus.LEFT)) {
            return left ? 1 : -1;
        }
        return incarnation != o.incarnation
                ? Integer.compare(incarnation, o.incarnation)
                : standing.compareTo(o.standing);
    }

    /** No process objects that often: a higher one is no incarnation, and there is always a next. */
    public static final int MOST_INCARNATION = 1_000_000_000;

    /** May that be one? */
    static boolean incarnation(int i) {
        return i >= 0 && i <= MOST_INCARNATION;
    }

    /** The larger of the two. */
    public MemberState merge(MemberState o) {
        return compareTo(o) >= 0 ? this : o;
    }

    /** Does it say that the life is, or may be, over, though it did not say goodbye? */
    boolean accuses() {
        return standing == MemberStatus.SUSPECTED || standing == MemberStatus.GONE;
    }
}
