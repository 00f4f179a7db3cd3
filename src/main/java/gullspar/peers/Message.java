package gullspar.peers;

import java.util.List;

/** What goes from one process to another in one datagram. */
public sealed interface Message {
    /** A datagram's bytes at the most, envelope and all: under the least MTU of IPv6 with its headers. */
    int MOST_BYTES = 1200;
    /** The envelope: version, key, and the message authentication code. */
    int ENVELOPE = 24;

    /**
     * Who speaks.
     *
     * @param incarnation that of the speaker
     * @param address where it is answered; never the datagram's own source, which anybody may forge
     * @param number of this datagram among all of the speaker's life, from 1
     */
    record Header(Identity from, int incarnation, String address, long number) {
        /** Numbers, lengths and types, at most. */
        private static final int REST = 40;

        public Header {
            if (incarnation < 0 || number < 1 || address.isEmpty()
                    || address.length() > Statement.LONGEST_ADDRESS) {
                throw new IllegalArgumentException("not a speaker: " + from);
            }
        }

        int bytes() {
            return bytes(from, address);
        }

        static int bytes(Identity from, String address) {
            return REST + from.name().length() + address.length();
        }
    }

    Header header();

    /** What else is told along the way. */
    List<Rumour> rumours();

    /**
     * Are you there? An Ack with the same nonce is the answer.
     *
     * @param target the life that is meant, 0 if the asker does not know who is at that address
     * @param hello the asker has not heard the asked one's statement, and asks for it
     */
    record Ping(Header header, long nonce, long target, boolean hello, List<Rumour> rumours)
            implements Message { }

    /**
     * I am, or: the one whom you asked me to look for is.
     *
     * @param of who is alive, of that incarnation: the speaker, but where another was asked for
     */
    record Ack(Header header, long nonce, Identity of, int incarnation, List<Rumour> rumours)
            implements Message { }

    /** I get no answer from that one: do you? */
    record PingReq(Header header, long nonce, Identity target, String address, List<Rumour> rumours)
            implements Message { }

    /** I hear you, and have no answer from the one whom you asked me to look for either. */
    record Nack(Header header, long nonce, List<Rumour> rumours) implements Message { }

    /** Nothing but rumours. */
    record News(Header header, List<Rumour> rumours) implements Message { }

    /** My view, as one digest for each range of lives (see {@link Reconciler}). */
    record Digest(Header header, List<Long> ranges) implements Message {
        @Override
        public List<Rumour> rumours() {
            return List.of();
        }
    }

    /** All that I know of lives from one to another, both included. */
    record Listing(Header header, long from, long to, List<Known> known) implements Message {
        @Override
        public List<Rumour> rumours() {
            return List.of();
        }
    }

    /** What is known of a life: enough to tell who knows more. */
    record Known(long life, int incarnation, Standing standing, int revision) {
        /** On the wire, at most. */
        static final int BYTES = 22;
    }

    /** Tell me of these lives. */
    record Want(Header header, List<Long> lives) implements Message {
        /** A life on the wire, at most. */
        static final int BYTES = 9;

        @Override
        public List<Rumour> rumours() {
            return List.of();
        }
    }
}
