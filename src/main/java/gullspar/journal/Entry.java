package gullspar.journal;

/**
 * What is recorded of a request that must not run twice. Times are Unix time in ms, as the clock said; a
 * request is known by the run of its proxy and a number within that.
 */
public sealed interface Entry {
    /** Which request: the run of the proxy that took it, and its number within that run. */
    record Request(long run, long number) {}

    /** May it run twice? A keyed one where repeats are discarded, an unsafe one nowhere. */
    enum Kind {
        KEYED,
        UNSAFE
    }

    /** How an attempt ended. LOST: nobody knows whether it ran. NEVER_RAN: it is proven that it did not. */
    enum AttemptOutcome {
        SERVED,
        NEVER_RAN,
        LOST
    }

    /** The final answer. ABANDONED: the client left before there was one. */
    enum RequestOutcome {
        SERVED,
        REFUSED,
        FAILED,
        ABANDONED
    }

    Request request();

    long atMs();

    /**
     * It was taken. key is empty where there is none; hashed: it is a hash of the key and not the key itself;
     * windowMs: so long repeats of it are discarded at its site.
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

    /** An attempt is about to go out: on disk before its first byte. site: where repeats are discarded. */
    record Intent(Request request, long atMs, int attempt, String node, String site) implements Entry {}

    /** An attempt has ended. */
    record AttemptEnded(Request request, long atMs, int attempt, AttemptOutcome outcome) implements Entry {}

    /** The final answer is given. */
    record Completed(Request request, long atMs, RequestOutcome outcome) implements Entry {}
}
