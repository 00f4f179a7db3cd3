package gullspar.decide;

/** Further attempts, as parts of the first tries: a fleet in trouble must not multiply its load. */
final class RetryBudget {
    /** Further attempts for each first try, and the most saved up. */
    private static final double RATE = 0.02;

    private static final double BURST = 5;
    /**
     * The same after a connection that broke or did not come up, or a spoilt answer: that tells of no load, and
     * comes in rows.
     */
    private static final double RESEND_RATE = 0.3;

    private static final double RESEND_BURST = 10;

    private double retries = BURST / 2;
    private double resends = RESEND_BURST / 2;

    /** A first try. */
    void earn() {
        retries = Math.min(BURST, retries + RATE);
        resends = Math.min(RESEND_BURST, resends + RESEND_RATE);
    }

    /** Is there one for a further attempt? broke: the last one broke or did not come up. */
    boolean has(boolean broke) {
        return (broke ? resends : retries) >= 1;
    }

    void spend(boolean broke) {
        resends -= broke ? 1 : 0;
        retries -= broke ? 0 : 1;
    }
}
