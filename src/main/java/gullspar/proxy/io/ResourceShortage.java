package gullspar.proxy.io;

import java.util.List;

/** Failures of this machine that may pass: it lacks buffers, memory or descriptors. */
final class ResourceShortage {
    /** How the C library words ENOBUFS, ENOMEM, EMFILE and ENFILE. */
    private static final List<String> MESSAGES =
            List.of("No buffer space available", "Cannot allocate memory", "Too many open files");

    private ResourceShortage() {}

    /** Is that the cause, or the cause of the cause? */
    static boolean isCauseOf(Throwable failure) {
        for (Throwable t = failure; t != null; t = t.getCause()) {
            String message = String.valueOf(t.getMessage());
            if (MESSAGES.stream().anyMatch(message::contains)) {
                return true;
            }
        }
        return false;
    }
}
