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
    private static final int MOST_OPEN = 512;
    /** So many intervals somebody may take to prove that he lives. */
    private static final int PROOF_INTERVALS = 8;
    /** The part of a time-out after which whoever looks for another says that he had no answer either. */
    private static final double NACK_AFTER = 0.8;

    /** Why somebody is asked. */
    private enum Kind {
        /** In his turn: no answer has consequences. */
        TURN,
        /** A life that is to prove itself, or an address where somebody may be: no answer is none. */
        PROOF,
        /** For another. */
        FOR_ANOTHER
    }

    private static final class Question {
        private final Kind kind;
        private final Peer target;
        private final String address;
        private final long endsAt;
        private long othersAt;
        private long askedAt;
        private int nacksWanted;
        private int nacks;
        /** Who is told, with which nonce, where one asks for another. */
        private Peer asker;

        private long askersNonce;
        private boolean direct = true;

        Question(Kind kind, Peer target, String address, long othersAt, long endsAt) {
            this.kind = kind;
            this.target = target;
            this.address = address;
            this.othersAt = othersAt;
            this.endsAt = endsAt;
        }
    }

    /** Each member asks, or is asked, once in a round over all; so many intervals more are no silence. */
    private static final int SLACK = 6;

    private final Settings settings;
    private final Roster roster;
    private final MemberStates members;
    private final SelfHealth health;
    private final DatagramSender sender;
    private final RandomGenerator random;
    private final Self self;
    private final Map<Long, Question> open = new HashMap<>();
    private final List<Peer> round = new ArrayList<>();
    private int place;

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
    void next(long now) {
        for (int passed = 0; passed <= roster.present().size(); passed++) {
            if (place >= round.size()) {
                round.clear();
                round.addAll(roster.present());
                for (int i = round.size() - 1; i > 0; i--) {
                    Collections.swap(round, i, random.nextInt(i + 1));
                }
                place = 0;
            }
            if (round.isEmpty()) {
                return;
            }
            Peer p = round.get(place++);
            if (p.present() && roster.get(p.id) == p) {
                ask(now, p);
                return;
            }
        }
    }

    /** Somebody new takes part in this round already, at a place drawn at random among those to come. */
    void joins(Peer p) {
        round.add(place + random.nextInt(round.size() - place + 1), p);
    }

    /** Asks one member, in its turn or out of it. */
    void ask(long now, Peer p) {
        Question q = new Question(
                Kind.TURN,
                p,
                p.address(),
                now + health.stretched(settings.timeoutNs()),
                now + health.stretched(settings.intervalNs()));
        long nonce = open(q);
        if (nonce != 0) {
            sender.ping(now, p.address(), p.id, nonce, false);
        }
    }

    /**
     * Asks whoever is at an address to prove that he lives; target may be null where nobody knows who it
     * is.
     */
    void prove(long now, String address, Identity target) {
        if (open.values().stream()
                .anyMatch(q ->
                        q.kind == Kind.PROOF && q.address.equals(address) && now - q.askedAt < settings.intervalNs())) {
            return;
        }
        // No answer has no consequence, so there is time for one from whoever is far away or slow.
        long nonce = open(
                new Question(Kind.PROOF, null, address, Long.MAX_VALUE, now + PROOF_INTERVALS * settings.intervalNs()));
        if (nonce != 0) {
            open.get(nonce).askedAt = now;
        }
        if (nonce != 0) {
            sender.ping(now, address, target, nonce, true);
        }
    }

    private long open(Question q) {
        if (open.size() >= MOST_OPEN) {
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
    void lookFor(long now, Peer asker, Message.PingReq r) {
        Question q = new Question(
                Kind.FOR_ANOTHER,
                null,
                r.address(),
                now + (long) (NACK_AFTER * settings.timeoutNs()),
                now + settings.intervalNs());
        q.asker = asker;
        q.askersNonce = r.nonce();
        long nonce = open(q);
        if (nonce != 0) {
            sender.ping(now, r.address(), r.target(), nonce, false);
        }
    }

    /**
     * What an answer says of a life that was not proved yet: true if it answers a question of this process.
     */
    boolean proves(Message.Ack a) {
        Question q = open.get(a.nonce());
        return q != null && a.of().equals(a.header().from());
    }

    /** An answer came. */
    void answered(long now, Message.Ack a) {
        Question q = open.get(a.nonce());
        if (q == null) {
            return; // too late, or never asked
        }
        boolean himself = a.of().equals(a.header().from());
        switch (q.kind) {
            case TURN -> inTurn(now, q, a, himself);
            case FOR_ANOTHER -> {
                open.remove(a.nonce());
                if (himself) {
                    sender.ack(now, q.asker.address(), q.asker.id, q.askersNonce, a.of(), a.incarnation(), false);
                }
            }
            default -> open.remove(a.nonce());
        }
    }

    private void inTurn(long now, Question q, Message.Ack a, boolean himself) {
        Peer p = q.target;
        if (a.of().equals(p.id)) {
            open.remove(a.nonce());
            members.alive(now, p, a.incarnation());
            p.onlyByOthers = !himself;
            if (himself) {
                p.answeredAt = now;
                health.count(q.direct ? -1 : 0);
                if (p.id.name().equals(self.id.name())) {
                    members.twin(now, p);
                }
            }
        } else if (himself && q.address.equals(p.address())) {
            open.remove(a.nonce());
            members.gone(now, p, "at " + q.address + " answers " + a.of());
        }
    }

    /** One of those that were asked to look hears this process, and had no answer either. */
    void nack(Message.Nack n) {
        Question q = open.get(n.nonce());
        if (q != null && q.kind == Kind.TURN) {
            q.nacks++;
        }
    }

    /** Asks others, and draws conclusions, where the time is over. */
    void expire(long now) {
        for (Iterator<Map.Entry<Long, Question>> i = open.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Long, Question> e = i.next();
            Question q = e.getValue();
            if (now >= q.othersAt) {
                q.othersAt = Long.MAX_VALUE;
                others(now, e.getKey(), q);
            }
            if (now >= q.endsAt) {
                i.remove();
                if (q.kind == Kind.TURN) {
                    failed(now, q);
                }
            }
        }
    }

    private void others(long now, long nonce, Question q) {
        if (q.kind == Kind.FOR_ANOTHER) {
            sender.nack(now, q.asker.address(), q.asker.id, q.askersNonce);
            return;
        }
        q.direct = false;
        for (Peer helper : roster.draw(settings.indirect(), random, q.target, null)) {
            if (helper.verdict == MemberStatus.ALIVE) {
                // One that is silent itself tells nothing of how well this process hears.
                q.nacksWanted += now - helper.heardAt <= lately() ? 1 : 0;
                sender.pingReq(now, helper, nonce, q.target);
            }
        }
    }

    private long lately() {
        return (roster.size() + SLACK) * settings.intervalNs();
    }

    private void failed(long now, Question q) {
        // If those who were asked to help are not heard either, it is likely this process that hears badly.
        health.count(q.nacksWanted > 0 ? Math.max(0, q.nacksWanted - q.nacks) : 1);
        Peer p = q.target;
        if (p.present() && roster.get(p.id) == p) {
            members.suspect(now, p, p.state.incarnation(), self.id.name());
        }
    }

    /** This process stood still: answers may have come and gone, so no question counts. */
    void abandon() {
        open.values().removeIf(q -> q.kind == Kind.TURN);
    }

    /** When the next time is over; MAX_VALUE if nothing is open. */
    long expiresAt() {
        long next = Long.MAX_VALUE;
        for (Question q : open.values()) {
            next = Math.min(next, Math.min(q.othersAt, q.endsAt));
        }
        return next;
    }
}
