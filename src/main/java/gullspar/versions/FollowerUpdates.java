package gullspar.versions;

import java.util.List;

/** Chooses the updates for one connected follower, one at a time; each covers all versions since the previous one. */
public final class FollowerUpdates {
    private final SnapshotSlots slots;
    private Version sentVersion;
    private boolean helloReceived;
    private boolean snapshotRequested;

    /** slots: limits concurrent snapshots of the control process. */
    public FollowerUpdates(SnapshotSlots slots) {
        this.slots = slots;
    }

    /** The follower has sent its hello, with the version it has, or null. */
    public void onHello(Version v) {
        sentVersion = v;
        helloReceived = true;
    }

    /** The follower could not apply an update and asks for a snapshot. */
    public void requestSnapshot() {
        snapshotRequested = true;
    }

    /** Whether the follower has a higher version than the history, or a fork of it. */
    public boolean isAheadOrForked(History h) {
        if (!helloReceived || sentVersion == null) {
            return false;
        }
        History.UpdateKind kind = h.planFor(sentVersion).kind();
        return kind == History.UpdateKind.AHEAD || kind == History.UpdateKind.FORKED;
    }

    /** The version that the follower has or has been sent, or null. */
    public Version sentVersion() {
        return sentVersion;
    }

    /**
     * Returns the next update to send; null for none, or while it waits for a snapshot slot. The caller calls
     * {@link #releaseSlot} once a snapshot has been sent.
     */
    public Message.Update next(History h) {
        if (!helloReceived || h.head() == null) {
            return null;
        }
        History.UpdatePlan plan = h.planFor(sentVersion);
        if (snapshotRequested && plan.kind() != History.UpdateKind.AHEAD && plan.kind() != History.UpdateKind.FORKED) {
            plan = new History.UpdatePlan(History.UpdateKind.SNAPSHOT, List.of());
        }
        switch (plan.kind()) {
            case CHANGES -> {
                sentVersion = h.version();
                return new Message.Update(sentVersion, null, plan.deltas(), "");
            }
            case SNAPSHOT -> {
                if (!slots.tryAcquire(this)) {
                    return null;
                }
                Version ancestor = sentVersion == null ? null : h.versionAt(sentVersion);
                sentVersion = h.version();
                snapshotRequested = false;
                return new Message.Update(
                        sentVersion, ancestor, plan.deltas(), h.head().text());
            }
            default -> {
                return null;
            }
        }
    }

    /** Called when the snapshot is sent or the follower disconnects. Returns the next one to try, or null. */
    public FollowerUpdates releaseSlot() {
        return (FollowerUpdates) slots.release(this);
    }
}
