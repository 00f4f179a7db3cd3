package gullspar.peers;

/** What a member tells of its work: requests a second, those refused a second, and those in hand. */
public record TrafficStats(float requestsPerSecond, float refusedPerSecond, int pending) {
    /** Of one that serves nothing. */
    public static final TrafficStats NONE = new TrafficStats(0, 0, 0);
}
