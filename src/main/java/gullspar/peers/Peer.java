package gullspar.peers;

/** The state that this process keeps about one life of another process. */
final class Peer {
    final Identity id;
    final ReplayGuard guard = new ReplayGuard();
    /** Its latest statement, and when it was made, by this process's clock. */
    Statement statement;

    long statedAt;
    /** The merge of all reported states. */
    MemberState state;
    /**
     * Its status in this view. It may lag behind {@link #state}: a member that is alive here and reported as gone
     * is only suspected at first, so that it can refute the report.
     */
    MemberStatus status;

    long statusSince;
    /** The accuser, or another reason of its status; may be empty. */
    String reason = "";

    Suspicion suspicion;
    /** When its last datagram arrived, or, before any has, when it was added. */
    long lastReceivedAt;
    /** When it last answered this process directly; MIN_VALUE if never. */
    long lastAckAt = Long.MIN_VALUE;
    /** It last answered only an indirect probe, not the direct one. */
    boolean indirectOnly;
    /** The last time at which it was alive or suspected. */
    long lastPresentAt;

    /** While it is gone: when it is probed next, and the pause after that probe. */
    long reconnectAt;

    long reconnectPauseNs;
    /** Its index in the list of present members, -1 if it is not present. */
    int presentIndex = -1;

    Peer(Identity id, Statement statement, long statedAt, MemberState state, long since) {
        this.id = id;
        this.statement = statement;
        this.statedAt = statedAt;
        this.state = state;
        this.status = state.status();
        this.statusSince = since;
    }

    /** Whether it is alive or suspected. */
    boolean present() {
        return status == MemberStatus.ALIVE || status == MemberStatus.SUSPECTED;
    }

    String address() {
        return statement.address();
    }

    /** When its process started, by this process's clock. */
    long startedAt() {
        return statedAt - statement.upMs() * 1_000_000L;
    }

    /** Returns the rumor that this process spreads about it. */
    Rumor rumor(long now, boolean withStatement) {
        MemberStatus reported = status == MemberStatus.SUSPECTED && state.status() == MemberStatus.GONE
                ? MemberStatus.SUSPECTED
                : state.status();
        return new Rumor(
                id,
                state.incarnation(),
                reported,
                reported == MemberStatus.ALIVE || !Identity.isValidText(reason) ? "" : reason,
                Math.max(0, now - statusSince) / 1_000_000,
                withStatement ? statement : null,
                withStatement ? Math.max(0, now - statedAt) / 1_000_000 : 0);
    }
}
