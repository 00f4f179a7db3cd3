package gullspar.decide;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** A request that a proxy has taken, kept until its last attempt has ended. State only, no decision. */
final class Ticket {
    final Balancer.Request request;
    final Balancer.Profile profile;
    /** When its answer stops earning anything, and when its client leaves. */
    final long aim;

    final long deadline;
    final List<Attempt> attempts = new ArrayList<>(2);
    int out;
    boolean over;
    boolean begun;
    /** Its client left while an answer would still have been in time. */
    boolean leftEarly;

    /** The queue of its key; null where the order of requests is free. */
    Turn turn;

    Ticket(Balancer.Request request, Balancer.Profile profile, long aim, long deadline) {
        this.request = request;
        this.profile = profile;
        this.aim = aim;
        this.deadline = deadline;
    }

    /** One attempt; ahead is the load that the server had when it was sent, ended is null while it is out. */
    static final class Attempt {
        final Server to;
        /** The server as it was listed then: a repeat is bound to the group of that moment. */
        final Balancer.Member group;

        final double ahead;
        final long sentAt;
        Balancer.Status ended;

        Attempt(Server to, double ahead, long sentAt) {
            this.to = to;
            this.group = to.listed;
            this.ahead = ahead;
            this.sentAt = sentAt;
        }
    }

    /** The requests of one key that must keep their order, and until when the key rests. */
    static final class Turn {
        final Deque<Ticket> queue = new ArrayDeque<>();
        long restUntil;
    }
}
