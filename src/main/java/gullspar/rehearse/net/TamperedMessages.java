package gullspar.rehearse.net;

import gullspar.peers.Message;
import gullspar.peers.Rumor;
import java.util.List;

/** Copies of messages with one part replaced, as a holder of the key could produce. */
public final class TamperedMessages {
    private TamperedMessages() {}

    /** Replaces the rumors of messages that carry any; the entries of a listing are removed. */
    public static Message withRumors(Message message, List<Rumor> rumors) {
        if (message instanceof Message.Ping p) {
            return new Message.Ping(p.header(), p.nonce(), p.targetLife(), p.requestsStatement(), rumors);
        } else if (message instanceof Message.Ack a) {
            return new Message.Ack(a.header(), a.nonce(), a.subject(), a.incarnation(), rumors);
        } else if (message instanceof Message.PingReq r) {
            return new Message.PingReq(r.header(), r.nonce(), r.target(), r.address(), rumors);
        } else if (message instanceof Message.Nack n) {
            return new Message.Nack(n.header(), n.nonce(), rumors);
        } else if (message instanceof Message.News n) {
            return new Message.News(n.header(), rumors);
        } else if (message instanceof Message.Listing l) {
            return new Message.Listing(l.header(), l.from(), l.to(), List.of());
        }
        return message;
    }

    /** Replaces the sequence number. */
    public static Message withNumber(Message message, long number) {
        Message.Header oldHeader = message.header();
        Message.Header newHeader =
                new Message.Header(oldHeader.from(), oldHeader.incarnation(), oldHeader.address(), number);
        if (message instanceof Message.Ping p) {
            return new Message.Ping(newHeader, p.nonce(), p.targetLife(), p.requestsStatement(), p.rumors());
        } else if (message instanceof Message.Ack a) {
            return new Message.Ack(newHeader, a.nonce(), a.subject(), a.incarnation(), a.rumors());
        } else if (message instanceof Message.PingReq r) {
            return new Message.PingReq(newHeader, r.nonce(), r.target(), r.address(), r.rumors());
        } else if (message instanceof Message.Nack n) {
            return new Message.Nack(newHeader, n.nonce(), n.rumors());
        } else if (message instanceof Message.News n) {
            return new Message.News(newHeader, n.rumors());
        } else if (message instanceof Message.Listing l) {
            return new Message.Listing(newHeader, l.from(), l.to(), l.states());
        } else if (message instanceof Message.Digest d) {
            return new Message.Digest(newHeader, d.ranges());
        }
        return new Message.Want(newHeader, ((Message.Want) message).lives());
    }
}
