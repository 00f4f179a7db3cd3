package gullspar.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Sends datagrams for this process and piggybacks rumors on them, within a budget of bytes. */
final class DatagramSender {
    private static final int MAX_MESSAGE_BYTES = Message.MAX_DATAGRAM_BYTES - Message.MAX_ENVELOPE_BYTES;

    private final Self self;
    private final Roster roster;
    private final Gossip gossip;
    private final Settings settings;
    private final Outbox out;
    private final Counters counters;
    private final TokenBucket sendBudget;

    DatagramSender(
            Self self, Roster roster, Gossip gossip, Settings settings, Outbox out, Counters counters, long now) {
        this.self = self;
        this.roster = roster;
        this.gossip = gossip;
        this.settings = settings;
        this.out = out;
        this.counters = counters;
        this.sendBudget = new TokenBucket(settings.bytesPerSecond(), now);
    }

    /** Whether the budget allows that many optional datagrams and keeps a reserve of two for answers. */
    boolean canSend(int datagrams, long now) {
        return sendBudget.canTake((datagrams + 2.0) * Message.MAX_DATAGRAM_BYTES, now);
    }

    void ping(long now, String address, Identity target, long nonce, boolean requestsStatement) {
        send(
                now,
                address,
                target,
                requestsStatement,
                (h, r) -> new Message.Ping(h, nonce, target == null ? 0 : target.life(), requestsStatement, r));
    }

    void ack(
            long now, String address, Identity to, long nonce, Identity of, int incarnation, boolean withOwnStatement) {
        send(now, address, to, withOwnStatement, (h, r) -> new Message.Ack(h, nonce, of, incarnation, r));
    }

    void pingReq(long now, Peer to, long nonce, Peer target) {
        send(now, to.address(), to.id, false, (h, r) -> new Message.PingReq(h, nonce, target.id, target.address(), r));
    }

    void nack(long now, String address, Identity to, long nonce) {
        send(now, address, to, false, (h, r) -> new Message.Nack(h, nonce, r));
    }

    /** Sends pending rumors to one member. */
    void sendPendingRumors(long now, Peer to) {
        send(now, to.address(), to.id, false, Message.News::new);
    }

    /** Sends the given rumors, in as many datagrams as needed. */
    void sendRumors(long now, Peer to, List<Rumor> rumors) {
        List<Rumor> page = new ArrayList<>();
        int remainingBytes = 0;
        for (Rumor r : rumors) {
            if (r.maxBytes() > remainingBytes) {
                sendPage(now, to, page);
                page = new ArrayList<>();
                remainingBytes = maxPayloadBytes();
            }
            page.add(r);
            remainingBytes -= r.maxBytes();
        }
        sendPage(now, to, page);
    }

    private void sendPage(long now, Peer to, List<Rumor> page) {
        if (!page.isEmpty()) {
            transmit(now, to.address(), new Message.News(self.header(), page));
        }
    }

    /** Sends a message without rumors. */
    void sendPlain(long now, Peer to, Function<Message.Header, Message> make) {
        transmit(now, to.address(), make.apply(self.header()));
    }

    /** Bytes of a message that remain beside its header. */
    int maxPayloadBytes() {
        return MAX_MESSAGE_BYTES - Message.FRAMING_BYTES - self.headerBytes();
    }

    private interface MessageFactory {
        Message make(Message.Header header, List<Rumor> rumors);
    }

    private void send(long now, String address, Identity to, boolean withOwnStatement, MessageFactory factory) {
        Message.Header header = self.header();
        List<Rumor> rumors = new ArrayList<>();
        int remainingBytes = MAX_MESSAGE_BYTES - factory.make(header, rumors).maxBytes();
        if (withOwnStatement) {
            remainingBytes = addIfFits(rumors, self.rumor(now, true), remainingBytes);
        }
        // The suspected member itself receives the accusation first, so that it can refute it.
        Peer receiver = to == null ? null : roster.get(to);
        if (receiver != null && receiver.state.accuses()) {
            remainingBytes = addIfFits(
                    rumors,
                    new Rumor(receiver.id, receiver.state.incarnation(), receiver.state.status(), "", 0, null, 0),
                    remainingBytes);
        }
        if (receiver != null) {
            gossip.fill(
                    rumors,
                    remainingBytes,
                    to,
                    settings.transmissions(roster.size()),
                    Settings.statsTransmissions(roster.size()));
        }
        transmit(now, address, factory.make(header, rumors));
    }

    private static int addIfFits(List<Rumor> rumors, Rumor r, int remainingBytes) {
        if (r.maxBytes() <= remainingBytes) {
            rumors.add(r);
            return remainingBytes - r.maxBytes();
        }
        return remainingBytes;
    }

    private void transmit(long now, String address, Message m) {
        int bytes = m.maxBytes() + Message.MAX_ENVELOPE_BYTES;
        if (!sendBudget.tryTake(bytes, now)) {
            counters.withheld++;
            return;
        }
        counters.sent++;
        counters.sentBytes += bytes;
        out.send(address, m);
    }
}
