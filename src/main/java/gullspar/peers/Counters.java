package gullspar.peers;

/** What has gone through this process, from its start. */
public final class Counters {
    long sent;
    long sentBytes;
    long received;
    long duplicates;
    long unknownSenders;
    long withheld;
    long refusedMembers;
    long refutations;
    long stalls;

    /** Datagrams sent. */
    public long sent() {
        return sent;
    }

    /** Their bytes, at most. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Datagrams that this process looked at. */
    public long received() {
        return received;
    }

    /** Datagrams that had come before, or were too old. */
    public long duplicates() {
        return duplicates;
    }

    /** Datagrams from lives that had not proved that they live. */
    public long unknownSenders() {
        return unknownSenders;
    }

    /** Datagrams that were not sent, so as not to send too much. */
    public long withheld() {
        return withheld;
    }

    /** Members that were not taken in since there are too many. */
    public long refusedMembers() {
        return refusedMembers;
    }

    /** How often this process objected to an accusation. */
    public long refutations() {
        return refutations;
    }

    /** How often it found that it had stood still. */
    public long stalls() {
        return stalls;
    }
}
