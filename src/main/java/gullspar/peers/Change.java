package gullspar.peers;

/**
 * A change of the view, for the log and for code that acts on the view.
 *
 * @param subject the life concerned; this process's own for changes of its own state
 * @param reason the accuser or another reason, as text for operators; may be empty
 * @param present the number of members present after it, this process included
 */
public record Change(Kind kind, Identity subject, String reason, int present) {
    /** The kind of change. */
    public enum Kind {
        /** An unknown life joined. */
        JOINED,
        /** It did not answer, and may be gone. */
        SUSPECTED,
        /** The suspicion was refuted. */
        CLEARED,
        /** A suspicion timed out, or another process answers at its address. */
        GONE,
        /** It was marked as gone, and is alive. */
        BACK,
        /** It announced that it leaves. */
        LEFT,
        /** Another process runs under the same name. */
        TWIN,
        /** Fewer than half of the recently present members are alive in the view of this process. */
        CUT_OFF,
        /** At least half of them are alive again, or the others dropped out of the window. */
        REJOINED,
        /** This process was accused, and refuted it. */
        OBJECTED,
        /** This process was paused, and suspects no member for that time. */
        STOOD_STILL,
        /** Nothing has changed for a while, and no member is suspected. */
        SETTLED
    }
}
