package gullspar.peers;

/**
 * Parameters of failure detection and gossip. Times in ns.
 *
 * @param intervalNs the time between two probes of this process while its own health score is 0
 * @param timeoutNs the time to wait for an answer before indirect probes are sent
 * @param indirectProbes the number of members asked to probe indirectly
 * @param suspicionMultiplier the minimum duration of a suspicion, in intervals times the decimal logarithm of the
 *        fleet's size
 * @param maxSuspicionFactor the duration of an unconfirmed suspicion, as a multiple of the minimum
 * @param confirmations the number of confirmations that reduce a suspicion to its minimum duration
 * @param maxHealthScore the worst health score of this process: each point adds one interval or time-out to its own;
 *        0 turns that off
 * @param retransmitMultiplier how often a rumor is sent, times the decimal logarithm of the fleet's size
 * @param fanout the number of members that a gossip round sends to
 * @param syncNs the mean time between two comparisons of views with another member
 * @param statsIntervalNs the minimum time between two updates of the traffic statistics; longer in a large fleet, so
 *        that the traffic of one member stays the same
 * @param maxReconnectIntervals the longest pause between two probes of a member that is gone, in intervals
 * @param forgetNs the time after which members that are gone or have left are removed
 * @param isolationWindowNs members present within this time count when the process determines whether it is cut off
 * @param maxMembers the maximum number of members kept, this process included
 * @param bytesPerSecond the maximum that this process sends, answers included
 */
public record Settings(
        long intervalNs,
        long timeoutNs,
        int indirectProbes,
        int suspicionMultiplier,
        int maxSuspicionFactor,
        int confirmations,
        int maxHealthScore,
        int retransmitMultiplier,
        int fanout,
        long syncNs,
        long statsIntervalNs,
        int maxReconnectIntervals,
        long forgetNs,
        long isolationWindowNs,
        int maxMembers,
        int bytesPerSecond) {
    private static final long MS = 1_000_000L;

    public Settings {
        if (intervalNs < 10 * MS
                || timeoutNs < MS
                || timeoutNs * 2 > intervalNs
                || maxMembers < 2
                || bytesPerSecond < 4 * Message.MAX_DATAGRAM_BYTES) {
            throw new IllegalArgumentException("invalid settings: interval " + intervalNs
                    + " ns, expected at least 10 ms; time-out " + timeoutNs
                    + " ns, expected 1 ms to half the interval; " + maxMembers + " members, expected at least 2; "
                    + bytesPerSecond + " bytes per second, expected at least "
                    + 4 * Message.MAX_DATAGRAM_BYTES);
        }
    }

    /** Default settings, in proportion to the interval. */
    public static Settings withInterval(long intervalNs) {
        return new Settings(
                intervalNs,
                intervalNs * 2 / 5,
                3,
                4,
                6,
                2,
                8,
                4,
                3,
                10 * intervalNs,
                5 * intervalNs,
                32,
                3_600_000 * MS,
                Math.max(60_000 * MS, intervalNs),
                10_000,
                (int) Math.min(1 << 20, 64_000_000_000_000L / intervalNs));
    }

    /** Returns a copy with another {@link #isolationWindowNs}. */
    public Settings withIsolationWindow(long ns) {
        return new Settings(
                intervalNs,
                timeoutNs,
                indirectProbes,
                suspicionMultiplier,
                maxSuspicionFactor,
                confirmations,
                maxHealthScore,
                retransmitMultiplier,
                fanout,
                syncNs,
                statsIntervalNs,
                maxReconnectIntervals,
                forgetNs,
                ns,
                maxMembers,
                bytesPerSecond);
    }

    /** Returns a copy with another {@link #bytesPerSecond}. */
    public Settings withBytesPerSecond(int bytes) {
        return new Settings(
                intervalNs,
                timeoutNs,
                indirectProbes,
                suspicionMultiplier,
                maxSuspicionFactor,
                confirmations,
                maxHealthScore,
                retransmitMultiplier,
                fanout,
                syncNs,
                statsIntervalNs,
                maxReconnectIntervals,
                forgetNs,
                isolationWindowNs,
                maxMembers,
                bytes);
    }

    /** The minimum duration of a suspicion in a fleet of that size, in ns. */
    long suspicionNs(int size) {
        return (long) (suspicionMultiplier * Math.max(1, Math.log10(Math.max(1, size))) * intervalNs);
    }

    /** How often a rumor is sent in a fleet of that size. */
    int transmissions(int size) {
        return retransmitMultiplier * (int) Math.ceil(Math.log10(size + 1.0));
    }

    /** How often a rumor that only updates traffic statistics is sent in a fleet of that size. */
    static int statsTransmissions(int size) {
        return (int) Math.ceil(Math.log10(size + 1.0));
    }

    /** The time between two updates of a member's statistics, in ns: at most two per interval in the whole fleet. */
    long statsIntervalNs(int size) {
        return Math.max(statsIntervalNs, size * intervalNs / 2);
    }
}
