package gullspar.peers;

/** What is said of a life, in the order in which one overrides another within an incarnation. */
public enum MemberStatus {
    ALIVE,
    /** Somebody got no answer from it, by any way. */
    SUSPECTED,
    /** It did not refute a suspicion in time, or another process answers at its address. */
    GONE,
    /** It said goodbye: final for this life. */
    LEFT
}
