package gullspar.peers;

import java.util.List;

/** The content of one datagram between two processes. */
public sealed interface Message {
    /** Maximum size of a datagram with its envelope: with IP headers it stays below the minimum MTU of IPv6. */
    int MAX_DATAGRAM_BYTES = 1200;
    /** Upper bound of the envelope: version, key id and message authentication code. */
    int MAX_ENVELOPE_BYTES = 24;
    /** Upper bound of the kind and of the lengths of arrays. */
    int FRAMING_BYTES = 16;

    /**
     * The sender.
     *
     * @param incarnation the sender's incarnation
     * @param address where answers go; not the datagram's source address, which can be forged
     * @param number sequence number of this datagram in the sender's life, from 1
     */
    record Header(Identity from, int incarnation, String address, long sequenceNumber) {
        /** Upper bound of numbers, lengths and types. */
        private static final int FIXED_BYTES = 40;

        public Header {
            if (!MemberState.isValidIncarnation(incarnation)
                    || sequenceNumber < 1
                    || address.isEmpty()
                    || address.length() > Statement.MAX_ADDRESS_LENGTH) {
                throw new IllegalArgumentException("invalid header of sender " + from);
            }
        }

        int maxBytes() {
            return maxBytes(from, address);
        }

        static int maxBytes(Identity from, String address) {
            return FIXED_BYTES + from.name().length() + address.length();
        }
    }

    Header header();

    /** Rumors piggybacked on the message. */
    List<Rumor> rumors();

    /**
     * Upper bound of its encoded fields, in bytes, without header and rumors. In CBOR a 64-bit integer takes up to 9
     * bytes, a 32-bit one 5, a boolean 1, and the length of a name or address 2.
     */
    int maxBodyBytes();

    /** Upper bound of the encoded message, in bytes, without the envelope. */
    default int maxBytes() {
        int size = FRAMING_BYTES + header().maxBytes() + maxBodyBytes();
        for (Rumor r : rumors()) {
            size += r.maxBytes();
        }
        return size;
    }

    /**
     * A direct probe, answered by an Ack with the same nonce.
     *
     * @param targetLife the life that is probed, 0 if the sender does not know which one is at that address
     * @param requestsStatement the sender does not have the receiver's statement, and asks for it
     */
    record Ping(Header header, long nonce, long targetLife, boolean requestsStatement, List<Rumor> rumors)
            implements Message {
        @Override
        public int maxBodyBytes() {
            return 9 + 9 + 1;
        }
    }

    /**
     * Answers a probe, directly or on behalf of the target of an indirect probe.
     *
     * @param subject the process that is alive at that incarnation: the sender, or the target of an indirect probe
     */
    record Ack(Header header, long nonce, Identity subject, int incarnation, List<Rumor> rumors) implements Message {
        @Override
        public int maxBodyBytes() {
            return 9 + 11 + subject.name().length() + 5;
        }
    }

    /** Asks the receiver to probe a target that does not answer the sender. */
    record PingReq(Header header, long nonce, Identity target, String address, List<Rumor> rumors) implements Message {
        @Override
        public int maxBodyBytes() {
            return 9 + 11 + target.name().length() + 2 + address.length();
        }
    }

    /** Answers a PingReq whose target has not answered in time. */
    record Nack(Header header, long nonce, List<Rumor> rumors) implements Message {
        @Override
        public int maxBodyBytes() {
            return 9;
        }
    }

    /** A gossip message: rumors only. */
    record News(Header header, List<Rumor> rumors) implements Message {
        @Override
        public int maxBodyBytes() {
            return 0;
        }
    }

    /** The sender's view, as one digest for each range of lives (see {@link Reconciler}). */
    record Digest(Header header, List<Long> ranges) implements Message {
        @Override
        public int maxBodyBytes() {
            return 9 * ranges.size();
        }

        @Override
        public List<Rumor> rumors() {
            return List.of();
        }
    }

    /** The states of all lives from one to another, both included, that the sender knows; lives compare as unsigned. */
    record Listing(Header header, long from, long to, List<KnownState> states) implements Message {
        @Override
        public int maxBodyBytes() {
            return 9 + 9 + KnownState.MAX_BYTES * states.size();
        }

        @Override
        public List<Rumor> rumors() {
            return List.of();
        }
    }

    /** State and statement revision of a life, enough to decide which side has the newer information. */
    record KnownState(long life, int incarnation, MemberStatus status, int revision) {
        /** Upper bound of its encoding. */
        static final int MAX_BYTES = 22;

        public KnownState {
            if (!MemberState.isValidIncarnation(incarnation)) {
                throw new IllegalArgumentException("invalid incarnation in a listing");
            }
        }
    }

    /** Requests rumors with statements of these lives. */
    record Want(Header header, List<Long> lives) implements Message {
        /** Upper bound of an encoded life. */
        static final int MAX_LIFE_BYTES = 9;

        @Override
        public int maxBodyBytes() {
            return MAX_LIFE_BYTES * lives.size();
        }

        @Override
        public List<Rumor> rumors() {
            return List.of();
        }
    }
}
