package gullspar.peers;

/**
 * What a life says of itself; only it makes them, each with the next revision.
 *
 * @param address where it hears the others, host:port
 * @param config digest of its configuration, empty if it tells none
 * @param upMs how long it had lived when it said so, in ms
 * @param twin the life of another process that lives under the same name, 0 if it knows of none
 * @param view digest of whom it held for alive then
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
    /** What stands round the texts, at most: numbers, lengths, types. */
    private static final int FIXED_BYTES = 80;

    public Statement {
        if (address.isEmpty()
                || address.length() > MAX_ADDRESS_LENGTH
                || !Identity.isValidText(zone)
                || !Identity.isValidText(version)
                || !Identity.isValidText(config)
                || revision < 1
                || upMs < 0) {
            throw new IllegalArgumentException("not a statement: " + id + " at " + address);
        }
        for (int i = 0; i < address.length(); i++) {
            if (address.charAt(i) <= ' ' || address.charAt(i) > '~') {
                throw new IllegalArgumentException("not an address of " + id);
            }
        }
    }

    /** At most this many on the wire. */
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
