package gullspar.rehearse.net;

import gullspar.peers.Message;
import gullspar.peers.Rumor;
import java.util.List;

/** Messages as they were, but for one thing: what whoever holds the key can make of them. */
public final class TamperedMessages {
    private TamperedMessages() {}

    /** With other rumours, where its kind carries any; a listing is empty then. */
    public static Message with(Message m, List<Rumor> rumours) {
        if (m instanceof Message.Ping p) {
            return new Message.Ping(p.header(), p.nonce(), p.target(), p.hello(), rumours);
        } else if (m instanceof Message.Ack a) {
            return new Message.Ack(a.header(), a.nonce(), a.of(), a.incarnation(), rumours);
        } else if (m instanceof Message.PingReq r) {
            return new Message.PingReq(r.header(), r.nonce(), r.target(), r.address(), rumours);
        } else if (m instanceof Message.Nack n) {
            return new Message.Nack(n.header(), n.nonce(), rumours);
        } else if (m instanceof Message.News n) {
            return new Message.News(n.header(), rumours);
        } else if (m instanceof Message.Listing l) {
            return new Message.Listing(l.header(), l.from(), l.to(), List.of());
        }
        return m;
    }

    /** With another number. */
    public static Message numbered(Message m, long number) {
        Message.Header o = m.header();
        Message.Header h = new Message.Header(o.from(), o.incarnation(), o.address(), number);
        if (m instanceof Message.Ping p) {
            return new Message.Ping(h, p.nonce(), p.target(), p.hello(), p.rumours());
        } else if (m instanceof Message.Ack a) {
            return new Message.Ack(h, a.nonce(), a.of(), a.incarnation(), a.rumours());
        } else if (m instanceof Message.PingReq r) {
            return new Message.PingReq(h, r.nonce(), r.target(), r.address(), r.rumours());
        } else if (m instanceof Message.Nack n) {
            return new Message.Nack(h, n.nonce(), n.rumours());
        } else if (m instanceof Message.News n) {
            return new Message.News(h, n.rumours());
        } else if (m instanceof Message.Listing l) {
            return new Message.Listing(h, l.from(), l.to(), l.known());
        } else if (m instanceof Message.Digest d) {
            return new Message.Digest(h, d.ranges());
        }
        return new Message.Want(h, ((Message.Want) m).lives());
    }
}
