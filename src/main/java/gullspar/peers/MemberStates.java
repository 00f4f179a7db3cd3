package gullspar.peers;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The state machine of each member. Rumors are merged into {@link MemberState}, the same at all members; the status
 * in the view of this process follows, at once or when a suspicion times out.
 */
final class MemberStates {
    /** Time that a member that is alive here and reported as gone has to refute that, in probe timeouts. */
    private static final int REFUTE_TIMEOUTS = 3;

    private static final long MS = 1_000_000L;

    private final Self self;
    private final Settings settings;
    private final Roster roster;
    private final Gossip gossip;
    private final SelfHealth health;
    private final Outbox out;
    private final Counters counters;
    private final Set<Peer> suspected = new LinkedHashSet<>();
    /** Members to be probed out of turn. */
    private final List<Peer> toProbe = new ArrayList<>();

    private final List<Peer> returned = new ArrayList<>();
    private long changedAt;
    private boolean settled = true;

    MemberStates(
            Self self,
            Settings settings,
            Roster roster,
            Gossip gossip,
            SelfHealth health,
            Outbox out,
            Counters counters) {
        this.self = self;
        this.settings = settings;
        this.roster = roster;
        this.gossip = gossip;
        this.health = health;
        this.out = out;
        this.counters = counters;
    }

    private void recordChange(long now, Change.Kind kind, Identity subject, String reason) {
        changedAt = now;
        settled = false;
        out.onChange(new Change(kind, subject, reason, roster.size()));
    }

    /** Reports once when nothing has changed for that long and no member is suspected. */
    void checkSettled(long now, long quietNs) {
        if (!settled && suspected.isEmpty() && now - changedAt >= quietNs) {
            settled = true;
            out.onChange(new Change(Change.Kind.SETTLED, self.id, "", roster.size()));
        }
    }

    boolean settled() {
        return settled;
    }

    /** Returns and clears the members to be probed out of turn. */
    List<Peer> takeToProbe() {
        List<Peer> taken = List.copyOf(toProbe);
        toProbe.clear();
        return taken;
    }

    /** Returns and clears the members that joined or returned: their views may differ much from this one. */
    List<Peer> takeReturned() {
        List<Peer> taken = List.copyOf(returned);
        returned.clear();
        return taken;
    }

    // ---- rumors ----

    /** Applies a rumor from a member that is known to be alive. */
    void applyRumor(long now, Rumor r, Peer from) {
        if (r.id().equals(self.id)) {
            onRumorOfSelf(now, r);
            return;
        }
        Peer p = roster.get(r.id());
        if (p == null) {
            onUnconfirmedRumor(now, r, from);
            return;
        }
        if (r.statement() != null && r.statement().revision() > p.statement.revision()) {
            updateStatement(now, p, r.statement(), now - r.statementAgeMs() * MS);
        }
        switch (r.status()) {
            case ALIVE -> markAlive(now, p, r.incarnation());
            case SUSPECTED -> suspect(now, p, r.incarnation(), r.accuser().isEmpty() ? from.id.name() : r.accuser());
            case GONE -> onReportedGone(now, p, r.incarnation(), r.accuser());
            default -> markLeft(now, p, r.incarnation());
        }
    }

    private void updateStatement(long now, Peer p, Statement s, long statedAt) {
        Statement old = p.statement;
        p.statement = s;
        p.statedAt = Math.min(now, statedAt);
        if (onlyStatsDiffer(old, s)) {
            gossip.enqueueStats(p.id);
        } else {
            gossip.enqueue(p.id, true);
        }
        if (s.twinLife() != old.twinLife() && s.twinLife() != 0) {
            recordChange(now, Change.Kind.TWIN, p.id, "it states that another process runs under its name");
        }
        if (s.twinLife() == self.id.life() && p.id.name().equals(self.id.name())) {
            reportTwin(now, p);
        }
    }

    private static boolean onlyStatsDiffer(Statement a, Statement b) {
        return a.phase() == b.phase()
                && a.twinLife() == b.twinLife()
                && a.address().equals(b.address())
                && a.config().equals(b.config())
                && a.facts().equals(b.facts());
    }

    /**
     * Another life under this name is confirmed to be alive: both sides report it, and neither stops.
     */
    void reportTwin(long now, Peer p) {
        if (self.statement().twinLife() != p.id.life()) {
            Statement s = self.statement();
            self.update(now, s.config(), s.phase(), p.id.life(), s.viewDigest(), s.stats(), s.facts());
            gossip.enqueue(self.id, true);
            recordChange(now, Change.Kind.TWIN, p.id, "another process runs under this name, at " + p.address());
        }
    }

    private void onRumorOfSelf(long now, Rumor r) {
        boolean accused = r.state().accuses() && r.incarnation() >= self.incarnation();
        // An incarnation above its own, which it never had, is an error of another member, and is overridden
        // as well.
        if (!self.left() && (accused || r.incarnation() > self.incarnation())) {
            self.refute(r.incarnation());
            counters.refutations++;
            health.adjust(1);
            gossip.enqueue(self.id, false);
            out.onChange(new Change(Change.Kind.OBJECTED, self.id, r.accuser(), roster.size()));
        }
    }

    private void onUnconfirmedRumor(long now, Rumor r, Peer from) {
        if (r.statement() == null || isExpired(now, r)) {
            return; // no address to probe, or gone for so long that it would be removed at once
        }
        Roster.Unconfirmed known = roster.unconfirmed(r.id());
        if (known == null) {
            roster.addUnconfirmed(new Roster.Unconfirmed(r, from.id.life(), now));
        } else if (known.reporterLife != from.id.life()) { // confirmed by a second member
            roster.removeUnconfirmed(known);
            admit(
                    now,
                    r.id(),
                    newer(known.rumor, r).statement(),
                    now - r.statementAgeMs() * MS,
                    r.state().merge(known.rumor.state()),
                    now - r.statusAgeMs() * MS,
                    r.accuser());
        }
    }

    private static Rumor newer(Rumor a, Rumor b) {
        return a.statement().revision() > b.statement().revision() ? a : b;
    }

    private boolean isExpired(long now, Rumor r) {
        return (r.status() == MemberStatus.GONE || r.status() == MemberStatus.LEFT)
                && r.statusAgeMs() * MS >= settings.forgetNs();
    }

    /** Adds a new member; null if the roster is full. */
    Peer admit(long now, Identity id, Statement s, long statedAt, MemberState state, long since, String reason) {
        Peer p = new Peer(id, s, Math.min(now, statedAt), state, state.status() == MemberStatus.ALIVE ? now : since);
        if (state.accuses()) {
            p.reason = reason;
        }
        boolean reportedSuspected = state.status() == MemberStatus.SUSPECTED;
        p.status = reportedSuspected ? MemberStatus.ALIVE : state.status();
        p.lastPresentAt = p.present() ? now : Long.MIN_VALUE;
        p.lastReceivedAt = now;
        p.reconnectPauseNs = 2 * settings.intervalNs();
        p.reconnectAt = now + p.reconnectPauseNs;
        if (!roster.add(p)) {
            counters.refusedMembers++;
            return null;
        }
        gossip.enqueue(id, true);
        if (!p.present()) {
            return p;
        }
        recordChange(now, Change.Kind.JOINED, id, "at " + s.address());
        returned.add(p);
        for (Peer other : roster.sameName(id)) {
            resolveSameName(now, p, other);
        }
        if (id.name().equals(self.id.name())) {
            toProbe.add(p);
        }
        if (s.twinLife() == self.id.life() && id.name().equals(self.id.name())) {
            reportTwin(now, p);
        }
        if (reportedSuspected) {
            suspect(now, p, state.incarnation(), reason);
        }
        return p;
    }

    /** Two lives of one name: at the same address the later one replaces the older, otherwise the older is probed. */
    private void resolveSameName(long now, Peer p, Peer other) {
        Peer older = p.startedAt() >= other.startedAt() ? other : p;
        Peer newer = older == p ? other : p;
        if (!older.present() || !newer.present()) {
            return;
        }
        if (older.address().equals(newer.address())) {
            markGone(now, older, "it came back as " + newer.id);
        } else {
            toProbe.add(older);
        }
    }

    // ---- status changes ----

    /** Records that the member is alive at that incarnation; has no effect if a later state is known. */
    void markAlive(long now, Peer p, int incarnation) {
        MemberState reported = new MemberState(incarnation, MemberStatus.ALIVE);
        if (reported.compareTo(p.state) <= 0) {
            return;
        }
        p.state = reported;
        gossip.enqueue(p.id, p.status == MemberStatus.GONE);
        if (p.status == MemberStatus.ALIVE) {
            return;
        }
        boolean back = p.status == MemberStatus.GONE;
        setStatus(now, p, MemberStatus.ALIVE, "");
        recordChange(now, back ? Change.Kind.BACK : Change.Kind.CLEARED, p.id, "");
        if (back) {
            returned.add(p);
        }
    }

    /** Records that the accuser, another member or this process, got no answer from the member. */
    void suspect(long now, Peer p, int incarnation, String accuser) {
        MemberState reported = new MemberState(incarnation, MemberStatus.SUSPECTED);
        if (reported.compareTo(p.state) < 0 || p.status == MemberStatus.GONE || p.status == MemberStatus.LEFT) {
            return;
        }
        if (p.suspicion != null && p.suspicion.incarnation() == incarnation) {
            if (p.suspicion.confirm(accuser)) {
                gossip.enqueue(p.id, false);
            }
            return;
        }
        p.state = p.state.merge(reported);
        long minNs = settings.suspicionNs(roster.size());
        boolean wasAlive = p.status == MemberStatus.ALIVE;
        if (wasAlive) {
            setStatus(now, p, MemberStatus.SUSPECTED, accuser);
        }
        setSuspicion(
                p,
                new Suspicion(
                        incarnation,
                        accuser,
                        Math.min(settings.confirmations(), Math.max(0, roster.size() - 2)),
                        minNs,
                        minNs * settings.maxSuspicionFactor(),
                        now));
        gossip.enqueue(p.id, false);
        if (wasAlive) {
            recordChange(now, Change.Kind.SUSPECTED, p.id, "by " + accuser);
        }
    }

    private void setSuspicion(Peer p, Suspicion s) {
        p.suspicion = s;
        if (s == null) {
            suspected.remove(p);
        } else {
            suspected.add(p);
        }
    }

    private void onReportedGone(long now, Peer p, int incarnation, String accuser) {
        MemberState reported = new MemberState(incarnation, MemberStatus.GONE);
        if (reported.compareTo(p.state) <= 0) {
            return;
        }
        p.state = reported;
        if (p.status == MemberStatus.SUSPECTED && p.suspicion.incarnation() <= incarnation) {
            markGone(now, p, accuser);
        } else if (p.status == MemberStatus.ALIVE) {
            // The halves of a healed partition report this of one another: members that are alive refute it
            // shortly.
            setStatus(now, p, MemberStatus.SUSPECTED, accuser);
            setSuspicion(
                    p,
                    new Suspicion(
                            incarnation, accuser, 0, health.scale(REFUTE_TIMEOUTS * settings.timeoutNs()), 0, now));
            recordChange(
                    now,
                    Change.Kind.SUSPECTED,
                    p.id,
                    "reported as gone" + (accuser.isEmpty() ? "" : ", by " + accuser));
            toProbe.add(p);
        }
    }

    /** Marks the member as gone and gossips that. */
    void markGone(long now, Peer p, String reason) {
        if (!p.present()) {
            return;
        }
        p.state = p.state.merge(new MemberState(p.state.incarnation(), MemberStatus.GONE));
        setStatus(now, p, MemberStatus.GONE, reason);
        p.reconnectPauseNs = 2 * settings.intervalNs();
        p.reconnectAt = now + p.reconnectPauseNs;
        gossip.enqueue(p.id, false);
        recordChange(now, Change.Kind.GONE, p.id, reason);
    }

    private void markLeft(long now, Peer p, int incarnation) {
        MemberState reported = new MemberState(incarnation, MemberStatus.LEFT);
        if (reported.compareTo(p.state) <= 0) {
            return;
        }
        p.state = reported;
        gossip.enqueue(p.id, false);
        if (p.status != MemberStatus.LEFT) {
            setStatus(now, p, MemberStatus.LEFT, "");
            recordChange(now, Change.Kind.LEFT, p.id, "");
        }
    }

    private void setStatus(long now, Peer p, MemberStatus status, String reason) {
        p.lastPresentAt = p.present() ? now : p.lastPresentAt;
        p.status = status;
        p.statusSince = now;
        p.reason = reason;
        if (status != MemberStatus.SUSPECTED) {
            setSuspicion(p, null);
        }
        roster.updatePresence(p);
    }

    /** Marks members as gone whose suspicion has timed out. */
    void expireSuspicions(long now) {
        for (Peer p : List.copyOf(suspected)) {
            if (now >= p.suspicion.expiresAt()) {
                markGone(now, p, p.reason);
            }
        }
    }

    /** The time at which the next suspicion times out, in ns; MAX_VALUE if there is none. */
    long nextSuspicionExpiry() {
        long next = Long.MAX_VALUE;
        for (Peer p : suspected) {
            next = Math.min(next, p.suspicion.expiresAt());
        }
        return next;
    }

    /** Extends suspicions by a pause of this process. */
    void extendSuspicions(long ns) {
        suspected.forEach(p -> p.suspicion.extend(ns));
    }

    /** Removes members that have been gone for longer than the retention period. */
    void forget(long now) {
        List<Peer> old = new ArrayList<>();
        for (Peer p : roster.all()) {
            if (!p.present() && now - p.statusSince >= settings.forgetNs()) {
                old.add(p);
            }
        }
        old.forEach(roster::remove);
    }
}
