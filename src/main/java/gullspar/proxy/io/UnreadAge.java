package gullspar.proxy.io;

/**
 * How long what the event loop reads now may have lain in the system's buffers, in ns, never negative. To be
 * asked on the loop.
 */
@FunctionalInterface
public interface UnreadAge {
    /** For loops that cannot tell: everything is read as it comes. */
    UnreadAge UNKNOWN = () -> 0;

    long ns();
}
