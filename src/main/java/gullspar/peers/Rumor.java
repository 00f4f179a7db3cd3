package gullspar.peers;

/**
 * Information about a member that is passed on by another.
 *
 * @param accuser the name of the accusing member, else empty
 * @param statusAgeMs the time since its last change of status, in ms
 * @param statement its own statement, or null where only the status is passed on
 * @param statementAgeMs the age of that statement, in ms
 */
public record Rumor(
        Identity id,
        int incarnation,
        MemberStatus status,
        String accuser,
        long statusAgeMs,
        Statement statement,
        long statementAgeMs) {
    /** Upper bound of numbers, lengths and types. */
    private static final int FIXED_BYTES = 48;

    public Rumor {
        if (!MemberState.isValidIncarnation(incarnation)
                || !Identity.isValidText(accuser)
                || statusAgeMs < 0
                || statementAgeMs < 0
                || statement != null && !statement.id().equals(id)) {
            throw new IllegalArgumentException("invalid rumor of " + id);
        }
    }

    MemberState state() {
        return new MemberState(incarnation, status);
    }

    /** Upper bound of the encoded rumor, in bytes. */
    int maxBytes() {
        return maxBytes(id, accuser, statement);
    }

    static int maxBytes(Identity id, String accuser, Statement statement) {
        return FIXED_BYTES + id.name().length() + accuser.length() + (statement == null ? 0 : statement.maxBytes());
    }
}
