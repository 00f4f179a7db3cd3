package gullspar.peers;

/** What this process says of itself, and the numbers of its datagrams. */
final class Self {
    final Identity id;
    private final long startedAt;
    private int incarnation;
    private Statement statement;
    private long statedAt;
    private boolean left;
    private long number;

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

    /** Overrides an accusation of that incarnation. */
    void objectTo(int accused) {
        incarnation = Math.min(MemberState.MOST_INCARNATION, Math.max(incarnation, accused) + 1);
    }

    void leave(long now) {
        left = true;
        say(
                now,
                statement.config(),
                Phase.LEAVING,
                statement.twin(),
                statement.view(),
                statement.figures(),
                statement.facts());
    }

    /** The next revision of what it says. */
    void say(long now, String config, Phase phase, long twin, int view, Figures figures, Facts facts) {
        statement = new Statement(
                id,
                statement.revision() + 1,
                statement.address(),
                statement.zone(),
                statement.version(),
                config,
                phase,
                (now - startedAt) / 1_000_000,
                twin,
                view,
                figures,
                facts);
        statedAt = now;
    }

    /** The header of its next datagram. */
    Message.Header header() {
        return new Message.Header(id, incarnation, statement.address(), ++number);
    }

    int headerBytes() {
        return Message.Header.bytes(id, statement.address());
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
