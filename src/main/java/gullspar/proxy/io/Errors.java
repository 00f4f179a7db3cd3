package gullspar.proxy.io;

import java.nio.charset.StandardCharsets;

/**
 * Decides which errors end the request or connection that they hit, rather than the process: all but those that say
 * that the virtual machine itself is broken.
 */
public final class Errors {
    private static final byte[] UNREPORTED =
            "an error could not be reported: out of memory, or a class cannot be loaded\n"
                    .getBytes(StandardCharsets.US_ASCII);

    private Errors() {}

    /** True unless the virtual machine itself is broken. */
    public static boolean isSurvivable(Throwable thrown) {
        return !(thrown instanceof InternalError) && !(thrown instanceof UnknownError);
    }

    /** Throws it again if the virtual machine is broken. */
    public static void rethrowIfFatal(Throwable thrown) {
        if (!isSurvivable(thrown)) {
            throw (Error) thrown;
        }
    }

    /** Logs an error with its place. Where memory is short it writes a fixed line, which needs none. */
    public static void report(Log log, String what, Throwable thrown) {
        try {
            StackTraceElement[] trace = thrown.getStackTrace();
            log.write(what + ": " + thrown + (trace.length > 0 ? " at " + trace[0] : ""));
        } catch (Throwable e) {
            rethrowIfFatal(e);
            System.err.write(UNREPORTED, 0, UNREPORTED.length);
        }
    }

    /** A repeated task that goes on after an error: an executor runs one that throws no more. */
    public static Runnable guarded(Log log, String what, Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (Throwable e) {
                rethrowIfFatal(e);
                report(log, what, e);
            }
        };
    }
}
