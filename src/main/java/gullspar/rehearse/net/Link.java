package gullspar.rehearse.net;

/** Current state of one direction between two hosts: times in ns, loss as a share of the segments. */
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

    /** Sets a delay added to the base delay; 0 removes it. */
    public void setExtraDelayNs(long addedNs) {
        extraDelayNs = addedNs;
    }

    /** Sets the share of segments lost, 0 to 1; each loss costs a retransmission. */
    public void setLoss(double share) {
        loss = share;
    }
}
