package gullspar.peers;

/**
 * A change of the view, for the log and for whoever acts on the view.
 *
 * @param about the life that it is about; this process's own for what it says of itself
 * @param why who accuses, or another reason, as text for people; may be empty
 * @param present how many are present after it, this process included
 */
public record Change(Kind kind, Identity subject, String reason, int present) {
    /** What has changed. */
    public enum Kind {
        /** A life that was not known is there. */
        JOINED,
        /** It may be gone. */
        SUSPECTED,
        /** The suspicion was refuted. */
        CLEARED,
        /** It is gone, as far as can be told. */
        GONE,
        /** It was held for gone, and is there. */
        BACK,
        /** It said goodbye. */
        LEFT,
        /** Another process lives under the same name. */
        TWIN,
        /** This process sees fewer than half of those that it saw lately. */
        CUT_OFF,
        /** It sees half of them or more again, or they are too long ago. */
        REJOINED,
        /** This process was accused, and objected. */
        OBJECTED,
        /** This process stood still, and blames nobody for that time. */
        STOOD_STILL,
        /** Nothing has changed for a while, and nobody is suspected. */
        SETTLED
    }
}
