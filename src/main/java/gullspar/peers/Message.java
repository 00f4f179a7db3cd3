package gullspar.peers;

import java.util.List;

/** What goes from one process to another in one datagram. */
public sealed interface Message {
    /** A datagram's bytes at the most, envelope and all: under the least MTU of IPv6 with its headers. */
    int MAX_DATAGRAM_BYTES = 1200;
    /** The envelope: version, key, and the message authentication code. */
    int MAX_ENVELOPE_BYTES = 24;
    /** Kind, lengths of arrays. */
    int FRAMING_BYTES = 16;

    /**
     * Who speaks.
     *
     * @param incarnation that of the speaker
     * @param address where it is answered; never the datagram's own source, which anybody may forge
     * @param number of this datagram among all of the speaker's life, from 1
     */
    record Header(Identity from, int incarnation, String address, long number) {
        /** Numbers, lengths and types, at most. */
        private static final int FIXED_BYTES = 40;

        public Header {
            if (!MemberState.incarnation(incarnation)
                    || number < 1
                    || address.isEmpty()
                    || address.length() > Statement.MAX_ADDRESS_LENGTH) {
                throw new IllegalArgumentException("not a speaker: " + from);
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

    /** What else is told along the way. */
    List<Rumor> rumors();

    /** Its own fields, on the wire, at most: neither header nor rumors. */
    int maxBodyBytes();

    /** On the wire, at most, without the envelope. */
    default int maxBytes() {
        int size = FRAMING_BYTES + header().maxBytes() + maxBodyBytes();
        for (Rumor r : rumors()) {
            size += r.maxBytes();
        }
        return size;
    }

    /**
     * Are you there? An Ack with the same nonce is the answer.
     *
     * @param target the life that is meant, 0 if the asker does not know who is at that address
     * @param hello the asker has not heard the asked one's statement, and asks for it
     */
    record Ping(Header header, long nonce, long targetLife, boolean requestsStatement, List<Rumor> rumors)
            implements Message {
        @Override
        public int maxBodyBytes() {
            return 9 + 9 + 1;
        }
    }

    /**
     * I am, or: the one whom you asked me to look for is.
     *
     * @param of who is alive, of that incarnation: the speaker, but where another was asked for
     */
    record Ack(Header header, long nonce, Identity subject, int incarnation, List<Rumor> rumors) implements Message {
        @Override
        public int maxBodyBytes() {
            return 9 + 11 + subject.name().length() + 5;
        }
    }

    /** I get no answer from that one: do you? */
    record PingReq(Header header, long nonce, Identity target, String address, List<Rumor> rumors) implements Message {
        @Override
        public int maxBodyBytes() {
            return 9 + 11 + target.name().length() + 2 + address.length();
        }
    }

    /** I hear you, and have no answer from the one whom you asked me to look for either. */
    record Nack(Header header, long nonce, List<Rumor> rumors) implements Message {
        @Override
        public int maxBodyBytes() {
            return 9;
        }
    }

    /** Nothing but rumors. */
    record News(Header header, List<Rumor> rumors) implements Message {
        @Override
        public int maxBodyBytes() {
            return 0;
        }
    }

    /** My view, as one digest for each range of lives (see {@link Reconciler}). */
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

    /** All that I know of lives from one to another, both included. */
    record Listing(Header header, long from, long to, List<Known> known) implements Message {
        @Override
        public int maxBodyBytes() {
            return 9 + 9 + Known.MAX_BYTES * known.size();
        }

        @Override
        public List<Rumor> rumors() {
            return List.of();
        }
    }

    /** What is known of a life: enough to tell who knows more. */
    record Known(long life, int incarnation, MemberStatus status, int revision) {
        /** On the wire, at most. */
        static final int MAX_BYTES = 22;

        public Known {
            if (!MemberState.incarnation(incarnation)) {
                throw new IllegalArgumentException("not known of a life");
            }
        }
    }

    /** Tell me of these lives. */
    record Want(Header header, List<Long> lives) implements Message {
        /** A life on the wire, at most. */
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
