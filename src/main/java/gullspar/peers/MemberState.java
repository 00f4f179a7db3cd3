package gullspar.peers;

/**
 * Status of a member at an incarnation. States are totally ordered and merging takes the larger one, so that views
 * converge in whatever order and however often rumors arrive: LEFT overrides all, then the larger incarnation, then
 * the later status. Only the process itself raises its incarnation, to refute a wrong suspicion.
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

    /** The largest valid incarnation: out of reach for one process, and the next one still fits an int. */
    public static final int MAX_INCARNATION = 1_000_000_000;

    /** Whether it is within 0 and {@link #MAX_INCARNATION}. */
    static boolean isValidIncarnation(int incarnation) {
        return incarnation >= 0 && incarnation <= MAX_INCARNATION;
    }

    /** Returns the larger of the two states. */
    public MemberState merge(MemberState o) {
        return compareTo(o) >= 0 ? this : o;
    }

    /** Whether the process is reported as failed, or as possibly failed, without having left. */
    boolean accuses() {
        return status == MemberStatus.SUSPECTED || status == MemberStatus.GONE;
    }
}
