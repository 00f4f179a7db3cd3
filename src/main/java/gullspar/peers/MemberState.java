package gullspar.peers;

/**
 * Status of a member at an incarnation. States are totally ordered and merging takes the larger one, so that views
 * converge in whatever order and however often rumors arrive: LEFT overrides all, then the larger incarnation, then
 * the later status. Only the process itself raises its incarnation; it refutes a wrong suspicion by the next one.
 */
public record MemberState(int incarnation, MemberStatus status) implements Comparable<MemberState> {
    @Override
    public int compareTo(MemberState o) {
        boolean left = status == MemberStatus.LEFT;
        if (left != (o.status == MemberStatus.LEFT)) {
            return left ? 1 : -1;
        }
        return incarnation != o.incarnation ? Integer.compare(incarnation, o.incarnation) : status.compareTo(o.status);
    }

    /** The largest valid incarnation: more than a process refutes in its life, and the next one still fits an int. */
    public static final int MAX_INCARNATION = 1_000_000_000;

    /** Is it a valid incarnation? */
    static boolean incarnation(int i) {
        return i >= 0 && i <= MAX_INCARNATION;
    }

    /** The larger of the two. */
    public MemberState merge(MemberState o) {
        return compareTo(o) >= 0 ? this : o;
    }

    /** Does it say that the process has, or may have, failed without leaving? */
    boolean accuses() {
        return status == MemberStatus.SUSPECTED || status == MemberStatus.GONE;
    }
}
