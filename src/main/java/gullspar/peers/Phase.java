package gullspar.peers;

/** The lifecycle phase of a process, as it states it itself. */
public enum Phase {
    /** It has found no other member yet. */
    JOINING,
    /** It has joined, and does not accept clients yet. */
    WARMING,
    SERVING,
    /** It finishes open requests and accepts no new ones. */
    DRAINING,
    /** It is about to exit. */
    LEAVING
}
