package gullspar.decide;

/** Decaying counts of a proxy's own requests; makes no decision. */
final class TrafficRates {
    /** Decay time of the sends by zone, long enough that a rolling release does not shrink its cold budgets. */
    static final double SENDS_DECAY_NS = 15e9;

    private static final double MIN_ELAPSED_NS = 1e9;

    /** Requests received and those never sent; attempts sent, served in time, and lost. */
    double arrivals;

    double unsent;
    double sent;
    double servedInTime;
    double lost;
    private long countingSince;

    TrafficRates(long now) {
        countingSince = now;
    }

    void recordArrival(long now) {
        countingSince =
                arrivals == 0 ? now : countingSince; // none yet, or none for so long that the rate has decayed to 0
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
     * time without clients does not lower the rates. A minimum avoids rates from the first moment.
     */
    double effectiveWindowNs(double decayNs, long now) {
        return decayNs * (1 - Math.exp(-Math.max(MIN_ELAPSED_NS, now - countingSince) / decayNs));
    }
}
