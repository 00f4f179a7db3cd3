package gullspar.proxy.discovery;

/**
 * How long a new process waits for discovery before it serves with the known list of its configuration. That list may
 * name backends which drain or have gone since, as an agent that is silent may know: the process waits as long as it
 * can be ready in time.
 */
public final class KnownListWait {
    /** The shortest wait: a discovery that is up answers within this time, however many processes ask it. */
    public static final long MIN_MS = 3000;
    /** A restarted process has to be ready within this time, also where discovery is down for longer. */
    private static final long READY_LIMIT_MS = 10_000;
    /** The part of that limit in which the process becomes ready with the known list. */
    private static final long MARGIN_MS = 1000;

    private KnownListWait() {}

    /**
     * The wait from the first request of the list, in ms.
     *
     * @param listOnRequest whether discovery is asked; what it has not told does not count as told then
     * @param processAgeMs time since the start of the process, in ms
     */
    public static long ms(boolean listOnRequest, long processAgeMs) {
        return listOnRequest ? MIN_MS : Math.max(MIN_MS, READY_LIMIT_MS - MARGIN_MS - processAgeMs);
    }
}
