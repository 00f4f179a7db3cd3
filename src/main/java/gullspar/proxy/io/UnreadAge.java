package gullspar.proxy.io;

/**
 * How long the data that the event loop reads now may have waited in the kernel's buffers, in ns, never negative.
 * Call it on the loop only.
 */
@FunctionalInterface
public interface UnreadAge {
    /** For loops that do not track it: all data counts as read on arrival. */
    UnreadAge UNKNOWN = () -> 0;

    /** Returns the age in ns. */
    long ns();
}
