package gullspar.decide;

/** Limits retries to a share of the first attempts, so that retries do not multiply the load of a failing fleet. */
final class RetryBudget {
    private static final double RETRIES_PER_REQUEST = 0.02; // retries earned per request
    private static final double MAX_RETRIES = 5; // the most that can be saved
    /**
     * The same for retries after a connection that broke or could not be made, or after a corrupt answer: these are
     * no evidence of load and occur in series.
     */
    private static final double RESENDS_PER_REQUEST = 0.3;

    private static final double MAX_RESENDS = 10;

    private double retries = MAX_RETRIES / 2;
    private double resends = MAX_RESENDS / 2;

    /** Adds the share of one first attempt. */
    void earn() {
        retries = Math.min(MAX_RETRIES, retries + RETRIES_PER_REQUEST);
        resends = Math.min(MAX_RESENDS, resends + RESENDS_PER_REQUEST);
    }

    /** Whether the budget allows a retry; connectionFailed: the last connection broke or could not be made. */
    boolean canSpend(boolean connectionFailed) {
        return (connectionFailed ? resends : retries) >= 1;
    }

    void spend(boolean connectionFailed) {
        resends -= connectionFailed ? 1 : 0;
        retries -= connectionFailed ? 0 : 1;
    }
}
