package gullspar.decide;

import gullspar.decide.Ticket.Attempt;
import gullspar.decide.Ticket.Turn;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The decisions, all of them. The interface (types, events, actions) is in Balancer.java; docs/DESIGN.md
 * is on "[Proposal] X-Backend-Info: backend load/state reporting header for informed load balancing".
 *
 * <p>Ordinary path: reports become factors (capacity x spare share, low while young), requests go by smooth
 * weighted rotation over them, each less what unanswered sends and reports say of the queue. Exceptions, each
 * with its condition where it acts: own zone first, subsets (pick, subset), waiting (offer), jams (crowd),
 * ejection and trials (silent, eject), cold budget (budget), further attempts (again).
 */
public final class Policy implements Balancer {
    /** A factor is renewed by the first report so long after the last renewal. */
    private static final long RENEW_NS = 200_000_000L;
    /** Weight of a new report's spare share: two reports halve the noise without doubling their lateness. */
    private static final double SPARE_GAIN = 0.5;
    /** No spare share under this: a server at 0 would never get the request that renews it. */
    private static final double SPARE_FLOOR = 0.1;
    /** So many answers tell a pace, for so long at the most; the pace of the kind counts as a few more. */
    private static final double PACE_ANSWERS = 10, PACE_NS = 10e9, KIND_ANSWERS = 4;
    /** Memory of what is usual: of the requests at all servers, and of the pace of a kind. */
    private static final double USUAL_NS = 2e9, KIND_NS = 5e9;
    /** What a report says of the others' requests fades so fast to what is usual: unheard is not empty. */
    private static final double OTHERS_NS = 1e9, HELD_MOST = 1000; // of more in hand no report is believed
    /** Weight of a new report in what a server can do in a second. */
    private static final double PARALLEL_GAIN = 0.2;
    /** A guess at the time of a request where promises are limits: they tell nothing of what is usual. */
    private static final double GUESS_NS = 20e6;
    /** Failures in a row that eject a server; one or two happen to a healthy one. */
    private static final int EJECT_FAILURES = 4;
    /** Never more of the ready servers than this: ejecting most of a crowded fleet drowns the rest. */
    private static final double EJECT_MOST = 0.34;
    /** Silent: owes answers, and gave none for so many of its usual gaps plus this share of a promise. */
    private static final double SILENT_GAPS = 6, SILENT_PROMISE = 0.8;
    /** Pause before the first trial of an ejected server; doubles, four times at most. */
    private static final long TRIAL_NS = 500_000_000L;
    /** Part of the cold budget that this proxy uses; bursts and peers that see it otherwise take the rest. */
    private static final double COLD_SAFETY = 0.6;
    /** Retry budget: further attempts for each first try, and the most saved up. */
    private static final double RETRY_RATE = 0.02, RETRY_BURST = 5;
    /**
     * The same after a connection that broke or an answer spoilt: that tells of no load, and comes in
     * rows.
     */
    private static final double RESEND_RATE = 0.3, RESEND_BURST = 10;
    /** A server has room while the work ahead takes this share of what is left of a promise. */
    private static final double ADMIT = 0.25;
    /** Admission: attempts lately sent for each served, and as many more to find out; from so many lost. */
    private static final double THROTTLE_RATIO = 1.2, THROTTLE_FLOOR = 1, THROTTLE_LOST = 0.7;
    /** Share of the arrivals that may go out while fewer than that were served. */
    private static final double THROTTLE_TRY = 0.3;
    /** An answer so far over the service time, reported and median, and half the promise counts as lost. */
    private static final double TARDY = 2;
    /** Servers of the own zone in the subset at the least; how often to hear of each in a promise. */
    private static final double SUBSET_LEAST = 2, SUBSET_HEARD = 2;
    /** Spreads the proxies' subsets evenly over the servers, however many of each there are. */
    private static final double GOLDEN = 0.6180339887;
    /** Requests that wait are looked at this often, besides at each answer. */
    private static final long HOLD_NS = 20_000_000L;
    /** Memory of own rates (a release must not shrink the cold budgets it needs), and how often it ages. */
    private static final double RATE_NS = 15e9, RATE_LEAST_NS = 1e9;
    private static final long AGE_NS = 50_000_000L;
    /**
     * First pause before discovery is asked again after a failure; it doubles, up to the other. A change
     * counts 6 s after discovery had it and could be reached, and a call that is never answered and one that
     * waits in turn take 4.5 of them.
     */
    private static final long ASK_NS = 250_000_000L, ASK_MOST_NS = 600_000_000L;

    /** The proxy's own pulse: with none for twice as long it stood still. */
    private static final long PULSE_NS = 50_000_000L;

    /** Tokens of the timers for what waits and for the pulse; those below number the calls to discovery. */
    private static final long WAIT_TOKEN = 1L << 32, PULSE_TOKEN = WAIT_TOKEN + 1;

    private final Settings settings;
    private final Actions out;
    private final SplittableRandom random;
    private final IntMap<Server> byId = new IntMap<>();
    private final List<Server> servers = new ArrayList<>();
    private final IntMap<Ticket> tickets = new IntMap<>();
    private final Map<Long, Turn> turns = new HashMap<>();
    /** Requests that wait here, those worth most first. */
    private final List<Ticket> waiting = new ArrayList<>();
    /** By zone: own sends to a server, share left at one (crowd), ready ones; by kind: time of a request. */
    private final double[] zoneRate = new double[256], usual = new double[256], kindPace = new double[256];
    private final int[] zoneReady = new int[256];
    /** The own zone's rotation and that of the others: sums of weights, and of weights x expected times. */
    private final double[] weights = new double[2], times = new double[2], open = new double[2];
    private final long[] kindAt = new long[256], usualAt = new long[256];
    private final Classes classes = new Classes();
    private List<Profile> profiles;
    private double meanWorth;
    private long minPromise;
    /** No server has reported its load: the weights of the list count. */
    private boolean byList;
    private double arrivals, unsent, sent, good, lost, parallel = 1, leastService, retries = RETRY_BURST / 2;
    private double resends = RESEND_BURST / 2;
    private long servesSince, agedAt, heardAt, wokeAt, askPause = ASK_NS;
    private int asked;
    /** The class of which the last offer found no room. */
    private Profile full;
    private boolean armed;

    public Policy(Settings settings, long seed, long now, Actions out) {
        this.settings = settings;
        this.out = out;
        this.random = new SplittableRandom(seed);
        this.byList = settings.listWeights();
        onProfiles(settings.profiles());
        Arrays.fill(kindPace, byList ? GUESS_NS : minPromise / 6.0); // soon forgotten
        Arrays.fill(kindAt, now);
        Arrays.fill(usual, 1);
        Arrays.fill(usualAt, now);
        this.servesSince = now;
        this.agedAt = now;
        this.heardAt = now;
        out.timer(now + PULSE_NS, PULSE_TOKEN);
        if (settings.askForList()) { ask(now); }
    }

    @Override
    public void onProfiles(List<Profile> known) {
        profiles = List.copyOf(known);
        minPromise = known.stream().mapToLong(Profile::promiseNs).min().orElse(0);
        meanWorth = known.stream().mapToDouble(Profile::worth).average().orElse(1);
        classes.know(profiles);
    }

    // ---- discovery ----

    private void ask(long now) {
        out.subscribe(true);
        askAgain(now + settings.askWithinNs() / 2); // well before an unheard list would bind this proxy
    }

    private void askAgain(long at) {
        out.timer(at, ++asked);
    }

    @Override
    public void onMembers(long now, ListKind kind, long version, List<Member> members) {
        if (kind == ListKind.FAILED) {
            // A failure may mean a broken subscription. Jitter keeps the proxies from asking in step.
            askAgain(now + (long) (askPause * (0.5 + random.nextDouble())));
            askPause = Math.min(askPause * 2, ASK_MOST_NS);
            return;
        }
        if (kind != ListKind.CACHED) {
            asked++; // the call is answered: its timer is void
            askPause = ASK_NS;
        }
        for (Server s : servers) {
            s.named &= kind == ListKind.DELTA; // missing from a whole list: gone
        }
        for (Member m : members) {
            Server s = byId.get(m.id());
            if (s == null || m.bootNs() > s.bootNs) { s = started(m, now); }
            s.listed = m;
            s.named = true;
        }
        Arrays.fill(zoneReady, 0);
        servers.sort(Comparator.comparingInt(s -> s.id)); // the same order at every proxy
        for (Iterator<Server> i = servers.iterator(); i.hasNext();) {
            Server s = i.next();
            s.place = zoneReady[zone(s)];
            zoneReady[zone(s)] += s.ready() ? 1 : 0;
            if (s.out == 0 && (!s.named || s.listed.state() == State.GONE)) {
                i.remove();
                byId.remove(s.id);
            }
        }
        for (Server s : servers) {
            double place = s.place / Math.max(1, zoneReady[zone(s)]) + settings.me() * GOLDEN;
            s.place = place - Math.floor(place);
        }
    }

    /** A server is new or has started anew: nothing learnt of an old process holds. */
    private Server started(Member m, long now) {
        Server s = new Server(m, kindPace[m.kind() & 255], parallel, now); // it needs what its kind needs
        s.named = true;
        Server old = byId.get(s.id);
        if (old != null) { servers.remove(old); }
        servers.add(s);
        byId.put(s.id, s);
        renew(s, now);
        spread(s, now);
        return s;
    }

    /**
     * Proxies that take a server for cold from one moment on must not all turn to it at once: a phase of its
     * own in the rotation, and part of a token, so that their first requests are spread as their later ones.
     */
    private void spread(Server s, long now) {
        s.tokens = random.nextDouble();
        s.tokensAt = now;
        s.tally = -random.nextDouble();
    }

    // ---- factors ----

    private static int zone(Server s) {
        return s.listed.zone() & 255;
    }

    /**
     * Share of its capacity that a server surely has by now; 1 when warm. One that refused a connection may
     * have started anew since: the list says so only seconds after it is back. Guards against proxies that
     * all give a server that crashed its old share again while it is cold; costs one that was merely cut off
     * or had no place for a connection a part of its share for the time of a start.
     */
    private double warmth(Server s, long now) {
        long start = Math.max(s.bootNs, s.refusedAt);
        double age = (now - start) / (double) settings.coldNs();
        return start <= 0 || age >= 1 ? 1
                : settings.startCapacity() + (1 - settings.startCapacity()) * Math.max(0, age);
    }

    private void report(Server s, long now, Report r) {
        if (r == null) { return; }
        byList = false;
        s.blind = !Double.isFinite(r.inflight());
        double held = Double.isFinite(r.inflight()) ? r.inflight() : r.queue();
        // Answers repeat a report until the next is made; of two the util differs, also where both held none.
        if (held >= 0 && held < HELD_MOST && (held != s.held || Double.compare(r.util(), s.util) != 0)) {
            s.held = held;
            s.util = r.util();
            double others = Math.max(0, held - s.out) / s.parallel;
            s.heard += SPARE_GAIN * (others - s.heard);
            s.others = s.heard;
            s.fresh = 1;
            crowd(zone(s), others, now);
        }
        if (r.perSecond() > 0 && r.util() > 0 && r.perSecond() != s.told) {
            // What it does in a second over its busy share is what it can do, whatever its requests wait for.
            s.told = r.perSecond();
            s.rate += PARALLEL_GAIN * (r.perSecond() - s.rate);
            s.busy += PARALLEL_GAIN * (Math.min(1, r.util()) - s.busy);
            s.parallel = Math.max(1, s.rate / s.busy * s.pace / 1e9);
            parallel += PARALLEL_GAIN * (s.parallel - parallel);
        }
        if (now - s.renewedAt >= RENEW_NS) {
            if (Double.isFinite(r.util())) {
                s.spare += SPARE_GAIN * (1 - Math.max(0, Math.min(1, r.util())) - s.spare);
            }
            renew(s, now);
        }
    }

    /** Usual in a zone: the mean share a further request would get, which a few long queues hardly move. */
    private void crowd(int z, double others, long now) {
        usual[z] += (1 - Math.exp((usualAt[z] - now) / USUAL_NS)) * (1 / (1 + others) - usual[z]);
        usualAt[z] = now;
    }

    /** The design's formula: low while young, else capacity times spare share. */
    private void renew(Server s, long now) {
        s.renewedAt = now;
        s.factor = minPromise / s.pace * s.parallel * Math.max(SPARE_FLOOR, s.spare) * warmth(s, now);
    }

    /**
     * The factor, less what waits there: as a fourth power, to level the queues and not the rates. Where no
     * report makes factors it is the design's start, the list's weight: servers that tell nothing get the
     * shares that their operator declared, however quick each seems.
     */
    private double weight(Server s) {
        if (byList) { return s.listed.units(); }
        double wait = 1 + s.load();
        return s.factor / (wait * wait * wait * wait);
    }

    /** Owes answers and gives none: told from a slow one by the gaps between its answers, to any request. */
    private boolean silent(Server s, long now) {
        return s.out > 0 && now - s.owedSince > minPromise * SILENT_PROMISE
                + SILENT_GAPS * s.pace * (1 + s.others / s.out);
    }

    private void eject(Server s, long now) {
        long ready = servers.stream().filter(Server::ready).count();
        long ejected = servers.stream().filter(o -> o.ready() && o.ejected).count();
        if (s.ejected || ejected + 1 <= ready * EJECT_MOST) {
            s.trialPause = s.ejected ? Math.min(s.trialPause * 2, 4 * TRIAL_NS) : TRIAL_NS;
            s.trialAt = now + s.trialPause;
            s.ejected = true;
        }
    }

    /**
     * Cold budget, a token bucket. Its rate is what this proxy sent to the average server of that zone, for
     * as many as its subset leaves to it, times the multiple and the warmth: if every peer does the same, all
     * together stay under the multiple of what the server can do, however unevenly the traffic falls on them.
     * Less where the server reports itself busy: something else may hold down what it can do while cold.
     *
     * <p>Requests that no server got count as well, up to this proxy's even part of what the server can do.
     * Guards against a fleet that is cold as a whole: by its sends alone a proxy would be held to less than
     * it sent, send less for it, and be held to less again. One with no past would never get out of that.
     */
    private boolean budget(Server s, long now) {
        double warmth = warmth(s, now);
        if (warmth >= 1) { return true; }
        double mine = zoneRate[zone(s)] / lived(RATE_NS, now) * Math.max(1, zoneReady[zone(s)] / subset());
        double wanted = mine + unsent / lived(USUAL_NS, now) / Math.max(1, zoneReady[zone(s)]);
        double even = s.parallel / s.pace / Math.max(1, settings.balancers());
        mine = Math.max(mine, Math.min(wanted, even));
        double idle = Math.min(1, 2 * Math.max(SPARE_FLOOR, s.spare));
        double rate = COLD_SAFETY * idle * Math.max(mine * settings.tipMultiple() * warmth,
                1.0 / settings.fallNs() / Math.max(1, settings.balancers()));
        s.tokens = Math.min(Math.max(1, rate * settings.fallNs() / 2), s.tokens + rate * (now - s.tokensAt));
        s.tokensAt = now;
        return s.tokens >= 1;
    }

    /**
     * The time over which a rate was counted: its memory, or what there has been of it. Guards against
     * a proxy that starts in the middle of a release, where most servers are cold: by the whole memory its
     * rates, and so its budgets, would seem a tenth of what they are. It counts from the first request: one
     * that knows the list long before its clients come has no lower rates for it. Of the first moment no
     * rate is made.
     */
    private double lived(double memory, long now) {
        return memory * (1 - Math.exp(-Math.max(RATE_LEAST_NS, now - servesSince) / memory));
    }

    /** Subsetting: the servers of a zone that can each be heard of within a promise, and none left out. */
    private double subset() {
        double heard = arrivals * minPromise / USUAL_NS / SUBSET_HEARD;
        return Math.max(heard, SUBSET_LEAST * Math.max(1, servers.size() / (double) settings.balancers()));
    }

    /** The first attempt that may have run: it binds all further ones. Null if none may have. */
    private Attempt bound(Ticket t) {
        for (Attempt a : t.attempts) {
            boolean never = a.ended != null && a.ended.neverRan
                    && !(a.ended == Status.FULL && settings.fullIsNoProof());
            if (!never) { return a; }
        }
        return null;
    }

    /** May this server get this request? A repeat of what may have run stays where repeats are dropped. */
    private boolean fit(Server s, Ticket t, Attempt bound, long now) {
        if (!s.ready() || !budget(s, now)) { return false; }
        for (Attempt a : t.attempts) {
            if (a.to.id == s.id) { return false; }
        }
        if (bound == null || t.profile.effect() != Effect.DEDUPLICATED || t.profile.scope() == Scope.ALL) {
            return true;
        }
        // Where that was when it got the first: the list may have moved it since.
        return zone(s) == (bound.group.zone() & 255)
                && (t.profile.scope() == Scope.ZONE || s.listed.cell() == bound.group.cell());
    }

    /** Smooth weighted rotation over the factors of the fit servers; null if there is none. */
    private Server pick(Ticket t, long now) {
        Server s = pick(t, t.attempts.size() > 0, now);
        return s == null && leastService == Double.MAX_VALUE ? pick(t, true, now) : s;
    }

    private Server pick(Ticket t, boolean wide, long now) {
        Arrays.fill(weights, 0);
        Arrays.fill(times, 0);
        Arrays.fill(open, 0);
        leastService = Double.MAX_VALUE;
        double most = classes.room(t.request.profile(), t.aim - now) * ADMIT;
        Attempt bound = bound(t);
        double subset = wide ? Double.MAX_VALUE : subset();
        for (Server s : servers) {
            int side = zone(s) == settings.zone() ? 0 : 1; // of another zone one fewer
            s.fit = s.place * zoneReady[zone(s)] < subset - side && fit(s, t, bound, now);
            if (!s.fit) { continue; }
            if (!s.ejected && silent(s, now)) { eject(s, now); }
            if (s.ejected) {
                // A trial: one request at a time that is still whole, and none that could be lost with it.
                if (now >= s.trialAt && bound == null
                        && (s.out == 0 || t.profile.effect() != Effect.AT_MOST_ONCE)) {
                    eject(s, now);
                    return s;
                }
                s.fit = false;
                continue;
            }
            double slow = s.pace / warmth(s, now);
            leastService = Math.min(leastService, s.pace);
            weights[side] += weight(s);
            // Where no report tells what a server holds, its busy share tells how long one waits there.
            double waits = s.blind ? 1 / Math.max(SPARE_FLOOR, s.spare) : 1;
            times[side] += weight(s) * slow * (s.load() + 1) * waits;
            s.fit = slow * s.load() <= most;
            open[side] += s.fit ? weight(s) : 0;
        }
        // Own zone first: crossing must save worth. Where classes give way short queues tell of no wait.
        boolean cross = missed(0, t, now) - missed(1, t, now) > settings.crossZonePrice()
                || open[0] == 0 && classes.ranked(t.request.profile());
        Server best = null;
        // Tallies count in requests: a debt must not outlast weights that change a hundredfold in a second.
        double total = open[0] + (cross ? open[1] : 0);
        for (Server s : servers) {
            if (s.fit && (cross || zone(s) == settings.zone())) {
                s.tally += weight(s) / total;
                best = best == null || s.tally > best.tally ? s : best;
            }
        }
        if (best != null) { best.tally--; }
        return best;
    }

    /** Share of a mean request's worth lost by missing the promise, at the rotation's expected time. */
    private double missed(int side, Ticket t, long now) {
        double expected = weights[side] > 0 ? times[side] / weights[side] : Double.MAX_VALUE;
        double p = Math.exp(-Math.max(1, t.aim - now) / Math.max(1, expected));
        return p * t.profile.worth() / meanWorth * (1 - t.profile.lateShare());
    }

    // ---- requests ----

    /**
     * A proxy that stood still finds outcomes and time-outs that are its own fault, not the servers': what
     * comes in that moment teaches nothing of them. Hurts nobody: a moment later all counts again.
     */
    private void heard(long now) {
        if (now - heardAt > 2 * PULSE_NS) {
            wokeAt = now;
            servers.forEach(s -> s.owedSince = now);
        }
        heardAt = now;
    }

    /**
     * When an answer stops earning anything. A client's repeat with less time than first tries have has
     * waited since the first, and what lay unread since it was sent: the promise counts from there. Guards
     * against work for late answers; hurts where marked repeats come short of time for another reason.
     */
    private long aim(Request r, Profile p, long now) {
        long most = classes.asked(r.profile(), r.leftNs());
        long waited = r.repeat() && r.leftNs() < most - settings.stepNs()
                ? p.giveUpNs() - r.leftNs() : 0;
        return now + Math.min(r.leftNs(), p.promiseNs() - Math.max(waited, r.ageNs()));
    }

    @Override
    public void onRequest(long now, Request request) {
        heard(now);
        age(now);
        servesSince = arrivals == 0 ? now : servesSince; // none yet, or none for so long that no rate is left
        arrivals++;
        Profile profile = profiles.get(request.profile());
        Ticket t = new Ticket(request, profile, aim(request, profile, now), now + request.leftNs());
        tickets.put(request.ticket(), t);
        if (t.profile.sequential() && request.key() != 0) {
            t.turn = turns.computeIfAbsent(request.key(), k -> new Turn());
            t.turn.queue.add(t);
        }
        retries = Math.min(RETRY_BURST, retries + RETRY_RATE);
        resends = Math.min(RESEND_BURST, resends + RESEND_RATE);
        if (!offer(t, now)) {
            int at = waiting.size();
            while (at > 0 && waiting.get(at - 1).profile.worth() <= t.profile.worth()) { at--; }
            waiting.add(at, t);
            arm(now);
        }
    }

    private void age(long now) {
        if (now - agedAt > AGE_NS) {
            double keep = Math.exp((agedAt - now) / RATE_NS);
            double hope = Math.exp((agedAt - now) / KIND_NS);
            for (int z = 0; z < zoneRate.length; z++) {
                zoneRate[z] *= keep;
                usual[z] = 1 - hope * (1 - usual[z]);
            }
            classes.age(keep);
            keep = Math.exp((agedAt - now) / USUAL_NS);
            arrivals *= keep;
            unsent *= keep;
            sent *= keep;
            good *= keep;
            lost *= keep;
            keep = Math.exp((agedAt - now) / OTHERS_NS);
            for (Server s : servers) {
                s.fresh *= keep;
                s.others = s.fresh * s.heard + (1 - s.fresh) * (1 / usual[zone(s)] - 1);
            }
            turns.values().removeIf(u -> u.queue.isEmpty() && now >= u.restUntil);
            agedAt = now;
        }
    }

    /**
     * Sends a first attempt while a server has room; else it waits here, where it costs no server anything
     * and can still be refused harmlessly. True if it need not wait (any longer).
     */
    private boolean offer(Ticket t, long now) {
        if (t.over) { return true; }
        boolean held = !inTurn(t, now) || throttled();
        Server s = held || hopeless(t, now) ? null : pick(t, now);
        if (s != null) {
            send(t, s, now);
            return true;
        }
        full = held ? full : t.profile;
        return hopeless(t, now);
    }

    /**
     * Most sends are lost: no more go out than so many for each served. Where few were served lately, a share
     * of the arrivals goes out all the same. That guards against a proxy that loses its first sends, by its
     * own slow start or a short outage: with nothing sent nothing is served, and the throttle stays shut.
     */
    private boolean throttled() {
        double unknown = Math.max(THROTTLE_FLOOR, THROTTLE_TRY * arrivals - good);
        return lost >= THROTTLE_LOST && sent > THROTTLE_RATIO * good + unknown;
    }

    /**
     * Ends a request that has less time left than half of its class's answers took; true if it is over. It
     * guards against work for clients that will have left: of little patience, or held here for long.
     */
    private boolean hopeless(Ticket t, long now) {
        if (!t.over && (t.aim - now < classes.usual(t.request.profile())
                || now >= t.deadline - HOLD_NS - 2 * settings.stepNs())) {
            end(t);
        }
        return t.over;
    }

    private void arm(long now) {
        if (!armed && !waiting.isEmpty()) {
            armed = true;
            out.timer(now + HOLD_NS, WAIT_TOKEN);
        }
    }

    /** Offers what waits again; after the first of a class that stays, the rest are only checked for time. */
    private void drain(long now) {
        full = null;
        // All are looked at, not the head alone: a client's repeat behind it may have less time left.
        waiting.removeIf(t -> t.profile == full ? hopeless(t, now) : offer(t, now));
    }

    private void send(Ticket t, Server s, long now) {
        Attempt bound = bound(t);
        t.attempts.add(new Attempt(s, s.load(), now));
        t.out++;
        s.owedSince = s.out++ == 0 ? now : s.owedSince;
        s.tokens--;
        sent++;
        zoneRate[zone(s)] += 1.0 / zoneReady[zone(s)]; // of now: a zone that shrinks grows no budget by it
        // An answer that would earn nothing leaves the server, unless a repeat would then run beside it.
        boolean cut = settings.mayCancel() && t.profile.lateShare() == 0
                && !(t.profile.effect() == Effect.DEDUPLICATED && t.profile.scope() == Scope.ALL);
        long most = Math.min(cut ? Math.max(1, t.aim - now) : Long.MAX_VALUE,
                t.profile.attemptNs() > 0 ? t.profile.attemptNs() : Long.MAX_VALUE);
        long within = bound == null || t.profile.effect() != Effect.DEDUPLICATED ? Long.MAX_VALUE
                : bound.sentAt + remembered(t) - now;
        out.send(t.request.ticket(), s.id, most == Long.MAX_VALUE ? 0 : most, within);
    }

    /** How long its repeats are surely dropped, from the first attempt that may have run. */
    private long remembered(Ticket t) {
        return t.profile.windowNs() - 2 * settings.stepNs();
    }

    /** May another attempt start now, by the rules on repeats? */
    private boolean mayAttempt(Ticket t, long now) {
        if (t.over || t.begun || now >= t.aim || t.attempts.size() >= most(t.profile)
                || now >= t.deadline - settings.stepNs()) {
            return false;
        }
        Attempt bound = bound(t);
        return bound == null || t.profile.effect() == Effect.IDEMPOTENT
                || t.profile.effect() == Effect.DEDUPLICATED
                && now - bound.sentAt < remembered(t);
    }

    private int most(Profile p) {
        return p.attempts() > 0 ? p.attempts() : settings.maxAttempts();
    }

    /**
     * A further attempt elsewhere, within the rules and the retry budget. Where the list's weights count, one
     * after a connection that was not to be had needs none: it is no more load than a first try there, and
     * without reports nothing else keeps first tries from a server that is gone.
     */
    private void again(Ticket t, long now) {
        Status last = t.attempts.get(t.attempts.size() - 1).ended;
        boolean broke = last == Status.RESET;
        boolean free = settings.listWeights() && last == Status.CONNECT_FAILED;
        if ((free || (broke ? resends : retries) >= 1) && mayAttempt(t, now)) {
            Server s = pick(t, now);
            if (s != null) {
                resends -= broke ? 1 : 0;
                retries -= broke || free ? 0 : 1;
                send(t, s, now);
            }
        }
    }

    /** The final answer where no attempt served: refused if a repeat is harmless, else failed. */
    private void end(Ticket t) {
        unsent += t.attempts.isEmpty() ? 1 : 0;
        if (bound(t) == null || t.profile.effect() == Effect.IDEMPOTENT
                || t.profile.effect() == Effect.DEDUPLICATED && t.profile.scope() == Scope.ALL) {
            out.refuse(t.request.ticket(), settings.maxRetryAfterNs());
        } else {
            out.fail(t.request.ticket());
        }
        close(t);
    }

    private void close(Ticket t) {
        t.over = true;
        if (t.out == 0) {
            forget(t);
        } else if (settings.mayCancel()) {
            out.cancel(t.request.ticket(), t.attempts.size() - 1); // never more than one is out
        }
    }

    /**
     * Order: one that follows waits until each earlier one of its key is over and has no attempt out, and
     * until the key has rested from attempts that may still be running.
     */
    private static boolean inTurn(Ticket t, long now) {
        return t.turn == null || t.turn.queue.peek() == t && now >= t.turn.restUntil;
    }

    /** Its last attempt has ended: the next of its key may run. */
    private void forget(Ticket t) {
        tickets.remove(t.request.ticket());
        if (t.turn != null) { t.turn.queue.remove(t); }
    }

    @Override
    public void onStreamBegun(long now, int ticket, int attempt, int server, long elapsedNs) {
        Ticket t = tickets.get(ticket);
        if (t != null) { t.begun = true; }
    }

    @Override
    public void onOutcome(long now, Outcome o) {
        heard(now);
        Ticket t = tickets.get(o.ticket());
        if (t == null || o.attempt() >= t.attempts.size() || t.attempts.get(o.attempt()).ended != null) {
            return;
        }
        Attempt a = t.attempts.get(o.attempt());
        a.ended = o.status();
        t.out--;
        a.to.out--;
        if (t.turn != null && (o.status() == Status.TIMEOUT || o.status() == Status.RESET
                || o.status() == Status.CANCELLED)) {
            t.turn.restUntil = now + settings.turnGapNs();
        }
        if (now != wokeAt) { learn(t, a, o, now); }
        report(a.to, now, o.report());
        if (o.over() && !t.over) {
            close(t);
        } else if (t.over && t.out == 0) {
            forget(t);
        } else if (!t.over && t.out == 0) {
            again(t, now);
            if (t.out == 0) { end(t); }
        }
        drain(now);
    }

    private void learn(Ticket t, Attempt a, Outcome o, long now) {
        Server s = a.to;
        double unit = Math.max(1000, o.elapsedNs()) / (a.ahead + 1);
        if (o.status() == Status.OK) {
            double m = classes.answered(t.request.profile(), o.elapsedNs(), unit * warmth(s, now) / s.pace);
            // Far over its work, by the server's word and the median: a queue that will lose the next.
            double work = s.blind && o.report() != null ? 1e6 * o.report().recentMs() : Double.NaN;
            boolean tardy = o.elapsedNs() > Math.max(t.profile.promiseNs() / 2.0, TARDY * Math.max(m, work));
            good += tardy ? 0 : 1;
            lost += tardy ? 1 : 0;
            s.owedSince = now;
            s.failures = 0;
            s.ejected = false;
            int kind = s.listed.kind() & 255;
            double keep = Math.exp((s.learntAt - now) / PACE_NS);
            s.learntAt = now;
            unit *= warmth(s, now);
            double gain = 1 - Math.exp((kindAt[kind] - now) / KIND_NS);
            kindPace[kind] += gain * (unit - kindPace[kind]);
            kindAt[kind] = now;
            s.seen = Math.min(PACE_ANSWERS, s.seen * keep + 1);
            s.ownPace += (unit - s.ownPace) / s.seen;
            s.pace = (s.seen * s.ownPace + KIND_ANSWERS * kindPace[kind]) / (s.seen + KIND_ANSWERS);
        }
        if (o.status() == Status.FULL || o.status() == Status.TIMEOUT || o.status() == Status.CANCELLED) {
            lost++;
        } else if (o.status() != Status.OK) {
            sent = Math.max(0, sent - 1); // says nothing of the load
        }
        if (o.status() == Status.FULL || o.status() == Status.TIMEOUT && s.owedSince <= a.sentAt) {
            // No answer or no place: a jam that no report tells of, with so much work ahead at the least.
            crowd(zone(s), Math.max(minPromise, o.elapsedNs()) / s.pace, now);
        }
        if (o.status() != Status.OK && o.status() != Status.MOOT && o.status() != Status.TIMEOUT
                && o.status() != Status.CANCELLED) {
            // A fast failure teaches no pace: a server that fails fast must not look quick.
            s.owedSince = now;
            if (o.status() == Status.CONNECT_FAILED && !settings.listWeights()) { // there none is cold
                s.refusedAt = now;
                renew(s, now);
                spread(s, now);
            }
            if (++s.failures >= EJECT_FAILURES || o.status() == Status.CONNECT_FAILED) {
                eject(s, now);
            }
        }
    }

    @Override
    public int avoided() {
        return (int) servers.stream().filter(s -> s.named && s.listed.state() != State.GONE
                && (s.ejected || !s.ready())).count();
    }

    @Override
    public void onWithdrawn(long now, int ticket) {
        Ticket t = tickets.get(ticket);
        if (t != null && !t.over) { close(t); }
    }

    @Override
    public void onTimer(long now, long token) {
        heard(now);
        if (token == PULSE_TOKEN) {
            out.timer(now + PULSE_NS, PULSE_TOKEN);
        } else if (token == WAIT_TOKEN) {
            armed = false;
            drain(now);
            arm(now);
        } else if (token == asked) {
            ask(now);
        }
    }
}
