package gullspar.versions;

import java.util.List;

/** What one follower that is connected is to get, one update at a time: the next one tells all since. */
public final class FollowerUpdates {
    private final SnapshotSlots turns;
    private Version has;
    private boolean greeted;
    private boolean wants;

    /** turns: those of the control process, for snapshots. */
    public FollowerUpdates(SnapshotSlots turns) {
        this.turns = turns;
    }

    /** It has begun, and has that version; null for none. */
    public void hello(Version v) {
        has = v;
        greeted = true;
    }

    /** It could not use what it got. */
    public void want() {
        wants = true;
    }

    /** Has it a higher version than the history, or another one of the same place? */
    public boolean beyond(History h) {
        if (!greeted || has == null) {
            return false;
        }
        History.Kind kind = h.answer(has).kind();
        return kind == History.Kind.AHEAD || kind == History.Kind.FORKED;
    }

    /** What it has or is on its way to having; null for nothing. */
    public Version has() {
        return has;
    }

    /**
     * The update that is to go out now; null for none, or where it has to wait for its turn. Whoever sends a
     * snapshot calls {@link #over} when it has gone.
     */
    public Message.Update next(History h) {
        if (!greeted || h.head() == null) {
            return null;
        }
        History.Answer a = h.answer(has);
        if (wants && a.kind() != History.Kind.AHEAD && a.kind() != History.Kind.FORKED) {
            a = new History.Answer(History.Kind.SNAPSHOT, List.of());
        }
        switch (a.kind()) {
            case CHANGES -> {
                has = h.version();
                return new Message.Update(has, null, a.deltas(), "");
            }
            case SNAPSHOT -> {
                if (!turns.has(this)) {
                    return null;
                }
                Version ancestor = has == null ? null : h.at(has);
                has = h.version();
                wants = false;
                return new Message.Update(has, ancestor, a.deltas(), h.head().text());
            }
            default -> {
                return null;
            }
        }
    }

    /** Its snapshot has gone, or the follower has: the next one that may have its turn, null for none. */
    public FollowerUpdates over() {
        return (FollowerUpdates) turns.over(this);
    }
}
