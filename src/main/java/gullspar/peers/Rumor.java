package gullspar.peers;

/**
 * What one member tells another of a third.
 *
 * @param by who accuses it, where somebody does, else empty
 * @param sinceMs for how long its standing has been as it is, in ms
 * @param statement what it said of itself, or null where only the standing is told
 * @param statedMs how long ago it said that, in ms
 */
public record Rumor(
        Identity id,
        int incarnation,
        MemberStatus status,
        String by,
        long sinceMs,
        Statement statement,
        long statedMs) {
    /** Numbers, lengths and types, at most. */
    private static final int REST = 48;

    public Rumor {
        if (!MemberState.incarnation(incarnation)
                || !Identity.worded(by)
                || sinceMs < 0
                || statedMs < 0
                || statement != null && !statement.id().equals(id)) {
            throw new IllegalArgumentException("not a rumor of " + id);
        }
    }

    MemberState state() {
        return new MemberState(incarnation, status);
    }

    /** At most this many on the wire. */
    int bytes() {
        return bytes(id, by, statement);
    }

    static int bytes(Identity id, String by, Statement statement) {
        return REST + id.name().length() + by.length() + (statement == null ? 0 : statement.bytes());
    }
}
