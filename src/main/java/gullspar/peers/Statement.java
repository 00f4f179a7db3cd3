package gullspar.peers;

/**
 * A self-description of a life; only the process itself makes them, each with the next revision.
 *
 * @param address where it receives datagrams, host:port
 * @param config digest of its configuration, may be empty
 * @param upMs its uptime when the statement was made, in ms
 * @param twinLife the life of another process under the same name, 0 if it knows of none
 * @param viewDigest digest of the members that were alive in its view
 */
public record Statement(
        Identity id,
        int revision,
        String address,
        String zone,
        String version,
        String config,
        Phase phase,
        long upMs,
        long twinLife,
        int viewDigest,
        TrafficStats stats,
        Facts facts) {
    /** An address of IPv6 with its brackets and port has 47 characters. */
    public static final int MAX_ADDRESS_LENGTH = 48;
    /** Upper bound of numbers, lengths and types. */
    private static final int FIXED_BYTES = 80;

    public Statement {
        if (address.isEmpty()
                || address.length() > MAX_ADDRESS_LENGTH
                || !Identity.isValidText(zone)
                || !Identity.isValidText(version)
                || !Identity.isValidText(config)
                || revision < 1
                || upMs < 0) {
            throw new IllegalArgumentException("invalid statement of " + id + ": address '" + address + "', zone '"
                    + zone
                    + "', version '" + version + "', config '" + config + "', revision " + revision + ", uptime " + upMs
                    + " ms");
        }
        for (int i = 0; i < address.length(); i++) {
            if (address.charAt(i) <= ' ' || address.charAt(i) > '~') {
                throw new IllegalArgumentException("invalid character in the address of " + id);
            }
        }
    }

    /** Upper bound of the encoded statement, in bytes. */
    int maxBytes() {
        return FIXED_BYTES
                + id.name().length()
                + address.length()
                + zone.length()
                + version.length()
                + config.length()
                + facts.maxBytes();
    }
}
