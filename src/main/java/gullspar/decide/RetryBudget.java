package gullspar.decide;

/** Further attempts, as parts of the first tries: a fleet in trouble must not multiply its load. */
final class RetryBudget {
    /** Further attempts for each first try, and the most saved up. */
    private static final double RETRIES_PER_REQUEST = 0.02;

    private static final double MAX_RETRIES = 5;
    /**
     * The same after a connection that broke or did not come up, or a spoilt answer: that tells of no load, and
     * comes in rows.
     */
    private static final double RESENDS_PER_REQUEST = 0.3;

    private static final double MAX_RESENDS = 10;

    private double retries = MAX_RETRIES / 2;
    private double resends = MAX_RESENDS / 2;

    /** A first try. */
    void earn() {
        retries = Math.min(MAX_RETRIES, retries + RETRIES_PER_REQUEST);
        resends = Math.min(MAX_RESENDS, resends + RESENDS_PER_REQUEST);
    }

    /** Is there one for a further attempt? broke: the last one broke or did not come up. */
    boolean canSpend(boolean connectionFailed) {
        return (connectionFailed ? resends : retries) >= 1;
    }

    void spend(boolean connectionFailed) {
        resends -= connectionFailed ? 1 : 0;
        retries -= connectionFailed ? 0 : 1;
    }
}
