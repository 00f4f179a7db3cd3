package gullspar.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Sends datagrams in this process's name, and lets rumours ride along. */
final class DatagramSender {
    private static final int ROOM = Message.MOST_BYTES - Message.ENVELOPE;

    private final Self self;
    private final Roster roster;
    private final Gossip gossip;
    private final Settings settings;
    private final Outbox out;
    private final Counters counters;
    private final Allowance allowance;

    DatagramSender(
            Self self, Roster roster, Gossip gossip, Settings settings, Outbox out, Counters counters, long now) {
        this.self = self;
        this.roster = roster;
        this.gossip = gossip;
        this.settings = settings;
        this.out = out;
        this.counters = counters;
        this.allowance = new Allowance(settings.bytesPerSecond(), now);
    }

    /** May this process send that much more than what it must, without leaving none for answers? */
    boolean affords(int datagrams, long now) {
        return allowance.has((datagrams + 2.0) * Message.MOST_BYTES, now);
    }

    void ping(long now, String address, Identity target, long nonce, boolean hello) {
        send(
                now,
                address,
                target,
                hello,
                (h, r) -> new Message.Ping(h, nonce, target == null ? 0 : target.life(), hello, r));
    }

    void ack(long now, String address, Identity to, long nonce, Identity of, int incarnation, boolean introduced) {
        send(now, address, to, introduced, (h, r) -> new Message.Ack(h, nonce, of, incarnation, r));
    }

    void pingReq(long now, Peer to, long nonce, Peer target) {
        send(now, to.address(), to.id, false, (h, r) -> new Message.PingReq(h, nonce, target.id, target.address(), r));
    }

    void nack(long now, String address, Identity to, long nonce) {
        send(now, address, to, false, (h, r) -> new Message.Nack(h, nonce, r));
    }

    /** What there is to tell, to one member. */
    void news(long now, Peer to) {
        send(now, to.address(), to.id, false, Message.News::new);
    }

    /** These rumours, in as many datagrams as it takes. */
    void tell(long now, Peer to, List<Rumor> rumours) {
        List<Rumor> page = new ArrayList<>();
        int left = 0;
        for (Rumor r : rumours) {
            if (r.bytes() > left) {
                page(now, to, page);
                page = new ArrayList<>();
                left = room();
            }
            page.add(r);
            left -= r.bytes();
        }
        page(now, to, page);
    }

    private void page(long now, Peer to, List<Rumor> page) {
        if (!page.isEmpty()) {
            post(now, to.address(), new Message.News(self.header(), page));
        }
    }

    /** A message that carries no rumours. */
    void plain(long now, Peer to, Function<Message.Header, Message> make) {
        post(now, to.address(), make.apply(self.header()));
    }

    /** So much fits into one message besides its header. */
    int room() {
        return ROOM - Message.FRONT - self.headerBytes();
    }

    private interface Making {
        Message make(Message.Header header, List<Rumor> rumours);
    }

    private void send(long now, String address, Identity to, boolean introduced, Making making) {
        Message.Header h = self.header();
        List<Rumor> rumours = new ArrayList<>();
        int left = ROOM - making.make(h, rumours).size();
        if (introduced) {
            left = add(rumours, self.rumour(now, true), left);
        }
        // Whoever is accused must hear of it first of all, so that it can object.
        Peer p = to == null ? null : roster.get(to);
        if (p != null && p.heard.accuses()) {
            left = add(rumours, new Rumor(p.id, p.heard.incarnation(), p.heard.standing(), "", 0, null, 0), left);
        }
        if (p != null) {
            gossip.fill(rumours, left, to, settings.tellings(roster.size()), Settings.lightTellings(roster.size()));
        }
        post(now, address, making.make(h, rumours));
    }

    private static int add(List<Rumor> rumours, Rumor r, int left) {
        if (r.bytes() <= left) {
            rumours.add(r);
            return left - r.bytes();
        }
        return left;
    }

    private void post(long now, String address, Message m) {
        int bytes = m.size() + Message.ENVELOPE;
        if (!allowance.take(bytes, now)) {
            counters.withheld++;
            return;
        }
        counters.sent++;
        counters.sentBytes += bytes;
        out.send(address, m);
    }
}
