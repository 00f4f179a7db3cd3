package gullspar.decide;

/** Decaying counts of a proxy's own requests. State only, no decision. */
final class TrafficRates {
    /** Memory of sends by zone, in ns: a release must not shrink the cold budgets that it needs. */
    static final double DECAY_NS = 15e9;

    private static final double MIN_ELAPSED_NS = 1e9;

    /** Requests that came; those that no server got; attempts sent, served in good time, and lost. */
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
        countingSince = arrivals == 0 ? now : countingSince; // none yet, or none for so long that no rate is left
        arrivals++;
    }

    /** An attempt has ended that tells nothing of the load. */
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
     * The time over which a rate was counted, in ns: its memory, or what there has been of it. Guards against
     * a proxy that starts in the middle of a release, where most servers are cold: by the whole memory its
     * rates, and so its budgets, would seem a tenth of what they are. It counts from the first request: one
     * that knows the list long before its clients come has no lower rates for it. Of the first moment no
     * rate is made.
     */
    double effectiveWindowNs(double decayNs, long now) {
        return decayNs * (1 - Math.exp(-Math.max(MIN_ELAPSED_NS, now - countingSince) / decayNs));
    }
}
