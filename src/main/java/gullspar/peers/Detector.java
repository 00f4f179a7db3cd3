package gullspar.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * SWIM failure detector: probes the members one after the other, in an order shuffled for each round. A member that
 * does not answer is probed indirectly through others, and suspected if that fails too. Only the answer to a probe
 * counts as a sign of life: a member that still sends may not receive.
 */
final class Detector {
    /** Limit on probes that are open at one time. */
    private static final int MAX_OPEN_PROBES = 512;
    /** Time that an unknown process has to answer a verification, in intervals. */
    private static final int VERIFICATION_INTERVALS = 8;
    /** Fraction of the time-out after which a relaying member sends a nack. */
    private static final double NACK_TIMEOUT_FRACTION = 0.8;

    /** The purpose of a probe. */
    private enum Kind {
        /** Of a member: without an answer the member is suspected. */
        TURN,
        /** Of an unconfirmed life or of an address: a missing answer has no consequence. */
        PROOF,
        /** On behalf of another member. */
        FOR_ANOTHER
    }

    private static final class Probe {
        private final Kind kind;
        private final Peer target;
        private final String address;
        private final long expiresAt;
        /**
         * When other members are asked to probe, or, for a relayed probe, when a nack is sent; MAX_VALUE once done or
         * if never.
         */
        private long indirectProbesAt;

        /** When a verification was sent, in ns; not set for other probes. */
        private long sentAt;

        private int expectedNacks;
        private int nacks;
        /** For a relayed probe: the member that asked for it, and the nonce of its request. */
        private Peer requester;

        private long requesterNonce;
        private boolean direct = true;

        Probe(Kind kind, Peer target, String address, long indirectAt, long expiresAt) {
            this.kind = kind;
            this.target = target;
            this.address = address;
            this.indirectProbesAt = indirectAt;
            this.expiresAt = expiresAt;
        }
    }

    /** A member is silent if nothing arrives from it for a whole probe round and this many intervals more. */
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

    /** Probes the next member of the round. */
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

    /** Inserts a new member at a random place in the rest of this round. */
    void addToRound(Peer p) {
        round.add(roundIndex + random.nextInt(round.size() - roundIndex + 1), p);
    }

    /** Probes one member, in its turn or out of turn; without an answer it is suspected. */
    void probe(long now, Peer p) {
        Probe probe = new Probe(
                Kind.TURN,
                p,
                p.address(),
                now + health.scale(settings.timeoutNs()),
                now + health.scale(settings.intervalNs()));
        long nonce = open(probe);
        if (nonce != 0) {
            sender.ping(now, p.address(), p.id, nonce, false);
        }
    }

    /**
     * Probes the process at an address to verify that it is alive; target is null where its identity is not
     * known.
     */
    void verify(long now, String address, Identity target) {
        if (open.values().stream()
                .anyMatch(probe -> probe.kind == Kind.PROOF
                        && probe.address.equals(address)
                        && now - probe.sentAt < settings.intervalNs())) {
            return;
        }
        // A missing answer has no consequence, so the time-out is long enough for distant and slow processes.
        long nonce = open(new Probe(
                Kind.PROOF, null, address, Long.MAX_VALUE, now + VERIFICATION_INTERVALS * settings.intervalNs()));
        if (nonce != 0) {
            open.get(nonce).sentAt = now;
        }
        if (nonce != 0) {
            sender.ping(now, address, target, nonce, true);
        }
    }

    /** Registers a probe; returns its nonce, or 0 if too many probes are open. */
    private long open(Probe probe) {
        if (open.size() >= MAX_OPEN_PROBES) {
            return 0;
        }
        long nonce = random.nextLong();
        while (nonce == 0 || open.containsKey(nonce)) {
            nonce = random.nextLong();
        }
        open.put(nonce, probe);
        return nonce;
    }

    /** Probes a member on behalf of another. */
    void relayProbe(long now, Peer requester, Message.PingReq r) {
        Probe probe = new Probe(
                Kind.FOR_ANOTHER,
                null,
                r.address(),
                now + (long) (NACK_TIMEOUT_FRACTION * settings.timeoutNs()),
                now + settings.intervalNs());
        probe.requester = requester;
        probe.requesterNonce = r.nonce();
        long nonce = open(probe);
        if (nonce != 0) {
            sender.ping(now, r.address(), r.target(), nonce, false);
        }
    }

    /** Whether the ack of a life that is not a member yet answers an open probe, which proves that it is alive. */
    boolean answersOpenProbe(Message.Ack a) {
        Probe probe = open.get(a.nonce());
        return probe != null && a.subject().equals(a.header().from());
    }

    /** Handles an ack. */
    void onAck(long now, Message.Ack a) {
        Probe probe = open.get(a.nonce());
        if (probe == null) {
            return; // too late, or no probe of this process
        }
        boolean fromSubject = a.subject().equals(a.header().from());
        switch (probe.kind) {
            case TURN -> onRegularAck(now, probe, a, fromSubject);
            case FOR_ANOTHER -> {
                open.remove(a.nonce());
                if (fromSubject) {
                    sender.ack(
                            now,
                            probe.requester.address(),
                            probe.requester.id,
                            probe.requesterNonce,
                            a.subject(),
                            a.incarnation(),
                            false);
                }
            }
            default -> open.remove(a.nonce());
        }
    }

    private void onRegularAck(long now, Probe probe, Message.Ack a, boolean fromSubject) {
        Peer p = probe.target;
        if (a.subject().equals(p.id)) {
            open.remove(a.nonce());
            members.markAlive(now, p, a.incarnation());
            p.indirectOnly = !fromSubject;
            if (fromSubject) {
                p.lastAckAt = now;
                health.adjust(probe.direct ? -1 : 0);
                if (p.id.name().equals(self.id.name())) {
                    members.reportTwin(now, p);
                }
            }
        } else if (fromSubject && probe.address.equals(p.address())) {
            open.remove(a.nonce());
            members.markGone(now, p, "at " + probe.address + " answers " + a.subject());
        }
    }

    /** Handles a nack: a member asked to probe received the request, and got no answer from the target either. */
    void onNack(Message.Nack n) {
        Probe probe = open.get(n.nonce());
        if (probe != null && probe.kind == Kind.TURN) {
            probe.nacks++;
        }
    }

    /** Starts indirect probes and expires probes whose time-out has passed. */
    void expire(long now) {
        for (Iterator<Map.Entry<Long, Probe>> i = open.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Long, Probe> entry = i.next();
            Probe probe = entry.getValue();
            if (now >= probe.indirectProbesAt) {
                probe.indirectProbesAt = Long.MAX_VALUE;
                onDirectTimeout(now, entry.getKey(), probe);
            }
            if (now >= probe.expiresAt) {
                i.remove();
                if (probe.kind == Kind.TURN) {
                    onProbeFailed(now, probe);
                }
            }
        }
    }

    private void onDirectTimeout(long now, long nonce, Probe probe) {
        if (probe.kind == Kind.FOR_ANOTHER) {
            sender.nack(now, probe.requester.address(), probe.requester.id, probe.requesterNonce);
            return;
        }
        probe.direct = false;
        for (Peer helper : roster.sample(settings.indirectProbes(), random, probe.target, null)) {
            if (helper.status == MemberStatus.ALIVE) {
                // A missing nack of a helper that is silent itself is no evidence about the health of this process.
                probe.expectedNacks += now - helper.lastReceivedAt <= recentNs() ? 1 : 0;
                sender.pingReq(now, helper, nonce, probe.target);
            }
        }
    }

    private long recentNs() {
        return (roster.size() + RECENT_SLACK_INTERVALS) * settings.intervalNs();
    }

    private void onProbeFailed(long now, Probe probe) {
        // If nacks of the helpers are missing too, it is likely this process that loses datagrams.
        health.adjust(probe.expectedNacks > 0 ? Math.max(0, probe.expectedNacks - probe.nacks) : 1);
        Peer p = probe.target;
        if (p.present() && roster.get(p.id) == p) {
            members.suspect(now, p, p.state.incarnation(), self.id.name());
        }
    }

    /** Drops regular probes after a pause of this process, as their answers may have been lost. */
    void abandonProbes() {
        open.values().removeIf(probe -> probe.kind == Kind.TURN);
    }

    /** The time of the next time-out, in ns; MAX_VALUE if no probe is open. */
    long nextTimeoutAt() {
        long next = Long.MAX_VALUE;
        for (Probe probe : open.values()) {
            next = Math.min(next, Math.min(probe.indirectProbesAt, probe.expiresAt));
        }
        return next;
    }
}
