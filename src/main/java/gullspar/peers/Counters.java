package gullspar.peers;

/** Counters of this process since its start. */
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

    /** Upper bound of the bytes sent. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Authenticated datagrams received. */
    public long received() {
        return received;
    }

    /** Datagrams dropped as duplicates or too old. */
    public long duplicates() {
        return duplicates;
    }

    /** Datagrams of senders that are not members. */
    public long unknownSenders() {
        return unknownSenders;
    }

    /** Datagrams not sent because the byte budget was exhausted. */
    public long withheld() {
        return withheld;
    }

    /** Members not admitted because the roster was full. */
    public long refusedMembers() {
        return refusedMembers;
    }

    /** Accusations that this process refuted. */
    public long refutations() {
        return refutations;
    }

    /** Pauses of this process that it detected. */
    public long stalls() {
        return stalls;
    }
}
