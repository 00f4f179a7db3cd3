package gullspar.peers;

/** Traffic of a member: requests and refused requests per second, and requests in progress. */
public record TrafficStats(float requestsPerSecond, float refusedPerSecond, int pending) {
    /** Of a member without traffic. */
    public static final TrafficStats NONE = new TrafficStats(0, 0, 0);
}
