package gullspar.peers;

/** This process's own statement and incarnation, and the sequence numbers of its datagrams. */
final class Self {
    final Identity id;
    private final long startedAt;
    private int incarnation;
    private Statement statement;
    private long statedAt;
    private boolean left;
    private long lastSequenceNumber;

    Self(Statement first, long now) {
        this.id = first.id();
        this.startedAt = now - first.upMs() * 1_000_000L;
        this.statement = first;
        this.statedAt = now;
    }

    String address() {
        return statement.address();
    }

    Statement statement() {
        return statement;
    }

    int incarnation() {
        return incarnation;
    }

    boolean left() {
        return left;
    }

    MemberState state() {
        return new MemberState(incarnation, left ? MemberStatus.LEFT : MemberStatus.ALIVE);
    }

    /** Refutes an accusation of that incarnation by a higher one. */
    void refute(int accusedIncarnation) {
        incarnation = Math.min(MemberState.MAX_INCARNATION, Math.max(incarnation, accusedIncarnation) + 1);
    }

    void leave(long now) {
        left = true;
        update(
                now,
                statement.config(),
                Phase.LEAVING,
                statement.twinLife(),
                statement.viewDigest(),
                statement.stats(),
                statement.facts());
    }

    /** Makes the next revision of its statement. */
    void update(long now, String config, Phase phase, long twinLife, int viewDigest, TrafficStats stats, Facts facts) {
        statement = new Statement(
                id,
                statement.revision() + 1,
                statement.address(),
                statement.zone(),
                statement.version(),
                config,
                phase,
                (now - startedAt) / 1_000_000,
                twinLife,
                viewDigest,
                stats,
                facts);
        statedAt = now;
    }

    /** Returns the header of its next datagram. */
    Message.Header header() {
        return new Message.Header(id, incarnation, statement.address(), ++lastSequenceNumber);
    }

    int headerBytes() {
        return Message.Header.maxBytes(id, statement.address());
    }

    long statedAt() {
        return statedAt;
    }

    long startedAt() {
        return startedAt;
    }

    Rumor rumor(long now, boolean withStatement) {
        return new Rumor(
                id,
                incarnation,
                left ? MemberStatus.LEFT : MemberStatus.ALIVE,
                "",
                0,
                withStatement ? statement : null,
                withStatement ? (now - statedAt) / 1_000_000 : 0);
    }
}
