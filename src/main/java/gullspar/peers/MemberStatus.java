package gullspar.peers;

/** Status of a member, in the order in which one overrides another within an incarnation. */
public enum MemberStatus {
    ALIVE,
    /** A member got no answer from it, directly or through helpers. */
    SUSPECTED,
    /** It did not refute a suspicion in time, or another process answers at its address. */
    GONE,
    /** It announced that it leaves: final for this process. */
    LEFT
}
