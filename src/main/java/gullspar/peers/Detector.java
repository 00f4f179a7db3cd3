package gullspar.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Asks the members, one after the other in an order drawn anew each round, whether they are there. Who does
 * not answer is asked for through others; who answers none of them is suspected. Only an answer to a
 * question counts: that somebody is heard says nothing of whether he hears.
 */
final class Detector {
    /** Questions that are open at one time, at most. */
    private static final int MAX_OPEN_PROBES = 512;
    /** So many intervals somebody may take to prove that he lives. */
    private static final int VERIFICATION_INTERVALS = 8;
    /** The part of a time-out after which whoever looks for another says that he had no answer either. */
    private static final double NACK_TIMEOUT_FRACTION = 0.8;

    /** Why somebody is asked. */
    private enum Kind {
        /** In his turn: no answer has consequences. */
        TURN,
        /** A life that is to prove itself, or an address where somebody may be: no answer is none. */
        PROOF,
        /** For another. */
        FOR_ANOTHER
    }

    private static final class Probe {
        private final Kind kind;
        private final Peer target;
        private final String address;
        private final long expiresAt;
        private long indirectAt;
        private long sentAt;
        private int expectedNacks;
        private int nacks;
        /** Who is told, with which nonce, where one asks for another. */
        private Peer requester;

        private long requesterNonce;
        private boolean direct = true;

        Probe(Kind kind, Peer target, String address, long indirectAt, long expiresAt) {
            this.kind = kind;
            this.target = target;
            this.address = address;
            this.indirectAt = indirectAt;
            this.expiresAt = expiresAt;
        }
    }

    /** Each member asks, or is asked, once in a round over all; so many intervals more are no silence. */
    private static final int RECENT_SLACK_INTERVALS = 6;

    private final Settings settings;
    private final Roster roster;
    private final MemberStates members;
    private final SelfHealth health;
    private final DatagramSender sender;
    private final RandomGenerator random;
    private final Self self;
    private final Map<Long, Probe> open = new HashMap<>();
    private final List<Peer> round = new ArrayList<>();
    private int roundIndex;

    Detector(
            Settings settings,
            Self self,
            Roster roster,
            MemberStates members,
            SelfHealth health,
            DatagramSender sender,
            RandomGenerator random) {
        this.settings = settings;
        this.self = self;
        this.roster = roster;
        this.members = members;
        this.health = health;
        this.sender = sender;
        this.random = random;
    }

    /** Asks whoever's turn it is. */
    void probeNext(long now) {
        for (int passed = 0; passed <= roster.present().size(); passed++) {
            if (roundIndex >= round.size()) {
                round.clear();
                round.addAll(roster.present());
                for (int i = round.size() - 1; i > 0; i--) {
                    Collections.swap(round, i, random.nextInt(i + 1));
                }
                roundIndex = 0;
            }
            if (round.isEmpty()) {
                return;
            }
            Peer p = round.get(roundIndex++);
            if (p.present() && roster.get(p.id) == p) {
                probe(now, p);
                return;
            }
        }
    }

    /** Somebody new takes part in this round already, at a place drawn at random among those to come. */
    void addToRound(Peer p) {
        round.add(roundIndex + random.nextInt(round.size() - roundIndex + 1), p);
    }

    /** Asks one member, in its turn or out of it. */
    void probe(long now, Peer p) {
        Probe q = new Probe(
                Kind.TURN,
                p,
                p.address(),
                now + health.scale(settings.timeoutNs()),
                now + health.scale(settings.intervalNs()));
        long nonce = open(q);
        if (nonce != 0) {
            sender.ping(now, p.address(), p.id, nonce, false);
        }
    }

    /**
     * Asks whoever is at an address to prove that he lives; target may be null where nobody knows who it
     * is.
     */
    void verify(long now, String address, Identity target) {
        if (open.values().stream()
                .anyMatch(q -> q.kind == Kind.PROOF
                        && q.address.equals(address)
                        && now - q.sentAt < settings.intervalNs())) {
            return;
        }
        // No answer has no consequence, so there is time for one from whoever is far away or slow.
        long nonce = open(new Probe(
                Kind.PROOF,
                null,
                address,
                Long.MAX_VALUE,
                now + VERIFICATION_INTERVALS * settings.intervalNs()));
        if (nonce != 0) {
            open.get(nonce).sentAt = now;
        }
        if (nonce != 0) {
            sender.ping(now, address, target, nonce, true);
        }
    }

    private long open(Probe q) {
        if (open.size() >= MAX_OPEN_PROBES) {
            return 0;
        }
        long nonce = random.nextLong();
        while (nonce == 0 || open.containsKey(nonce)) {
            nonce = random.nextLong();
        }
        open.put(nonce, q);
        return nonce;
    }

    /** Another asks this process to look for somebody. */
    void relayProbe(long now, Peer requester, Message.PingReq r) {
        Probe q = new Probe(
                Kind.FOR_ANOTHER,
                null,
                r.address(),
                now + (long) (NACK_TIMEOUT_FRACTION * settings.timeoutNs()),
                now + settings.intervalNs());
        q.requester = requester;
        q.requesterNonce = r.nonce();
        long nonce = open(q);
        if (nonce != 0) {
            sender.ping(now, r.address(), r.target(), nonce, false);
        }
    }

    /**
     * What an answer says of a life that was not proved yet: true if it answers a question of this process.
     */
    boolean answersOpenProbe(Message.Ack a) {
        Probe q = open.get(a.nonce());
        return q != null && a.subject().equals(a.header().from());
    }

    /** An answer came. */
    void onAck(long now, Message.Ack a) {
        Probe q = open.get(a.nonce());
        if (q == null) {
            return; // too late, or never asked
        }
        boolean fromSubject = a.subject().equals(a.header().from());
        switch (q.kind) {
            case TURN -> onRegularAck(now, q, a, fromSubject);
            case FOR_ANOTHER -> {
                open.remove(a.nonce());
                if (fromSubject) {
                    sender.ack(
                            now,
                            q.requester.address(),
                            q.requester.id,
                            q.requesterNonce,
                            a.subject(),
                            a.incarnation(),
                            false);
                }
            }
            default -> open.remove(a.nonce());
        }
    }

    private void onRegularAck(long now, Probe q, Message.Ack a, boolean fromSubject) {
        Peer p = q.target;
        if (a.subject().equals(p.id)) {
            open.remove(a.nonce());
            members.markAlive(now, p, a.incarnation());
            p.indirectOnly = !fromSubject;
            if (fromSubject) {
                p.lastAckAt = now;
                health.adjust(q.direct ? -1 : 0);
                if (p.id.name().equals(self.id.name())) {
                    members.reportTwin(now, p);
                }
            }
        } else if (fromSubject && q.address.equals(p.address())) {
            open.remove(a.nonce());
            members.markGone(now, p, "at " + q.address + " answers " + a.subject());
        }
    }

    /** One of those that were asked to look hears this process, and had no answer either. */
    void onNack(Message.Nack n) {
        Probe q = open.get(n.nonce());
        if (q != null && q.kind == Kind.TURN) {
            q.nacks++;
        }
    }

    /** Asks others, and draws conclusions, where the time is over. */
    void expire(long now) {
        for (Iterator<Map.Entry<Long, Probe>> i = open.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Long, Probe> e = i.next();
            Probe q = e.getValue();
            if (now >= q.indirectAt) {
                q.indirectAt = Long.MAX_VALUE;
                onDirectTimeout(now, e.getKey(), q);
            }
            if (now >= q.expiresAt) {
                i.remove();
                if (q.kind == Kind.TURN) {
                    onProbeFailed(now, q);
                }
            }
        }
    }

    private void onDirectTimeout(long now, long nonce, Probe q) {
        if (q.kind == Kind.FOR_ANOTHER) {
            sender.nack(now, q.requester.address(), q.requester.id, q.requesterNonce);
            return;
        }
        q.direct = false;
        for (Peer helper : roster.sample(settings.indirectProbes(), random, q.target, null)) {
            if (helper.status == MemberStatus.ALIVE) {
                // One that is silent itself tells nothing of how well this process hears.
                q.expectedNacks += now - helper.lastReceivedAt <= recentNs() ? 1 : 0;
                sender.pingReq(now, helper, nonce, q.target);
            }
        }
    }

    private long recentNs() {
        return (roster.size() + RECENT_SLACK_INTERVALS) * settings.intervalNs();
    }

    private void onProbeFailed(long now, Probe q) {
        // If those who were asked to help are not heard either, it is likely this process that hears badly.
        health.adjust(q.expectedNacks > 0 ? Math.max(0, q.expectedNacks - q.nacks) : 1);
        Peer p = q.target;
        if (p.present() && roster.get(p.id) == p) {
            members.suspect(now, p, p.state.incarnation(), self.id.name());
        }
    }

    /** This process stood still: answers may have come and gone, so no question counts. */
    void abandonProbes() {
        open.values().removeIf(q -> q.kind == Kind.TURN);
    }

    /** When the next time is over; MAX_VALUE if nothing is open. */
    long expiresAt() {
        long next = Long.MAX_VALUE;
        for (Probe q : open.values()) {
            next = Math.min(next, Math.min(q.indirectAt, q.expiresAt));
        }
        return next;
    }
}
