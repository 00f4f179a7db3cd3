package gullspar.versions;

import java.util.List;

/** What one follower that is connected is to get, one update at a time: the next one tells all since. */
public final class FollowerUpdates {
    private final SnapshotSlots slots;
    private Version sentVersion;
    private boolean helloReceived;
    private boolean snapshotRequested;

    /** turns: those of the control process, for snapshots. */
    public FollowerUpdates(SnapshotSlots turns) {
        this.slots = turns;
    }

    /** It has begun, and has that version; null for none. */
    public void hello(Version v) {
        sentVersion = v;
        helloReceived = true;
    }

    /** It could not use what it got. */
    public void requestSnapshot() {
        snapshotRequested = true;
    }

    /** Has it a higher version than the history, or another one of the same place? */
    public boolean isAheadOrForked(History h) {
        if (!helloReceived || sentVersion == null) {
            return false;
        }
        History.UpdateKind kind = h.planFor(sentVersion).kind();
        return kind == History.UpdateKind.AHEAD || kind == History.UpdateKind.FORKED;
    }

    /** What it has or is on its way to having; null for nothing. */
    public Version sentVersion() {
        return sentVersion;
    }

    /**
     * The update that is to go out now; null for none, or where it has to wait for its turn. Whoever sends a
     * snapshot calls {@link #over} when it has gone.
     */
    public Message.Update next(History h) {
        if (!helloReceived || h.head() == null) {
            return null;
        }
        History.UpdatePlan a = h.planFor(sentVersion);
        if (snapshotRequested && a.kind() != History.UpdateKind.AHEAD && a.kind() != History.UpdateKind.FORKED) {
            a = new History.UpdatePlan(History.UpdateKind.SNAPSHOT, List.of());
        }
        switch (a.kind()) {
            case CHANGES -> {
                sentVersion = h.version();
                return new Message.Update(sentVersion, null, a.deltas(), "");
            }
            case SNAPSHOT -> {
                if (!slots.tryAcquire(this)) {
                    return null;
                }
                Version ancestor = sentVersion == null ? null : h.versionAt(sentVersion);
                sentVersion = h.version();
                snapshotRequested = false;
                return new Message.Update(
                        sentVersion, ancestor, a.deltas(), h.head().text());
            }
            default -> {
                return null;
            }
        }
    }

    /** Its snapshot has gone, or the follower has: the next one that may have its turn, null for none. */
    public FollowerUpdates releaseSlot() {
        return (FollowerUpdates) slots.release(this);
    }
}
