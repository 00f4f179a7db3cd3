package gullspar.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.zip.CRC32;

/**
 * Membership and failure detection of one process (SWIM with suspicion, anti-entropy and reconnects). Driven from
 * outside: messages by {@link #receive}, time by {@link #tick}, at the latest at {@link #wakeAt}; outgoing messages and
 * changes go to its {@link Outbox}. Deterministic: the same inputs bring the same outputs. Not thread-safe.
 */
public final class Peers {
    /** Datagrams of unknown senders that are answered, a second. */
    private static final double STRANGERS = 32;
    /** Unconfirmed processes that are probed in an interval, and how often each. */
    private static final int PROOFS = 4, TRIES = 3;
    /** Gossip rounds in an interval, while there are rumors to spread. */
    private static final int NEWS = 5;
    /** The view is stable if nothing changes for so many intervals. */
    private static final int QUIET = 5;
    /** After so many intervals without any datagram this process takes itself for isolated. */
    private static final int SILENCE = 6;

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
    private final Allowance unknownSenders;
    private long nextProbe;
    private long nextNews;
    private long nextSync;
    private long lastSync;
    private long nextKeeping;
    private long nextFigures;
    private Peer syncWith;
    /** When the next tick is due, in ns. */
    private long due;
    /** The time of the current input, in ns. */
    private long clock;

    private Figures latest = Figures.NONE;
    /** When the last datagram of a member arrived, in ns. */
    private long heardAt;

    private boolean cutOff;
    private int known = 1;
    private int seen = 1;

    /**
     * Begins at that time. first: what this process says of itself, with its name and a life that no other
     * has; seeds: addresses where others may be found.
     */
    public Peers(Settings settings, Statement first, List<String> seeds, RandomGenerator random, Outbox out, long now) {
        this.settings = settings;
        this.random = random;
        this.out = out;
        this.self = new Self(first, now);
        this.roster = new Roster(settings.members());
        this.health = new SelfHealth(settings.healthMost());
        this.gossip = new Gossip(this::rumor);
        this.members = new MemberStates(self, settings, roster, gossip, health, out, counters);
        this.sender = new DatagramSender(self, roster, gossip, settings, out, counters, now);
        this.detector = new Detector(settings, self, roster, members, health, sender, random);
        this.reconciler = new Reconciler(self, roster, members, sender, random);
        this.reconnects = new ReconnectBackoff(settings, self, roster, detector, random, seeds);
        this.unknownSenders = new Allowance(STRANGERS, now);
        // Processes that start together must not ask together.
        this.nextProbe = now + random.nextLong(settings.intervalNs());
        this.nextNews = now;
        this.nextSync = now + random.nextLong(settings.syncNs());
        this.nextKeeping = now;
        this.nextFigures = now + random.nextLong(settings.figuresNs());
        this.due = now;
        this.heardAt = now;
    }

    private Rumor rumor(Identity id, boolean withStatement) {
        if (id.equals(self.id)) {
            return self.rumor(clock, withStatement);
        }
        Peer p = roster.get(id);
        return p == null ? null : p.rumor(clock, withStatement);
    }

    // ---- inputs ----

    /** An authenticated datagram arrived. */
    public void receive(long now, Message m) {
        wake(now);
        counters.received++;
        Message.Header h = m.header();
        if (h.from().equals(self.id) || self.left()) {
            return;
        }
        Peer p = roster.get(h.from());
        if (p == null) {
            fromUnknown(now, m);
        } else if (!p.guard.fresh(h.number())) {
            counters.repeated++;
        } else if (p.verdict != MemberStatus.LEFT) {
            from(now, p, m);
        }
        followUp(now);
    }

    private void from(long now, Peer p, Message m) {
        Message.Header h = m.header();
        heardAt = now;
        p.heardAt = now;
        members.alive(now, p, h.incarnation());
        m.rumors().forEach(r -> members.learn(now, r, p));
        if (m instanceof Message.Ping q) {
            sender.ack(now, h.address(), h.from(), q.nonce(), self.id, self.incarnation(), q.hello());
        } else if (m instanceof Message.Ack a) {
            detector.answered(now, a);
        } else if (m instanceof Message.PingReq r) {
            detector.lookFor(now, p, r);
        } else if (m instanceof Message.Nack n) {
            detector.nack(n);
        } else if (m instanceof Message.Digest d) {
            reconciler.digest(now, p, d);
        } else if (m instanceof Message.Listing l) {
            reconciler.listing(now, p, l);
        } else if (m instanceof Message.Want w) {
            reconciler.want(now, p, w);
        }
        if (p.verdict == MemberStatus.GONE && p.reconnectAt > now + settings.intervalNs()) {
            p.reconnectAt = now + settings.intervalNs(); // it speaks: it is to hear soon that it is held for gone
        }
    }

    /**
     * A datagram of a process that is not a member. Its rumors are ignored, since it may be a replay; the sender is
     * probed.
     */
    private void fromUnknown(long now, Message m) {
        counters.unknownSenders++;
        Message.Header h = m.header();
        if (m instanceof Message.Ack a && detector.proves(a)) {
            detector.answered(now, a);
            Rumor said = a.rumors().stream()
                    .filter(r -> r.id().equals(h.from()) && r.statement() != null)
                    .findFirst()
                    .orElse(null);
            if (said == null) {
                if (unknownSenders.take(1, now)) {
                    detector.prove(now, h.address(), h.from());
                }
                return;
            }
            Peer p = members.admit(
                    now,
                    h.from(),
                    said.statement(),
                    now - said.statedMs() * MS,
                    new MemberState(h.incarnation(), MemberStatus.ALIVE),
                    now,
                    "");
            if (p != null) {
                p.guard.fresh(h.number());
                p.answeredAt = now;
                a.rumors().forEach(r -> members.learn(now, r, p));
                if (p.id.name().equals(self.id.name())) {
                    members.twin(now, p);
                }
            }
            return;
        }
        if (!unknownSenders.take(1, now)) {
            return;
        }
        if (m instanceof Message.Ping q) {
            sender.ack(now, h.address(), h.from(), q.nonce(), self.id, self.incarnation(), q.hello());
        }
        detector.prove(now, h.address(), h.from());
    }

    /** Advances the time; does what is due. */
    public void tick(long now) {
        wake(now);
        if (self.left()) {
            due = Long.MAX_VALUE;
            return;
        }
        detector.expire(now);
        members.expireSuspicions(now);
        if (now >= nextProbe) {
            detector.next(now);
            nextProbe = now + health.stretched(settings.intervalNs());
        }
        if (now >= nextKeeping) {
            keep(now);
            nextKeeping = now + settings.intervalNs();
        }
        followUp(now);
        if (now >= nextSync) {
            sync(now);
        }
        if (now >= nextNews) {
            news(now, settings.fanout());
            nextNews = now + settings.intervalNs() / NEWS;
        }
        due = wakeAt();
    }

    /** When {@link #tick} is due next, in ns; MAX_VALUE after {@link #leave}. */
    public long wakeAt() {
        if (self.left()) {
            return Long.MAX_VALUE;
        }
        long next = Math.min(Math.min(nextProbe, nextKeeping), Math.min(nextSync, nextNews));
        return Math.min(next, Math.min(detector.expiresAt(), members.nextSuspicionEnd()));
    }

    /** Sets this process's own state and figures; gossips the state if it changed. */
    public void say(long now, Phase phase, String config, Figures figures, Facts facts) {
        wake(now);
        Statement s = self.statement();
        boolean news = phase != s.phase() || !config.equals(s.config()) || !facts.equals(s.facts());
        latest = figures;
        if (news) {
            self.say(now, config, phase, s.twin(), digest(), figures, facts);
            gossip.tell(self.id, true);
            due = Math.min(due, nextNews);
        }
    }

    /** Replaces the seeds, the addresses where other members may be found. */
    public void seeds(long now, List<String> addresses) {
        wake(now);
        reconnects.seeds(addresses);
    }

    /** Announces that this process leaves; nothing is sent after that. */
    public void leave(long now) {
        wake(now);
        self.leave(now);
        gossip.tell(self.id, true);
        news(now, settings.fanout() * 3);
        due = Long.MAX_VALUE;
    }

    // ---- what it does of itself ----

    /** After a pause longer than the probe timeout open probes tell nothing: they are abandoned. */
    private void wake(long now) {
        clock = now;
        long late = now - due;
        if (settings.healthMost() > 0 && late > settings.timeoutNs()) {
            counters.stalls++;
            detector.abandon();
            members.pausedFor(late);
            heardAt += late;
            roster.present().forEach(p -> p.heardAt += late);
            health.count((int) Math.min(settings.healthMost(), 1 + late / settings.intervalNs()));
            nextSync = now;
            out.changed(new Change(Change.Kind.STOOD_STILL, self.id, late / MS + " ms", roster.size()));
        }
        due = Math.max(due, now);
    }

    private void followUp(long now) {
        for (Peer p : members.takeToProbe()) {
            if (roster.get(p.id) == p && p.present()) {
                detector.ask(now, p);
            }
        }
        for (Peer p : members.takeReturned()) {
            detector.joins(p);
            syncWith = p;
            nextSync = Math.min(nextSync, Math.max(now, lastSync + settings.intervalNs() / 2));
        }
    }

    private void news(long now, int fanout) {
        if (gossip.isEmpty() || roster.present().isEmpty()) {
            return;
        }
        for (Peer p : roster.draw(fanout, random, null, self.id)) {
            if (!gossip.isEmpty() && sender.affords(1, now)) {
                sender.news(now, p);
            }
        }
    }

    private void sync(long now) {
        Peer with = syncWith != null && syncWith.present()
                ? syncWith
                : roster.draw(1, random, null, self.id).stream().findFirst().orElse(null);
        syncWith = null;
        if (with != null) {
            reconciler.compare(now, with);
        }
        lastSync = now;
        nextSync = now + health.stretched((long) (settings.syncNs() * (0.75 + random.nextDouble() / 2)));
    }

    /** Housekeeping, once an interval. */
    private void keep(long now) {
        lookAround(now);
        reconnects.reconnect(now, cutOff);
        unconfirmed(now);
        members.forget(now);
        members.settle(now, QUIET * settings.intervalNs());
        Statement s = self.statement();
        if (now >= nextFigures) {
            self.say(now, s.config(), s.phase(), twin(s.twin()), digest(), latest, s.facts());
            gossip.tellFigures(self.id);
            nextFigures = now + (long) (settings.figuresNs(roster.size()) * (0.75 + random.nextDouble() / 2));
        }
    }

    /** The life of the twin if that is still present, else 0. */
    private long twin(long life) {
        return life != 0 && roster.present().stream().anyMatch(p -> p.id.life() == life) ? life : 0;
    }

    private void lookAround(long now) {
        int lately = 1;
        int now1 = 1;
        for (Peer p : roster.all()) {
            if (p.present()) {
                p.presentAt = now;
            }
            if (p.verdict != MemberStatus.LEFT
                    && p.presentAt != Long.MIN_VALUE
                    && now - p.presentAt <= settings.windowNs()) {
                lately++;
                now1 += p.verdict == MemberStatus.ALIVE ? 1 : 0;
            }
        }
        known = lately;
        // Isolated: no member counts as seen, though each suspicion still takes its time.
        seen = now - heardAt > SILENCE * settings.intervalNs() ? 1 : now1;
        boolean off = 2 * seen < known;
        if (off != cutOff) {
            cutOff = off;
            out.changed(new Change(
                    off ? Change.Kind.CUT_OFF : Change.Kind.REJOINED,
                    self.id,
                    "sees " + seen + " of " + known,
                    roster.size()));
        }
    }

    private void unconfirmed(long now) {
        int asked = 0;
        for (Roster.Unconfirmed h : List.copyOf(roster.unconfirmed())) {
            if (h.rumor.state().accuses() || h.rumor.status() == MemberStatus.LEFT) {
                if (now - h.at > settings.syncNs() * 3) {
                    roster.forget(h); // nobody else knows of it
                }
            } else if (h.asked >= TRIES) {
                roster.forget(h);
            } else if (now >= h.askAt && asked < PROOFS) {
                asked++;
                h.asked++;
                h.askAt = now + 2 * settings.intervalNs();
                detector.prove(now, h.rumor.statement().address(), h.rumor.id());
            }
        }
    }

    /** Checksum of the lives that are alive in this view, itself included. */
    private int digest() {
        CRC32 sum = new CRC32();
        boolean own = false;
        for (Peer p : roster.all()) {
            if (!own && p.id.compareTo(self.id) > 0) {
                own = true;
                add(sum, self.id.life());
            }
            if (p.verdict == MemberStatus.ALIVE) {
                add(sum, p.id.life());
            }
        }
        if (!own) {
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

    /** How many are present, this process included. */
    public int size() {
        return roster.size();
    }

    /** How many are alive, and not suspected, this process included. */
    public int alive() {
        int alive = 1;
        for (Peer p : roster.present()) {
            alive += p.verdict == MemberStatus.ALIVE ? 1 : 0;
        }
        return alive;
    }

    /** Does it see fewer than half of those that it saw lately? */
    public boolean cutOff() {
        return cutOff;
    }

    public Counters counters() {
        return counters;
    }

    /** The whole view, with its ages as of that time. */
    public View view(long now) {
        int digest = digest();
        List<View.Member> members = new ArrayList<>();
        for (Peer p : roster.all()) {
            View.Status status =
                    switch (p.verdict) {
                        case ALIVE -> View.Status.ALIVE;
                        case SUSPECTED -> View.Status.SUSPECTED;
                        case GONE -> cutOff ? View.Status.UNKNOWN : View.Status.GONE;
                        default -> View.Status.LEFT;
                    };
            members.add(new View.Member(
                    p.id,
                    p.statement,
                    status,
                    ms(now - p.since),
                    p.why,
                    ms(now - p.statedAt),
                    ms(now - p.startedAt()),
                    p.state.incarnation(),
                    p.statement.twin() != 0,
                    p.onlyByOthers,
                    p.answeredAt == Long.MIN_VALUE ? -1 : ms(now - p.answeredAt),
                    !p.present() || p.statement.view() == digest));
        }
        members.sort(Comparator.comparing((View.Member m) -> m.id().name()).thenComparing(View.Member::upMs));
        Statement s = self.statement();
        View.Member me = new View.Member(
                self.id,
                s,
                self.left() ? View.Status.LEFT : View.Status.ALIVE,
                ms(now - self.startedAt()),
                "",
                ms(now - self.statedAt()),
                ms(now - self.startedAt()),
                self.incarnation(),
                s.twin() != 0,
                false,
                0,
                true);
        return new View(me, cutOff, known, seen, this.members.settled(), health.score(), List.copyOf(members));
    }

    private static long ms(long ns) {
        return Math.max(0, ns) / MS;
    }
}
