package gullspar.decide;

import gullspar.decide.TrackedRequest.Attempt;
import gullspar.decide.TrackedRequest.KeyQueue;
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
    private static final double INITIAL_SERVICE_NS = 20e6;
    /** What a report says of the others' requests fades so fast to what is usual: unheard is not empty. */
    private static final double FOREIGN_LOAD_DECAY_NS = 1e9;
    /** How often memories age. */
    private static final long DECAY_INTERVAL_NS = 50_000_000L;
    /** The proxy's own pulse: with none for twice as long it stood still. */
    private static final long HEARTBEAT_NS = 50_000_000L;
    /** Tokens of the timers for what waits and for the pulse; those below number the calls to discovery. */
    private static final long WAITING_TIMER = 1L << 32;

    private static final long HEARTBEAT_TIMER = WAITING_TIMER + 1;

    private final Settings settings;
    private final Actions actions;
    private final IntMap<TrackedRequest> requests = new IntMap<>();
    private final Map<Long, KeyQueue> keyQueues = new HashMap<>();
    /** Requests that wait here, those worth most first. */
    private final List<TrackedRequest> waiting = new ArrayList<>();

    private final Classes classes = new Classes();
    private final ZoneStats zones;
    private final TrafficRates rates;
    private final ServerWeights weights;
    private final Servers servers;
    private final Ejection ejection;
    private final Rotation rotation;
    private final Admission admission;
    private final RepeatRules repeatRules;
    private final RetryBudget retryBudget = new RetryBudget();
    private final Outcomes outcomes;
    private final DiscoveryCalls discoveryCalls;
    private List<Profile> profiles;
    private long minLatencyTargetNs;
    private long decayedAt;
    private long lastEventAt;
    private long resumedAt;
    /** The class of which the last offer found no room. */
    private Profile classWithoutRoom;

    private boolean isWaitingTimerSet;

    public Policy(Settings settings, long seed, long now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        SplittableRandom random = new SplittableRandom(seed);
        minLatencyTargetNs = shortestLatencyTargetNs(settings.profiles());
        // The first guess is soon forgotten.
        KindServiceTimes serviceTimes =
                new KindServiceTimes(settings.usesListWeights() ? INITIAL_SERVICE_NS : minLatencyTargetNs / 6.0, now);
        zones = new ZoneStats(now);
        rates = new TrafficRates(now);
        weights = new ServerWeights(settings, zones);
        servers = new Servers(settings, random, zones, serviceTimes, weights);
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
        repeatRules = new RepeatRules(settings);
        outcomes = new Outcomes(settings, classes, rates, zones, serviceTimes, weights, ejection, servers);
        discoveryCalls = new DiscoveryCalls(settings, random, actions);
        onProfiles(settings.profiles());
        decayedAt = now;
        lastEventAt = now;
        actions.setTimer(now + HEARTBEAT_NS, HEARTBEAT_TIMER);
        if (settings.listOnRequest()) {
            discoveryCalls.requestList(now);
        }
    }

    private static long shortestLatencyTargetNs(List<Profile> profiles) {
        return profiles.stream().mapToLong(Profile::latencyTargetNs).min().orElse(0);
    }

    @Override
    public void onProfiles(List<Profile> newProfiles) {
        profiles = List.copyOf(newProfiles);
        minLatencyTargetNs = shortestLatencyTargetNs(newProfiles);
        weights.setMinLatencyTarget(minLatencyTargetNs);
        outcomes.setMinLatencyTarget(minLatencyTargetNs);
        rotation.setTargets(
                minLatencyTargetNs,
                newProfiles.stream().mapToDouble(Profile::worth).average().orElse(1));
        classes.setProfiles(profiles);
    }

    @Override
    public void onServerList(long now, ListKind kind, long version, List<ListedServer> listed) {
        if (kind == ListKind.FAILED) {
            discoveryCalls.onFailure(now);
            return;
        }
        if (kind != ListKind.CACHED) {
            discoveryCalls.onAnswer();
        }
        servers.applyList(now, kind, listed);
    }

    // ---- requests ----

    /**
     * A proxy that stood still finds outcomes and time-outs that are its own fault, not the servers': what
     * comes in that moment teaches nothing of them. Hurts nobody: a moment later all counts again.
     */
    private void detectStandstill(long now) {
        if (now - lastEventAt > 2 * HEARTBEAT_NS) {
            resumedAt = now;
            servers.all().forEach(s -> s.awaitingSince = now);
        }
        lastEventAt = now;
    }

    @Override
    public void onRequest(long now, Request request) {
        detectStandstill(now);
        decay(now);
        rates.recordArrival(now);
        Profile profile = profiles.get(request.profile());
        TrackedRequest t = new TrackedRequest(
                request, profile, admission.usefulUntil(request, profile, now), now + request.timeLeftNs());
        requests.put(request.ticket(), t);
        if (t.profile.sequential() && request.key() != 0) {
            t.keyQueue = keyQueues.computeIfAbsent(request.key(), k -> new KeyQueue());
            t.keyQueue.requests.add(t);
        }
        retryBudget.earn();
        if (!trySend(t, now)) {
            int at = waiting.size();
            while (at > 0 && waiting.get(at - 1).profile.worth() <= t.profile.worth()) {
                at--;
            }
            waiting.add(at, t);
            setWaitingTimer(now);
        }
    }

    private void decay(long now) {
        if (now - decayedAt <= DECAY_INTERVAL_NS) {
            return;
        }
        double keepRates = retention(now, TrafficRates.DECAY_NS);
        zones.decay(keepRates, retention(now, KindServiceTimes.DECAY_NS));
        classes.decay(keepRates);
        rates.decay(retention(now, ZoneStats.DECAY_NS));
        double keepOthers = retention(now, FOREIGN_LOAD_DECAY_NS);
        for (Server s : servers.all()) {
            s.reportFreshness *= keepOthers;
            s.foreignLoad = s.reportFreshness * s.reportedForeignLoad
                    + (1 - s.reportFreshness) * zones.typicalForeignLoad(s.zone());
        }
        keyQueues.values().removeIf(u -> u.requests.isEmpty() && now >= u.blockedUntil);
        decayedAt = now;
    }

    /** What is kept, by now, of a memory of that length. */
    private double retention(long now, double decayNs) {
        return Math.exp((decayedAt - now) / decayNs);
    }

    /**
     * Sends a first attempt while a server has room; else it waits here, where it costs no server anything
     * and can still be refused harmlessly. True if it need not wait (any longer).
     */
    private boolean trySend(TrackedRequest t, long now) {
        if (t.isFinished) {
            return true;
        }
        boolean isHeld = !isNextOfKey(t, now) || admission.isThrottled();
        Server s = isHeld || endIfHopeless(t, now) ? null : pick(t, now);
        if (s != null) {
            send(t, s, now);
            return true;
        }
        classWithoutRoom = isHeld ? classWithoutRoom : t.profile;
        return endIfHopeless(t, now);
    }

    private Server pick(TrackedRequest t, long now) {
        return rotation.pick(
                t, repeatRules.bindingAttempt(t), servers.subsetSize(rates.arrivals, minLatencyTargetNs), now);
    }

    /** Ends a request that cannot be served in time; true if it is over. */
    private boolean endIfHopeless(TrackedRequest t, long now) {
        if (!t.isFinished && admission.isHopeless(t, now)) {
            answerUnserved(t);
        }
        return t.isFinished;
    }

    private void setWaitingTimer(long now) {
        if (!isWaitingTimerSet && !waiting.isEmpty()) {
            isWaitingTimerSet = true;
            actions.setTimer(now + Admission.WAITING_CHECK_NS, WAITING_TIMER);
        }
    }

    /** Offers what waits again; after the first of a class that stays, the rest are only checked for time. */
    private void dispatchWaiting(long now) {
        classWithoutRoom = null;
        // All are looked at, not the head alone: a client's repeat behind it may have less time left.
        waiting.removeIf(t -> t.profile == classWithoutRoom ? endIfHopeless(t, now) : trySend(t, now));
    }

    private void send(TrackedRequest t, Server s, long now) {
        Attempt binding = repeatRules.bindingAttempt(t);
        t.attempts.add(new Attempt(s, s.load(), now));
        t.openAttempts++;
        s.awaitingSince = s.openAttempts++ == 0 ? now : s.awaitingSince;
        s.tokens--;
        rates.sent++;
        zones.sent(s.zone());
        // An answer that would earn nothing leaves the server, unless a repeat would then run beside it.
        boolean isCutWhenLate =
                settings.canCancel() && t.profile.lateShare() == 0 && !RepeatRules.isDroppedEverywhere(t.profile);
        long timeoutNs = Math.min(
                isCutWhenLate ? Math.max(1, t.usefulUntil - now) : Long.MAX_VALUE,
                t.profile.attemptTimeoutNs() > 0 ? t.profile.attemptTimeoutNs() : Long.MAX_VALUE);
        actions.send(
                t.request.ticket(),
                s.id,
                timeoutNs == Long.MAX_VALUE ? 0 : timeoutNs,
                repeatRules.startWithinNs(t, binding, now));
    }

    /**
     * A further attempt elsewhere, within the rules and the retry budget. Where the list's weights count, one
     * after a connection that was not to be had needs none: it is no more load than a first try there, and
     * without reports nothing else keeps first tries from a server that is gone.
     */
    private void retry(TrackedRequest t, long now) {
        Status last = t.attempts.get(t.attempts.size() - 1).status;
        boolean connectionFailed = last == Status.RESET || last == Status.CONNECT_FAILED;
        boolean isFree = settings.usesListWeights() && last == Status.CONNECT_FAILED;
        if ((isFree || retryBudget.canSpend(connectionFailed)) && repeatRules.canAttempt(t, now)) {
            Server s = pick(t, now);
            if (s != null) {
                if (!isFree) {
                    retryBudget.spend(connectionFailed);
                }
                send(t, s, now);
            }
        }
    }

    /** The final answer where no attempt served: refused if a repeat is harmless, else failed. */
    private void answerUnserved(TrackedRequest t) {
        rates.unsent += t.attempts.isEmpty() ? 1 : 0;
        if (repeatRules.canRefuse(t)) {
            actions.refuse(t.request.ticket(), settings.maxRetryAfterNs());
        } else {
            actions.fail(t.request.ticket());
        }
        finish(t);
    }

    private void finish(TrackedRequest t) {
        t.isFinished = true;
        if (t.openAttempts == 0) {
            release(t);
        } else if (settings.canCancel()) {
            actions.cancel(t.request.ticket(), t.attempts.size() - 1); // never more than one is out
        }
    }

    /**
     * Order: one that follows waits until each earlier one of its key is over and has no attempt out, and
     * until the key has rested from attempts that may still be running.
     */
    private static boolean isNextOfKey(TrackedRequest t, long now) {
        return t.keyQueue == null || t.keyQueue.requests.peek() == t && now >= t.keyQueue.blockedUntil;
    }

    /** Its last attempt has ended: the next of its key may run. */
    private void release(TrackedRequest t) {
        requests.remove(t.request.ticket());
        if (t.keyQueue != null) {
            t.keyQueue.requests.remove(t);
        }
    }

    @Override
    public void onStreamStarted(long now, int ticket, int attempt, int server, long elapsedNs) {
        TrackedRequest t = requests.get(ticket);
        if (t != null) {
            t.isStreaming = true;
        }
    }

    @Override
    public void onOutcome(long now, Outcome o) {
        detectStandstill(now);
        TrackedRequest t = requests.get(o.ticket());
        if (t == null || o.attempt() >= t.attempts.size() || t.attempts.get(o.attempt()).status != null) {
            return;
        }
        Attempt a = t.attempts.get(o.attempt());
        a.status = o.status();
        t.openAttempts--;
        a.server.openAttempts--;
        if (t.keyQueue != null
                && (o.status() == Status.TIMEOUT || o.status() == Status.RESET || o.status() == Status.CANCELLED)) {
            t.keyQueue.blockedUntil = now + settings.sequentialGapNs();
        }
        if (now != resumedAt) {
            outcomes.record(t, a, o, now);
        }
        weights.applyReport(a.server, now, o.report());
        if (o.isFinal() && !t.isFinished) {
            finish(t);
        } else if (t.isFinished && t.openAttempts == 0) {
            release(t);
        } else if (!t.isFinished && t.openAttempts == 0) {
            retry(t, now);
            if (t.openAttempts == 0) {
                answerUnserved(t);
            }
        }
        dispatchWaiting(now);
    }

    @Override
    public int avoidedServers() {
        return (int) servers.all().stream()
                .filter(s -> s.isListed && s.listed.state() != State.GONE && (s.isEjected || !s.isReady()))
                .count();
    }

    @Override
    public void onClientDisconnected(long now, int ticket) {
        TrackedRequest t = requests.get(ticket);
        if (t != null && !t.isFinished) {
            t.clientLeftEarly = now < t.usefulUntil;
            finish(t);
        }
    }

    @Override
    public void onTimer(long now, long token) {
        detectStandstill(now);
        if (token == HEARTBEAT_TIMER) {
            actions.setTimer(now + HEARTBEAT_NS, HEARTBEAT_TIMER);
        } else if (token == WAITING_TIMER) {
            isWaitingTimerSet = false;
            dispatchWaiting(now);
            setWaitingTimer(now);
        } else {
            discoveryCalls.onTimer(now, token);
        }
    }
}
