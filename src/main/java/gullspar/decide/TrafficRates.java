package gullspar.decide;

/**
 * Decaying counts of a proxy's own requests; makes no decision. The counts of this class decay with
 * {@link ZoneStats#LOAD_DECAY_NS}.
 */
final class TrafficRates {
    /**
     * Decay time of the sends by zone and the requested worth by class, long enough that a rolling release does not
     * shrink this proxy's cold budgets.
     */
    static final double SENDS_DECAY_NS = 15e9;

    /** Minimum time over which rates are computed: over less, the first requests alone would give arbitrary ones. */
    private static final double MIN_ELAPSED_NS = 1e9;

    /** Requests received. */
    double arrivals;
    /** Requests answered without any attempt. */
    double unsent;
    /** Attempts, without those whose outcome is no evidence of load. */
    double sent;
    /** Attempts that were answered and not slow. */
    double servedInTime;
    /** Attempts rejected as FULL, timed out, answered slowly, or cancelled after the latency target. */
    double lost;

    private long countingSince;

    TrafficRates(long now) {
        countingSince = now;
    }

    void recordArrival(long now) {
        // 0 means none yet, or none for so long that the count has decayed to 0.
        countingSince = arrivals == 0 ? now : countingSince;
        arrivals++;
    }

    /** Removes an attempt whose outcome is no evidence of load. */
    void discountSend() {
        sent = Math.max(0, sent - 1);
    }

    void decay(double keep) {
        arrivals *= keep;
        unsent *= keep;
        sent *= keep;
        servedInTime *= keep;
        lost *= keep;
    }

    /**
     * The time over which a rate was counted: its decay time, or less if counting started recently. With the
     * full decay time, a proxy that starts during a rolling release, when most servers are cold, would compute
     * a tenth of its real rates and so of its cold budgets. Counting starts at the first request, so that
     * time without clients does not lower the rates.
     */
    double effectiveWindowNs(double decayNs, long now) {
        return decayNs * (1 - Math.exp(-Math.max(MIN_ELAPSED_NS, now - countingSince) / decayNs));
    }
}
