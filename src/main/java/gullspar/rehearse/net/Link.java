package gullspar.rehearse.net;

/** One way between two machines, as it is now: times in ns, the loss as a share of the segments. */
public final class Link {
    long delayNs;
    long jitterNs;
    long extraDelayNs;
    double loss;
    boolean cut;

    Link(long delayNs, long jitterNs) {
        this.delayNs = delayNs;
        this.jitterNs = jitterNs;
    }

    /** Adds to the delay; 0 takes it back. */
    public void setExtraDelayNs(long addedNs) {
        extraDelayNs = addedNs;
    }

    /** Loses a share of what is sent, 0 to 1; each loss costs a retransmission. */
    public void setLoss(double share) {
        loss = share;
    }
}
