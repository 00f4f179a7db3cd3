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
    MemberStatus verdict;

    long since;
    /** Who accused it, or why it went; empty if nobody did. */
    String why = "";

    Suspicion suspicion;
    /** When a datagram of it came last, or, before any has, when it was taken in. */
    long heardAt;
    /** When it last answered this process itself; MIN_VALUE if never. */
    long answeredAt = Long.MIN_VALUE;
    /** Asked directly it did not answer the last time, though others reached it. */
    boolean onlyByOthers;
    /** The last time at which it was held for alive or suspected. */
    long presentAt;

    long reconnectAt;
    long reconnectPauseNs;
    /** Its place among those that are present, -1 if it is not. */
    int place = -1;

    Peer(Identity id, Statement statement, long statedAt, MemberState state, long since) {
        this.id = id;
        this.statement = statement;
        this.statedAt = statedAt;
        this.state = state;
        this.verdict = state.status();
        this.since = since;
    }

    /** Alive, or not yet given up. */
    boolean present() {
        return verdict == MemberStatus.ALIVE || verdict == MemberStatus.SUSPECTED;
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
        MemberStatus told = verdict == MemberStatus.SUSPECTED && state.status() == MemberStatus.GONE
                ? MemberStatus.SUSPECTED
                : state.status();
        return new Rumor(
                id,
                state.incarnation(),
                told,
                told == MemberStatus.ALIVE || !Identity.worded(why) ? "" : why,
                Math.max(0, now - since) / 1_000_000,
                withStatement ? statement : null,
                withStatement ? Math.max(0, now - statedAt) / 1_000_000 : 0);
    }
}
