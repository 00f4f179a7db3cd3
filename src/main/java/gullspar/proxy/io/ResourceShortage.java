package gullspar.proxy.io;

import java.util.List;

/** Transient failures of this machine: it lacks buffers, memory or descriptors. */
final class ResourceShortage {
    /** Messages of the C library for ENOBUFS, ENOMEM, EMFILE and ENFILE. */
    private static final List<String> MESSAGES =
            List.of("No buffer space available", "Cannot allocate memory", "Too many open files");

    private ResourceShortage() {}

    /** Whether the chain of causes contains a shortage. */
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
