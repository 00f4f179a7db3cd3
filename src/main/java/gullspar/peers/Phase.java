package gullspar.peers;

/** How far a process has come in its life, as it says itself. */
public enum Phase {
    /** It has found nobody yet. */
    JOINING,
    /** It is there, and does not take clients yet. */
    WARMING,
    SERVING,
    /** It ends what it has and takes nothing new. */
    DRAINING,
    /** It is about to end. */
    LEAVING
}
