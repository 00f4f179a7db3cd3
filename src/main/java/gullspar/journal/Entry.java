package gullspar.journal;

/**
 * A journal entry about a request that must not run twice. Times are wall-clock Unix time in ms; a request is
 * identified by the run of its proxy and a number within that run.
 */
public sealed interface Entry {
    /** Identifies a request: the run of the proxy that accepted it, and its number within that run. */
    record Request(long run, long number) {}

    /** Effect of a repeat. KEYED: safe where repeats are discarded by key. UNSAFE: never safe. */
    enum Kind {
        KEYED,
        UNSAFE
    }

    /** How an attempt ended. LOST: unknown whether it ran. NEVER_RAN: proven not to have run. */
    enum AttemptOutcome {
        SERVED,
        NEVER_RAN,
        LOST
    }

    /** The final response. ABANDONED: the client disconnected before there was one. */
    enum RequestOutcome {
        SERVED,
        REFUSED,
        FAILED,
        ABANDONED
    }

    Request request();

    long atMs();

    /**
     * The request was accepted. key: empty if there is none; hashed: key holds a hash of the key, not the key
     * itself; windowMs: how long repeats of the request are discarded at its site.
     */
    record Accepted(
            Request request,
            long atMs,
            Kind kind,
            String key,
            boolean hashed,
            String clientId,
            String route,
            long windowMs)
            implements Entry {}

    /** An attempt is about to be sent: on disk before its first byte. site: where repeats are discarded. */
    record Intent(Request request, long atMs, int attempt, String node, String site) implements Entry {}

    /** An attempt has ended. */
    record AttemptEnded(Request request, long atMs, int attempt, AttemptOutcome outcome) implements Entry {}

    /** The final response was given, or the client disconnected. */
    record Completed(Request request, long atMs, RequestOutcome outcome) implements Entry {}
}
