package gullspar.decide;

import gullspar.decide.TrackedRequest.Attempt;
import gullspar.decide.TrackedRequest.KeyQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The decision module's event handling. The interface (types, events, actions) is in Balancer.java; docs/DESIGN.md
 * covers "[Proposal] X-Backend-Info: backend load/state reporting header for informed load balancing".
 *
 * <p>Normally load reports become factors (capacity x spare share, low during cold start), and requests follow
 * smooth weighted rotation over the factors, each reduced by the estimated queue of the server. Exceptions are
 * documented where they apply: own zone first and subsets (Rotation, Servers), waiting (trySend), overload
 * without reports (recordOverload), ejection and trials (Ejection), cold budget (ColdBudget), retries (retry).
 */
public final class Policy implements Balancer {
    /** Initial service time with list weights, where latency targets are upper limits and unrelated to it. */
    private static final double INITIAL_SERVICE_NS = 20e6;
    /** Decay time from a reported foreign load to the typical one: a server without recent reports is not idle. */
    private static final double FOREIGN_LOAD_DECAY_NS = 1e9;
    /** Interval at which decaying averages are updated. */
    private static final long DECAY_INTERVAL_NS = 50_000_000L;
    /** Timer tokens for waiting requests and the heartbeat; lower tokens number the calls to discovery. */
    private static final long WAITING_TIMER = 1L << 32;

    private static final long HEARTBEAT_TIMER = WAITING_TIMER + 1;

    private final Settings settings;
    private final Actions actions;
    private final IntMap<TrackedRequest> requests = new IntMap<>();
    private final OpenResponses openResponses = new OpenResponses();

    private final Map<Long, KeyQueue> keyQueues = new HashMap<>();
    /** Requests waiting for a server, by descending worth. */
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
    private final Heartbeat heartbeat;
    private long minLatencyTargetNs;
    private long decayedAt;
    private long lastEventAt;
    private long resumedAt;
    /** The class whose last request found no server with room. */
    private Profile classWithoutRoom;

    private boolean isWaitingTimerSet;

    public Policy(Settings settings, long seed, long now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        SplittableRandom random = new SplittableRandom(seed);
        minLatencyTargetNs = shortestLatencyTargetNs(settings.profiles());
        // Real service times soon replace the initial estimate.
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
        heartbeat = new Heartbeat(actions, HEARTBEAT_TIMER, now);
        if (settings.listOnRequest()) {
            discoveryCalls.subscribe(now);
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
     * After a stall, delays and timeouts are caused by the proxy, not by the servers: outcomes with the time of the
     * first event after it are not used as evidence about servers.
     */
    private void detectStall(long now) {
        if (now - lastEventAt > 2 * Heartbeat.INTERVAL_NS) {
            resumedAt = now;
            servers.all().forEach(s -> s.awaitingSince = now);
        }
        lastEventAt = now;
        heartbeat.setIfLost(now);
    }

    @Override
    public void onRequest(long now, Request request) {
        detectStall(now);
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
        double keepRates = retention(now, TrafficRates.SENDS_DECAY_NS);
        zones.decay(keepRates, retention(now, KindServiceTimes.DECAY_NS));
        classes.decay(keepRates);
        rates.decay(retention(now, ZoneStats.LOAD_DECAY_NS));
        double keepOthers = retention(now, FOREIGN_LOAD_DECAY_NS);
        for (Server s : servers.all()) {
            s.reportFreshness *= keepOthers;
            s.foreignLoad = s.reportFreshness * s.reportedForeignLoad
                    + (1 - s.reportFreshness) * zones.typicalForeignLoad(s.zone());
        }
        keyQueues.values().removeIf(q -> q.requests.isEmpty() && now >= q.blockedUntil);
        decayedAt = now;
    }

    /** Share of a decaying average that remains now, for this decay time. */
    private double retention(long now, double decayNs) {
        return Math.exp((decayedAt - now) / decayNs);
    }

    /**
     * Sends a first attempt if a server has room. Otherwise the request waits in the proxy, where it uses no server
     * and can still be refused safely. Returns true if it has been sent or finished.
     */
    private boolean trySend(TrackedRequest t, long now) {
        if (t.isFinished) {
            return true;
        }
        boolean isHeld = !isNextOfKey(t, now) || admission.isThrottled();
        Server s = isHeld || endIfTooLittleTime(t, now) ? null : pick(t, now);
        if (s != null) {
            send(t, s, now);
            return true;
        }
        classWithoutRoom = isHeld ? classWithoutRoom : t.profile;
        return endIfTooLittleTime(t, now);
    }

    private Server pick(TrackedRequest t, long now) {
        return rotation.pick(
                t, repeatRules.bindingAttempt(t), servers.subsetSize(rates.arrivals, minLatencyTargetNs), now);
    }

    /** Ends a request that cannot be served in time; returns true if it is finished. */
    private boolean endIfTooLittleTime(TrackedRequest t, long now) {
        if (!t.isFinished && admission.hasTooLittleTime(t, now)) {
            answerUnserved(t, now);
        }
        return t.isFinished;
    }

    private void setWaitingTimer(long now) {
        if (!isWaitingTimerSet && !waiting.isEmpty()) {
            actions.setTimer(now + Admission.WAITING_CHECK_NS, WAITING_TIMER);
            isWaitingTimerSet = true;
        }
    }

    /** Retries waiting requests; once one of a class finds no room, others of it are only checked for time. */
    private void dispatchWaiting(long now) {
        classWithoutRoom = null;
        // All are checked, not only the head: a client's repeat behind it may have less time left.
        waiting.removeIf(t -> t.profile == classWithoutRoom ? endIfTooLittleTime(t, now) : trySend(t, now));
    }

    private void send(TrackedRequest t, Server s, long now) {
        Attempt binding = repeatRules.bindingAttempt(t);
        t.attempts.add(new Attempt(s, s.load(), now));
        t.openAttempts++;
        s.awaitingSince = s.openAttempts++ == 0 ? now : s.awaitingSince;
        s.tokens--;
        rates.sent++;
        zones.recordSend(s.zone());
        // An attempt whose answer would earn nothing is cut off, unless a client's repeat could then run beside it.
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
     * Retries on another server, within the repeat rules and the retry budget. With list weights a retry after
     * a failed connect needs no budget: it adds no more load than a first attempt, and without reports nothing
     * else keeps first attempts away from a server that is down.
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

    /** Sends the final answer if no attempt succeeded: refused if a repeat is safe, else failed. */
    private void answerUnserved(TrackedRequest t, long now) {
        rates.unsent += t.attempts.isEmpty() ? 1 : 0;
        if (repeatRules.canRefuse(t, now)) {
            actions.refuse(t.request.ticket(), repeatRules.retryAfterNs(t, now));
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
            actions.cancel(t.request.ticket(), t.attempts.size() - 1); // at most one attempt is open
        }
    }

    /**
     * Whether a sequential request may run: each earlier one of its key is finished with no open attempt, and
     * the key is no longer blocked by attempts that may still be running.
     */
    private static boolean isNextOfKey(TrackedRequest t, long now) {
        return t.keyQueue == null || t.keyQueue.requests.peek() == t && now >= t.keyQueue.blockedUntil;
    }

    /** Removes a request whose last attempt has ended, so that the next of its key may run. */
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
        detectStall(now);
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
                answerUnserved(t, now);
            }
        }
        dispatchWaiting(now);
    }

    @Override
    public void onResponseOpened(long now, int ticket, int server) {
        openResponses.add(ticket, servers.get(server));
    }

    @Override
    public void onResponseClosed(long now, int ticket) {
        openResponses.remove(ticket);
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
        detectStall(now);
        if (token == HEARTBEAT_TIMER) {
            heartbeat.onTimer(now);
            setWaitingTimer(now);
        } else if (token == WAITING_TIMER) {
            isWaitingTimerSet = false;
            dispatchWaiting(now);
            setWaitingTimer(now);
        } else {
            discoveryCalls.onTimer(now, token);
        }
    }
}
