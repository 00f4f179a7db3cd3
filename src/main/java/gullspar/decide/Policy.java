package gullspar.decide;

import gullspar.decide.Ticket.Attempt;
import gullspar.decide.Ticket.Turn;
import java.util.ArrayList;
import java.util.HashMap;
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
    /** A guess at the time of a request where promises are limits: they tell nothing of what is usual. */
    private static final double GUESS_NS = 20e6;
    /** What a report says of the others' requests fades so fast to what is usual: unheard is not empty. */
    private static final double OTHERS_NS = 1e9;
    /** How often memories age. */
    private static final long AGE_NS = 50_000_000L;
    /** The proxy's own pulse: with none for twice as long it stood still. */
    private static final long PULSE_NS = 50_000_000L;
    /** Tokens of the timers for what waits and for the pulse; those below number the calls to discovery. */
    private static final long WAIT_TOKEN = 1L << 32;

    private static final long PULSE_TOKEN = WAIT_TOKEN + 1;

    private final Settings settings;
    private final Actions out;
    private final IntMap<Ticket> tickets = new IntMap<>();
    private final Map<Long, Turn> turns = new HashMap<>();
    /** Requests that wait here, those worth most first. */
    private final List<Ticket> waiting = new ArrayList<>();

    private final Classes classes = new Classes();
    private final ZoneFigures zones;
    private final TrafficRates rates;
    private final ServerWeights weights;
    private final Servers servers;
    private final Ejection ejection;
    private final Rotation rotation;
    private final Admission admission;
    private final RepeatRules repeats;
    private final RetryBudget retries = new RetryBudget();
    private final Outcomes outcomes;
    private final DiscoveryCalls discovery;
    private List<Profile> profiles;
    private long minPromise;
    private long agedAt;
    private long heardAt;
    private long wokeAt;
    /** The class of which the last offer found no room. */
    private Profile full;

    private boolean armed;

    public Policy(Settings settings, long seed, long now, Actions out) {
        this.settings = settings;
        this.out = out;
        SplittableRandom random = new SplittableRandom(seed);
        minPromise = shortest(settings.profiles());
        // The first guess is soon forgotten.
        KindPaces kinds = new KindPaces(settings.listWeights() ? GUESS_NS : minPromise / 6.0, now);
        zones = new ZoneFigures(now);
        rates = new TrafficRates(now);
        weights = new ServerWeights(settings, zones);
        servers = new Servers(settings, random, zones, kinds, weights);
        ejection = new Ejection(servers.all());
        rotation = new Rotation(
                settings,
                servers.all(),
                zones,
                weights,
                ejection,
                new ColdBudget(settings, zones, rates, weights),
                classes);
        admission = new Admission(settings, classes, rates);
        repeats = new RepeatRules(settings);
        outcomes = new Outcomes(settings, classes, rates, zones, kinds, weights, ejection, servers);
        discovery = new DiscoveryCalls(settings, random, out);
        onProfiles(settings.profiles());
        agedAt = now;
        heardAt = now;
        out.timer(now + PULSE_NS, PULSE_TOKEN);
        if (settings.askForList()) {
            discovery.ask(now);
        }
    }

    private static long shortest(List<Profile> profiles) {
        return profiles.stream().mapToLong(Profile::promiseNs).min().orElse(0);
    }

    @Override
    public void onProfiles(List<Profile> known) {
        profiles = List.copyOf(known);
        minPromise = shortest(known);
        weights.promise(minPromise);
        outcomes.promise(minPromise);
        rotation.profiles(
                minPromise, known.stream().mapToDouble(Profile::worth).average().orElse(1));
        classes.know(profiles);
    }

    @Override
    public void onMembers(long now, ListKind kind, long version, List<Member> members) {
        if (kind == ListKind.FAILED) {
            discovery.failed(now);
            return;
        }
        if (kind != ListKind.CACHED) {
            discovery.answered();
        }
        servers.learn(now, kind, members);
    }

    // ---- requests ----

    /**
     * A proxy that stood still finds outcomes and time-outs that are its own fault, not the servers': what
     * comes in that moment teaches nothing of them. Hurts nobody: a moment later all counts again.
     */
    private void heard(long now) {
        if (now - heardAt > 2 * PULSE_NS) {
            wokeAt = now;
            servers.all().forEach(s -> s.owedSince = now);
        }
        heardAt = now;
    }

    @Override
    public void onRequest(long now, Request request) {
        heard(now);
        age(now);
        rates.arrived(now);
        Profile profile = profiles.get(request.profile());
        Ticket t = new Ticket(request, profile, admission.aim(request, profile, now), now + request.leftNs());
        tickets.put(request.ticket(), t);
        if (t.profile.sequential() && request.key() != 0) {
            t.turn = turns.computeIfAbsent(request.key(), k -> new Turn());
            t.turn.queue.add(t);
        }
        retries.earn();
        if (!offer(t, now)) {
            int at = waiting.size();
            while (at > 0 && waiting.get(at - 1).profile.worth() <= t.profile.worth()) {
                at--;
            }
            waiting.add(at, t);
            arm(now);
        }
    }

    private void age(long now) {
        if (now - agedAt <= AGE_NS) {
            return;
        }
        double keepRates = keep(now, TrafficRates.RATE_NS);
        zones.age(keepRates, keep(now, KindPaces.MEMORY_NS));
        classes.age(keepRates);
        rates.age(keep(now, ZoneFigures.USUAL_NS));
        double keepOthers = keep(now, OTHERS_NS);
        for (Server s : servers.all()) {
            s.fresh *= keepOthers;
            s.others = s.fresh * s.heard + (1 - s.fresh) * zones.usualOthers(s.zone());
        }
        turns.values().removeIf(u -> u.queue.isEmpty() && now >= u.restUntil);
        agedAt = now;
    }

    /** What is kept, by now, of a memory of that length. */
    private double keep(long now, double memoryNs) {
        return Math.exp((agedAt - now) / memoryNs);
    }

    /**
     * Sends a first attempt while a server has room; else it waits here, where it costs no server anything
     * and can still be refused harmlessly. True if it need not wait (any longer).
     */
    private boolean offer(Ticket t, long now) {
        if (t.over) {
            return true;
        }
        boolean held = !inTurn(t, now) || admission.throttled();
        Server s = held || endHopeless(t, now) ? null : pick(t, now);
        if (s != null) {
            send(t, s, now);
            return true;
        }
        full = held ? full : t.profile;
        return endHopeless(t, now);
    }

    private Server pick(Ticket t, long now) {
        return rotation.pick(t, repeats.bound(t), servers.subset(rates.arrivals, minPromise), now);
    }

    /** Ends a request that cannot be served in time; true if it is over. */
    private boolean endHopeless(Ticket t, long now) {
        if (!t.over && admission.hopeless(t, now)) {
            end(t);
        }
        return t.over;
    }

    private void arm(long now) {
        if (!armed && !waiting.isEmpty()) {
            armed = true;
            out.timer(now + Admission.HOLD_NS, WAIT_TOKEN);
        }
    }

    /** Offers what waits again; after the first of a class that stays, the rest are only checked for time. */
    private void drain(long now) {
        full = null;
        // All are looked at, not the head alone: a client's repeat behind it may have less time left.
        waiting.removeIf(t -> t.profile == full ? endHopeless(t, now) : offer(t, now));
    }

    private void send(Ticket t, Server s, long now) {
        Attempt bound = repeats.bound(t);
        t.attempts.add(new Attempt(s, s.load(), now));
        t.out++;
        s.owedSince = s.out++ == 0 ? now : s.owedSince;
        s.tokens--;
        rates.sent++;
        zones.sent(s.zone());
        // An answer that would earn nothing leaves the server, unless a repeat would then run beside it.
        boolean cut = settings.mayCancel() && t.profile.lateShare() == 0 && !RepeatRules.droppedEverywhere(t.profile);
        long most = Math.min(
                cut ? Math.max(1, t.aim - now) : Long.MAX_VALUE,
                t.profile.attemptNs() > 0 ? t.profile.attemptNs() : Long.MAX_VALUE);
        out.send(t.request.ticket(), s.id, most == Long.MAX_VALUE ? 0 : most, repeats.withinNs(t, bound, now));
    }

    /**
     * A further attempt elsewhere, within the rules and the retry budget. Where the list's weights count, one
     * after a connection that was not to be had needs none: it is no more load than a first try there, and
     * without reports nothing else keeps first tries from a server that is gone.
     */
    private void again(Ticket t, long now) {
        Status last = t.attempts.get(t.attempts.size() - 1).ended;
        boolean broke = last == Status.RESET || last == Status.CONNECT_FAILED;
        boolean free = settings.listWeights() && last == Status.CONNECT_FAILED;
        if ((free || retries.has(broke)) && repeats.mayAttempt(t, now)) {
            Server s = pick(t, now);
            if (s != null) {
                if (!free) {
                    retries.spend(broke);
                }
                send(t, s, now);
            }
        }
    }

    /** The final answer where no attempt served: refused if a repeat is harmless, else failed. */
    private void end(Ticket t) {
        rates.unsent += t.attempts.isEmpty() ? 1 : 0;
        if (repeats.refusable(t)) {
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
        if (t.turn != null) {
            t.turn.queue.remove(t);
        }
    }

    @Override
    public void onStreamBegun(long now, int ticket, int attempt, int server, long elapsedNs) {
        Ticket t = tickets.get(ticket);
        if (t != null) {
            t.begun = true;
        }
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
        if (t.turn != null
                && (o.status() == Status.TIMEOUT || o.status() == Status.RESET || o.status() == Status.CANCELLED)) {
            t.turn.restUntil = now + settings.turnGapNs();
        }
        if (now != wokeAt) {
            outcomes.learn(t, a, o, now);
        }
        weights.report(a.to, now, o.report());
        if (o.over() && !t.over) {
            close(t);
        } else if (t.over && t.out == 0) {
            forget(t);
        } else if (!t.over && t.out == 0) {
            again(t, now);
            if (t.out == 0) {
                end(t);
            }
        }
        drain(now);
    }

    @Override
    public int avoided() {
        return (int) servers.all().stream()
                .filter(s -> s.named && s.listed.state() != State.GONE && (s.ejected || !s.ready()))
                .count();
    }

    @Override
    public void onWithdrawn(long now, int ticket) {
        Ticket t = tickets.get(ticket);
        if (t != null && !t.over) {
            t.leftEarly = now < t.aim;
            close(t);
        }
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
        } else {
            discovery.onTimer(now, token);
        }
    }
}
