package gullspar.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.zip.CRC32;

/**
 * Membership and failure detection of one process (SWIM with suspicion, anti-entropy and reconnects). Driven from
 * outside: messages by {@link #receive}, time by {@link #tick}, no later than {@link #wakeAt}; outgoing messages and
 * changes go to its {@link Outbox}. Deterministic: the same inputs give the same outputs. Not thread-safe.
 */
public final class Peers {
    /** Limit on datagrams of unknown senders that are answered, per second. */
    private static final double UNKNOWN_SENDERS_PER_SECOND = 32;
    /** Limit on unconfirmed processes probed per interval. */
    private static final int MAX_VERIFICATIONS_PER_INTERVAL = 4;
    /** Limit on probes of one unconfirmed process. */
    private static final int MAX_VERIFICATIONS_PER_PROCESS = 3;
    /** Gossip rounds per interval while there are rumors to spread. */
    private static final int GOSSIP_ROUNDS_PER_INTERVAL = 5;
    /** The view is settled after this many intervals without a change. */
    private static final int SETTLED_AFTER_INTERVALS = 5;
    /** After this many intervals without any datagram this process considers itself isolated. */
    private static final int ISOLATED_AFTER_INTERVALS = 6;

    private static final long MS = 1_000_000L;

    private final Settings settings;
    private final RandomGenerator random;
    private final Outbox out;
    private final Self self;
    private final Roster roster;
    private final SelfHealth health;
    private final Gossip gossip;
    private final MemberStates members;
    private final DatagramSender sender;
    private final Detector detector;
    private final Reconciler reconciler;
    private final ReconnectBackoff reconnects;
    private final Counters counters = new Counters();
    private final TokenBucket unknownSenderLimit;
    private long nextProbeAt;
    private long nextGossipAt;
    private long nextSyncAt;
    private long lastSyncAt;
    private long nextMaintenanceAt;
    private long nextStatsAt;
    /** A member that joined or returned, whose view is compared next; null for a random member. */
    private Peer nextSyncPartner;

    /** When the next tick is due, in ns. */
    private long nextTickAt;
    /** The time of the current input, in ns. */
    private long currentTime;

    private TrafficStats currentStats = TrafficStats.NONE;
    /** When the last datagram of a member arrived, in ns. */
    private long lastReceivedAt;

    private boolean cutOff;
    /** Number of recently present members, this process included. */
    private int known = 1;
    /** Number of these that are alive in this view, this process included. */
    private int seen = 1;

    /**
     * Creates the state machine; its first {@link #tick} is due at once.
     *
     * @param first the first statement of this process, with its name and a unique life
     * @param seeds addresses where other members may be found
     */
    public Peers(Settings settings, Statement first, List<String> seeds, RandomGenerator random, Outbox out, long now) {
        this.settings = settings;
        this.random = random;
        this.out = out;
        this.self = new Self(first, now);
        this.roster = new Roster(settings.maxMembers());
        this.health = new SelfHealth(settings.maxHealthScore());
        this.gossip = new Gossip(this::rumor);
        this.members = new MemberStates(self, settings, roster, gossip, health, out, counters);
        this.sender = new DatagramSender(self, roster, gossip, settings, out, counters, now);
        this.detector = new Detector(settings, self, roster, members, health, sender, random);
        this.reconciler = new Reconciler(self, roster, members, sender, random);
        this.reconnects = new ReconnectBackoff(settings, self, roster, detector, random, seeds);
        this.unknownSenderLimit = new TokenBucket(UNKNOWN_SENDERS_PER_SECOND, now);
        // Random offsets, so that processes started together do not probe at the same moments.
        this.nextProbeAt = now + random.nextLong(settings.intervalNs());
        this.nextGossipAt = now;
        this.nextSyncAt = now + random.nextLong(settings.syncNs());
        this.nextMaintenanceAt = now;
        this.nextStatsAt = now + random.nextLong(settings.statsIntervalNs());
        this.nextTickAt = now;
        this.lastReceivedAt = now;
    }

    private Rumor rumor(Identity id, boolean withStatement) {
        if (id.equals(self.id)) {
            return self.rumor(currentTime, withStatement);
        }
        Peer p = roster.get(id);
        return p == null ? null : p.rumor(currentTime, withStatement);
    }

    // ---- inputs ----

    /** An authenticated datagram arrived. */
    public void receive(long now, Message m) {
        advanceClock(now);
        counters.received++;
        Message.Header h = m.header();
        if (h.from().equals(self.id) || self.left()) {
            return;
        }
        Peer p = roster.get(h.from());
        if (p == null) {
            receiveFromUnknown(now, m);
        } else if (!p.guard.accept(h.sequenceNumber())) {
            counters.duplicates++;
        } else if (p.status != MemberStatus.LEFT) {
            receiveFromMember(now, p, m);
        }
        processPending(now);
    }

    private void receiveFromMember(long now, Peer p, Message m) {
        Message.Header h = m.header();
        lastReceivedAt = now;
        p.lastReceivedAt = now;
        members.markAlive(now, p, h.incarnation());
        m.rumors().forEach(r -> members.applyRumor(now, r, p));
        if (m instanceof Message.Ping q) {
            sender.ack(now, h.address(), h.from(), q.nonce(), self.id, self.incarnation(), q.requestsStatement());
        } else if (m instanceof Message.Ack a) {
            detector.onAck(now, a);
        } else if (m instanceof Message.PingReq r) {
            detector.relayProbe(now, p, r);
        } else if (m instanceof Message.Nack n) {
            detector.onNack(n);
        } else if (m instanceof Message.Digest d) {
            reconciler.onDigest(now, p, d);
        } else if (m instanceof Message.Listing l) {
            reconciler.onListing(now, p, l);
        } else if (m instanceof Message.Want w) {
            reconciler.onWant(now, p, w);
        }
        if (p.status == MemberStatus.GONE && p.reconnectAt > now + settings.intervalNs()) {
            p.reconnectAt = now + settings.intervalNs(); // still sending: probe it soon, so that it can refute GONE
        }
    }

    /**
     * A datagram of a process that is not a member. Its rumors are ignored, since it may be a replay; the sender is
     * probed.
     */
    private void receiveFromUnknown(long now, Message m) {
        counters.unknownSenders++;
        Message.Header h = m.header();
        if (m instanceof Message.Ack a && detector.answersOpenProbe(a)) {
            detector.onAck(now, a);
            Rumor introduction = a.rumors().stream()
                    .filter(r -> r.id().equals(h.from()) && r.statement() != null)
                    .findFirst()
                    .orElse(null);
            if (introduction == null) {
                if (unknownSenderLimit.tryTake(1, now)) {
                    detector.verify(now, h.address(), h.from());
                }
                return;
            }
            Peer p = members.admit(
                    now,
                    h.from(),
                    introduction.statement(),
                    now - introduction.statementAgeMs() * MS,
                    new MemberState(h.incarnation(), MemberStatus.ALIVE),
                    now,
                    "");
            if (p != null) {
                p.guard.accept(h.sequenceNumber());
                p.lastAckAt = now;
                a.rumors().forEach(r -> members.applyRumor(now, r, p));
                if (p.id.name().equals(self.id.name())) {
                    members.reportTwin(now, p);
                }
            }
            return;
        }
        if (!unknownSenderLimit.tryTake(1, now)) {
            return;
        }
        if (m instanceof Message.Ping q) {
            sender.ack(now, h.address(), h.from(), q.nonce(), self.id, self.incarnation(), q.requestsStatement());
        }
        detector.verify(now, h.address(), h.from());
    }

    /** Advances the time and performs what is due. */
    public void tick(long now) {
        advanceClock(now);
        if (self.left()) {
            nextTickAt = Long.MAX_VALUE;
            return;
        }
        detector.expire(now);
        members.expireSuspicions(now);
        if (now >= nextProbeAt) {
            detector.probeNext(now);
            nextProbeAt = now + health.scale(settings.intervalNs());
        }
        if (now >= nextMaintenanceAt) {
            maintain(now);
            nextMaintenanceAt = now + settings.intervalNs();
        }
        processPending(now);
        if (now >= nextSyncAt) {
            startSync(now);
        }
        if (now >= nextGossipAt) {
            sendGossip(now, settings.fanout());
            nextGossipAt = now + settings.intervalNs() / GOSSIP_ROUNDS_PER_INTERVAL;
        }
        nextTickAt = wakeAt();
    }

    /** When {@link #tick} is due next, in ns; MAX_VALUE after {@link #leave}. */
    public long wakeAt() {
        if (self.left()) {
            return Long.MAX_VALUE;
        }
        long next = Math.min(Math.min(nextProbeAt, nextMaintenanceAt), Math.min(nextSyncAt, nextGossipAt));
        return Math.min(next, Math.min(detector.nextTimeoutAt(), members.nextSuspicionExpiry()));
    }

    /** Sets this process's own state and traffic statistics; gossips the state if it changed. */
    public void updateSelf(long now, Phase phase, String config, TrafficStats stats, Facts facts) {
        advanceClock(now);
        Statement s = self.statement();
        boolean stateChanged = phase != s.phase() || !config.equals(s.config()) || !facts.equals(s.facts());
        currentStats = stats;
        if (stateChanged) {
            self.update(now, config, phase, s.twinLife(), digest(), stats, facts);
            gossip.enqueue(self.id, true);
            nextTickAt = Math.min(nextTickAt, nextGossipAt);
        }
    }

    /** Replaces the seeds, the addresses where other members may be found. */
    public void setSeeds(long now, List<String> addresses) {
        advanceClock(now);
        reconnects.setSeeds(addresses);
    }

    /** Announces that this process leaves; sends nothing afterwards. */
    public void leave(long now) {
        advanceClock(now);
        self.leave(now);
        gossip.enqueue(self.id, true);
        sendGossip(now, settings.fanout() * 3);
        nextTickAt = Long.MAX_VALUE;
    }

    // ---- periodic work ----

    /** Detects pauses longer than the probe timeout: answers may have been missed, so open probes are abandoned. */
    private void advanceClock(long now) {
        currentTime = now;
        long late = now - nextTickAt;
        if (settings.maxHealthScore() > 0 && late > settings.timeoutNs()) {
            counters.stalls++;
            detector.abandonProbes();
            members.extendSuspicions(late);
            lastReceivedAt += late;
            roster.present().forEach(p -> p.lastReceivedAt += late);
            health.adjust((int) Math.min(settings.maxHealthScore(), 1 + late / settings.intervalNs()));
            nextSyncAt = now;
            out.onChange(new Change(Change.Kind.STOOD_STILL, self.id, late / MS + " ms", roster.size()));
        }
        nextTickAt = Math.max(nextTickAt, now);
    }

    private void processPending(long now) {
        for (Peer p : members.takeToProbe()) {
            if (roster.get(p.id) == p && p.present()) {
                detector.probe(now, p);
            }
        }
        for (Peer p : members.takeReturned()) {
            detector.addToRound(p);
            nextSyncPartner = p;
            nextSyncAt = Math.min(nextSyncAt, Math.max(now, lastSyncAt + settings.intervalNs() / 2));
        }
    }

    private void sendGossip(long now, int fanout) {
        if (gossip.isEmpty() || roster.present().isEmpty()) {
            return;
        }
        for (Peer p : roster.sample(fanout, random, null, self.id)) {
            if (!gossip.isEmpty() && sender.canSend(1, now)) {
                sender.sendPendingRumors(now, p);
            }
        }
    }

    private void startSync(long now) {
        Peer partner = nextSyncPartner != null && nextSyncPartner.present()
                ? nextSyncPartner
                : roster.sample(1, random, null, self.id).stream().findFirst().orElse(null);
        nextSyncPartner = null;
        if (partner != null) {
            reconciler.compare(now, partner);
        }
        lastSyncAt = now;
        nextSyncAt = now + health.scale((long) (settings.syncNs() * (0.75 + random.nextDouble() / 2)));
    }

    /** Maintenance, once per interval. */
    private void maintain(long now) {
        updateVisibility(now);
        reconnects.reconnect(now, cutOff);
        verifyUnconfirmed(now);
        members.forget(now);
        members.checkSettled(now, SETTLED_AFTER_INTERVALS * settings.intervalNs());
        Statement s = self.statement();
        if (now >= nextStatsAt) {
            self.update(now, s.config(), s.phase(), presentTwinLife(s.twinLife()), digest(), currentStats, s.facts());
            gossip.enqueueStats(self.id);
            nextStatsAt = now + (long) (settings.statsIntervalNs(roster.size()) * (0.75 + random.nextDouble() / 2));
        }
    }

    /** Returns the life of the twin if it is still present, else 0. */
    private long presentTwinLife(long life) {
        return life != 0 && roster.present().stream().anyMatch(p -> p.id.life() == life) ? life : 0;
    }

    private void updateVisibility(long now) {
        int recentlyPresent = 1;
        int alive = 1;
        for (Peer p : roster.all()) {
            if (p.present()) {
                p.lastPresentAt = now;
            }
            if (p.status != MemberStatus.LEFT
                    && p.lastPresentAt != Long.MIN_VALUE
                    && now - p.lastPresentAt <= settings.isolationWindowNs()) {
                recentlyPresent++;
                alive += p.status == MemberStatus.ALIVE ? 1 : 0;
            }
        }
        known = recentlyPresent;
        // Isolated: no member counts as seen, before the suspicion of each has timed out.
        seen = now - lastReceivedAt > ISOLATED_AFTER_INTERVALS * settings.intervalNs() ? 1 : alive;
        boolean minority = 2 * seen < known;
        if (minority != cutOff) {
            cutOff = minority;
            out.onChange(new Change(
                    minority ? Change.Kind.CUT_OFF : Change.Kind.REJOINED,
                    self.id,
                    "sees " + seen + " of " + known,
                    roster.size()));
        }
    }

    private void verifyUnconfirmed(long now) {
        int probed = 0;
        for (Roster.Unconfirmed unconfirmed : List.copyOf(roster.unconfirmed())) {
            if (unconfirmed.rumor.state().accuses() || unconfirmed.rumor.status() == MemberStatus.LEFT) {
                if (now - unconfirmed.receivedAt > settings.syncNs() * 3) {
                    roster.removeUnconfirmed(unconfirmed); // no second member confirmed it
                }
            } else if (unconfirmed.probes >= MAX_VERIFICATIONS_PER_PROCESS) {
                roster.removeUnconfirmed(unconfirmed);
            } else if (now >= unconfirmed.nextProbeAt && probed < MAX_VERIFICATIONS_PER_INTERVAL) {
                probed++;
                unconfirmed.probes++;
                unconfirmed.nextProbeAt = now + 2 * settings.intervalNs();
                detector.verify(now, unconfirmed.rumor.statement().address(), unconfirmed.rumor.id());
            }
        }
    }

    /** Returns a checksum of the lives that are alive in this view, its own included. */
    private int digest() {
        CRC32 sum = new CRC32();
        boolean ownAdded = false;
        for (Peer p : roster.all()) {
            if (!ownAdded && p.id.compareTo(self.id) > 0) {
                ownAdded = true;
                add(sum, self.id.life());
            }
            if (p.status == MemberStatus.ALIVE) {
                add(sum, p.id.life());
            }
        }
        if (!ownAdded) {
            add(sum, self.id.life());
        }
        return (int) sum.getValue();
    }

    private static void add(CRC32 sum, long life) {
        for (int shift = 56; shift >= 0; shift -= 8) {
            sum.update((int) (life >>> shift) & 0xff);
        }
    }

    // ---- the view ----

    /** Number of members present (alive or suspected), this process included. */
    public int size() {
        return roster.size();
    }

    /** Number of members that are alive and not suspected, this process included. */
    public int alive() {
        int alive = 1;
        for (Peer p : roster.present()) {
            alive += p.status == MemberStatus.ALIVE ? 1 : 0;
        }
        return alive;
    }

    /** Whether fewer than half of the recently present members are alive in this view. */
    public boolean cutOff() {
        return cutOff;
    }

    public Counters counters() {
        return counters;
    }

    /** Returns the whole view, with ages as of that time. */
    public View view(long now) {
        int digest = digest();
        List<View.Member> members = new ArrayList<>();
        for (Peer p : roster.all()) {
            View.Status status =
                    switch (p.status) {
                        case ALIVE -> View.Status.ALIVE;
                        case SUSPECTED -> View.Status.SUSPECTED;
                        case GONE -> cutOff ? View.Status.UNKNOWN : View.Status.GONE;
                        default -> View.Status.LEFT;
                    };
            members.add(new View.Member(
                    p.id,
                    p.statement,
                    status,
                    ms(now - p.statusSince),
                    p.reason,
                    ms(now - p.statedAt),
                    ms(now - p.startedAt()),
                    p.state.incarnation(),
                    p.statement.twinLife() != 0,
                    p.indirectOnly,
                    p.lastAckAt == Long.MIN_VALUE ? -1 : ms(now - p.lastAckAt),
                    !p.present() || p.statement.viewDigest() == digest));
        }
        members.sort(Comparator.comparing((View.Member m) -> m.id().name()).thenComparing(View.Member::upMs));
        Statement s = self.statement();
        View.Member own = new View.Member(
                self.id,
                s,
                self.left() ? View.Status.LEFT : View.Status.ALIVE,
                ms(now - self.startedAt()),
                "",
                ms(now - self.statedAt()),
                ms(now - self.startedAt()),
                self.incarnation(),
                s.twinLife() != 0,
                false,
                0,
                true);
        return new View(own, cutOff, known, seen, this.members.settled(), health.score(), List.copyOf(members));
    }

    private static long ms(long ns) {
        return Math.max(0, ns) / MS;
    }
}
