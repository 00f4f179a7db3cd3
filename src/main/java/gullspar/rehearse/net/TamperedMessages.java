package gullspar.rehearse.net;

import gullspar.peers.Message;
import gullspar.peers.Rumor;
import java.util.List;

/** Copies of messages with one part replaced, as a holder of the key could produce. */
public final class TamperedMessages {
    private TamperedMessages() {}

    /** Replaces the rumors of messages that carry any; the entries of a listing are removed. */
    public static Message withRumors(Message m, List<Rumor> rumors) {
        if (m instanceof Message.Ping p) {
            return new Message.Ping(p.header(), p.nonce(), p.targetLife(), p.requestsStatement(), rumors);
        } else if (m instanceof Message.Ack a) {
            return new Message.Ack(a.header(), a.nonce(), a.subject(), a.incarnation(), rumors);
        } else if (m instanceof Message.PingReq r) {
            return new Message.PingReq(r.header(), r.nonce(), r.target(), r.address(), rumors);
        } else if (m instanceof Message.Nack n) {
            return new Message.Nack(n.header(), n.nonce(), rumors);
        } else if (m instanceof Message.News n) {
            return new Message.News(n.header(), rumors);
        } else if (m instanceof Message.Listing l) {
            return new Message.Listing(l.header(), l.from(), l.to(), List.of());
        }
        return m;
    }

    /** Replaces the sequence number. */
    public static Message withNumber(Message m, long number) {
        Message.Header o = m.header();
        Message.Header h = new Message.Header(o.from(), o.incarnation(), o.address(), number);
        if (m instanceof Message.Ping p) {
            return new Message.Ping(h, p.nonce(), p.targetLife(), p.requestsStatement(), p.rumors());
        } else if (m instanceof Message.Ack a) {
            return new Message.Ack(h, a.nonce(), a.subject(), a.incarnation(), a.rumors());
        } else if (m instanceof Message.PingReq r) {
            return new Message.PingReq(h, r.nonce(), r.target(), r.address(), r.rumors());
        } else if (m instanceof Message.Nack n) {
            return new Message.Nack(h, n.nonce(), n.rumors());
        } else if (m instanceof Message.News n) {
            return new Message.News(h, n.rumors());
        } else if (m instanceof Message.Listing l) {
            return new Message.Listing(h, l.from(), l.to(), l.states());
        } else if (m instanceof Message.Digest d) {
            return new Message.Digest(h, d.ranges());
        }
        return new Message.Want(h, ((Message.Want) m).lives());
    }
}
