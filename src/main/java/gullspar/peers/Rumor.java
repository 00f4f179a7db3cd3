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
        String accuser,
        long statusAgeMs,
        Statement statement,
        long statementAgeMs) {
    /** Numbers, lengths and types, at most. */
    private static final int FIXED_BYTES = 48;

    public Rumor {
        if (!MemberState.incarnation(incarnation)
                || !Identity.isValidText(accuser)
                || statusAgeMs < 0
                || statementAgeMs < 0
                || statement != null && !statement.id().equals(id)) {
            throw new IllegalArgumentException("not a rumor of " + id);
        }
    }

    MemberState state() {
        return new MemberState(incarnation, status);
    }

    /** At most this many on the wire. */
    int maxBytes() {
        return maxBytes(id, accuser, statement);
    }

    static int maxBytes(Identity id, String accuser, Statement statement) {
        return FIXED_BYTES + id.name().length() + accuser.length() + (statement == null ? 0 : statement.maxBytes());
    }
}
