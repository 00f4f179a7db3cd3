package gullspar.peers;

/** One life of another process, as it is held here. */
final class Peer {
    final Identity id;
    final ReplayGuard guard = new ReplayGuard();
    /** What it last said of itself, and when, by the clock of this process. */
    Statement statement;

    long statedAt;
    /** The most that was heard of it. */
    MemberState state;
    /**
     * What this process holds it for. It may lag behind what was heard: that somebody is gone who was alive
     * here a moment ago is believed a little later, so that it can object.
     */
    MemberStatus status;

    long statusSince;
    /** Who accused it, or why it went; empty if nobody did. */
    String reason = "";

    Suspicion suspicion;
    /** When a datagram of it came last, or, before any has, when it was taken in. */
    long lastReceivedAt;
    /** When it last answered this process itself; MIN_VALUE if never. */
    long lastAckAt = Long.MIN_VALUE;
    /** Asked directly it did not answer the last time, though others reached it. */
    boolean indirectOnly;
    /** The last time at which it was held for alive or suspected. */
    long lastPresentAt;

    long reconnectAt;
    long reconnectPauseNs;
    /** Its place among those that are present, -1 if it is not. */
    int presentIndex = -1;

    Peer(Identity id, Statement statement, long statedAt, MemberState state, long since) {
        this.id = id;
        this.statement = statement;
        this.statedAt = statedAt;
        this.state = state;
        this.status = state.status();
        this.statusSince = since;
    }

    /** Alive, or not yet given up. */
    boolean present() {
        return status == MemberStatus.ALIVE || status == MemberStatus.SUSPECTED;
    }

    String address() {
        return statement.address();
    }

    /** When its process started, by the clock of this one. */
    long startedAt() {
        return statedAt - statement.upMs() * 1_000_000L;
    }

    /** What this process tells of it. */
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
