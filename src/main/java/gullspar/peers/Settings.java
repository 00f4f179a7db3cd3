package gullspar.peers;

/**
 * How the fleet is watched. Times in ns.
 *
 * @param intervalNs one member is asked whether it is there every so often, while this process is well itself
 * @param timeoutNs an answer is waited for so long before others are asked to look
 * @param indirect how many others are asked
 * @param suspicion a member is suspected for at least so many intervals, times the decimal logarithm of the
 *        fleet's size
 * @param stretch a suspicion that nobody confirms lasts so many times as long
 * @param confirmations as many confirmations bring it to the least
 * @param healthMost the worst own health: intervals and time-outs grow by one more for each step down to it;
 *        0 turns that off
 * @param retell a rumor is told so many times, times the decimal logarithm of the fleet's size
 * @param fanout to how many news are sent at once
 * @param syncNs views are compared with one other member every so often
 * @param figuresNs figures are told anew every so often; less often in a large fleet, so that the traffic of
 *        one member stays the same
 * @param reconnectMost the longest pause between two knocks at a member that is gone, in intervals
 * @param forgetNs members that are gone or have left are forgotten so long after
 * @param windowNs whoever was alive within it counts when this process asks itself whether it is cut off
 * @param members how many are kept at the most
 * @param bytesPerSecond what this process sends at the most, answers included
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
        long windowNs,
        int maxMembers,
        int bytesPerSecond) {
    private static final long MS = 1_000_000L;

    public Settings {
        if (intervalNs < 10 * MS
                || timeoutNs < MS
                || timeoutNs * 2 > intervalNs
                || maxMembers < 2
                || bytesPerSecond < 4 * Message.MAX_DATAGRAM_BYTES) {
            throw new IllegalArgumentException("settings that cannot be: " + intervalNs + ", " + timeoutNs);
        }
    }

    /** The usual ones, all in proportion to the interval. */
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

    /** The same with another window in which members count as seen lately. */
    public Settings withWindow(long ns) {
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

    /** The same with another bound on what is sent. */
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
                windowNs,
                maxMembers,
                bytes);
    }

    /** The least time under suspicion in a fleet of that size, in ns. */
    long suspicionNs(int size) {
        return (long) (suspicionMultiplier * Math.max(1, Math.log10(Math.max(1, size))) * intervalNs);
    }

    /** How often a rumor is told in a fleet of that size. */
    int transmissions(int size) {
        return retransmitMultiplier * (int) Math.ceil(Math.log10(size + 1.0));
    }

    /** How often new figures are told in a fleet of that size. */
    static int statsTransmissions(int size) {
        return (int) Math.ceil(Math.log10(size + 1.0));
    }

    /** How often a member tells its figures in a fleet of that size, in ns: two a second in all, or fewer. */
    long statsIntervalNs(int size) {
        return Math.max(statsIntervalNs, size * intervalNs / 2);
    }
}
