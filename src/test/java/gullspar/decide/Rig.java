package gullspar.decide;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Scope;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** Drives one instance of the module by hand: a clock, a record of its actions and its timers. */
final class Rig implements Balancer.Actions {
    static final long MS = 1_000_000L;
    static final Profile SAFE = profile(Effect.IDEMPOTENT, Scope.ALL, 0);
    static final Profile KEYED = profile(Effect.DEDUPLICATED, Scope.ALL, 2000);
    static final Profile KEYED_ZONE = profile(Effect.DEDUPLICATED, Scope.ZONE, 400);
    static final Profile ONCE = profile(Effect.AT_MOST_ONCE, Scope.ALL, 0);
    static final Profile SAFE_IN_TURN = inTurn(SAFE);
    static final Profile ONCE_IN_TURN = inTurn(ONCE);

    final List<String> actions = new ArrayList<>();
    final Map<Integer, List<Integer>> sends = new HashMap<>();
    final Map<Integer, String> answers = new HashMap<>();
    final PriorityQueue<long[]> timers = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
    final Policy rules;
    long now = 1_000_000_000_000L;
    long lastTimeout;
    private int next;

    Rig(Settings settings) {
        this(settings, 7);
    }

    Rig(Settings settings, long seed) {
        rules = new Policy(settings, seed, now, this);
    }

    static Profile profile(Effect effect, Scope scope, long windowMs) {
        return new Profile(effect, scope, windowMs * MS, 250 * MS, 1000 * MS, 5, 0, false, false);
    }

    private static Profile inTurn(Profile p) {
        return new Profile(
                p.effect(),
                p.scope(),
                p.windowNs(),
                p.latencyTargetNs(),
                p.clientTimeoutNs(),
                p.worth(),
                p.lateShare(),
                p.streamed(),
                true);
    }

    static Settings settings(boolean ask, Profile... profiles) {
        return settings(0, 3, ask, profiles);
    }

    static Settings settings(int me, int balancers, boolean ask, Profile... profiles) {
        return settings(me, balancers, ask, false, profiles);
    }

    /** Strict: 'full' is no proof, and a key rests for 300 ms. */
    static Settings strict(Profile... profiles) {
        return settings(0, 3, false, true, profiles);
    }

    private static Settings settings(int me, int balancers, boolean ask, boolean strict, Profile... profiles) {
        return new Settings(
                me,
                balancers,
                0,
                List.of(profiles),
                ask,
                true,
                4,
                1000 * MS,
                0.3,
                9000 * MS,
                3,
                2000 * MS,
                ask ? 10_000 * MS : 0,
                5 * MS,
                0.1,
                strict,
                strict ? 300 * MS : 0);
    }

    static ListedServer member(int id, int zone, State state) {
        return new ListedServer(id, 0, state, 0, zone, zone, 1);
    }

    static ListedServer[] ready(int count) {
        ListedServer[] members = new ListedServer[count];
        for (int i = 0; i < count; i++) {
            members[i] = member(i, 0, State.READY);
        }
        return members;
    }

    Rig list(ListKind kind, ListedServer... members) {
        rules.onServerList(now, kind, 1, List.of(members));
        return this;
    }

    /** A new request; returns its ticket. */
    int request(int profile, long leftMs) {
        return request(profile, leftMs, 0);
    }

    int request(int profile, long leftMs, long key) {
        return take(profile, leftMs, key, false);
    }

    /** A client's repeat, marked as such. */
    int repeat(int profile, long leftMs) {
        return take(profile, leftMs, 0, true);
    }

    private int take(int profile, long leftMs, long key, boolean repeat) {
        int ticket = ++next;
        rules.onRequest(now, new Request(ticket, profile, 0, key, leftMs * MS, 0, repeat));
        return ticket;
    }

    int request() {
        return request(0, 1000);
    }

    /** The server of an attempt. */
    int server(int ticket, int attempt) {
        return sends.get(ticket).get(attempt);
    }

    int attempts(int ticket) {
        return sends.getOrDefault(ticket, List.of()).size();
    }

    void done(int ticket, int attempt, Status status, long tookMs, Report report) {
        boolean over = status == Status.OK || answers.containsKey(ticket);
        rules.onOutcome(now, new Outcome(ticket, attempt, server(ticket, attempt), status, tookMs * MS, over, report));
        if (status == Status.OK) {
            answers.putIfAbsent(ticket, "served");
        }
    }

    void ok(int ticket, long tookMs) {
        done(ticket, attempts(ticket) - 1, Status.OK, tookMs, null);
    }

    /** Lets time pass, delivering timers as they fall due, in steps of 5 ms. */
    Rig pass(long ms) {
        for (long end = now + ms * MS; now < end; ) {
            now += 5 * MS;
            while (!timers.isEmpty() && timers.peek()[0] <= now) {
                rules.onTimer(now, timers.poll()[1]);
            }
        }
        return this;
    }

    static Report util(double util, double inflight) {
        return new Report(inflight, Double.NaN, util, Double.NaN, Double.NaN, Double.NaN);
    }

    @Override
    public void send(int ticket, int server, long timeoutNs) {
        lastTimeout = timeoutNs;
        sends.computeIfAbsent(ticket, t -> new ArrayList<>()).add(server);
        actions.add("send " + ticket + " to " + server);
    }

    @Override
    public void refuse(int ticket, long retryInNs) {
        actions.add("refuse " + ticket);
        answers.merge(ticket, "refused", (a, b) -> a + " and " + b);
    }

    @Override
    public void fail(int ticket) {
        actions.add("fail " + ticket);
        answers.merge(ticket, "failed", (a, b) -> a + " and " + b);
    }

    @Override
    public void cancel(int ticket, int attempt) {
        actions.add("cancel " + ticket + " " + attempt);
    }

    @Override
    public void setTimer(long at, long token) {
        timers.add(new long[] {at, token});
    }

    @Override
    public void probe(int server) {
        actions.add("probe " + server);
    }

    @Override
    public void closeIdleConnections(int server) {
        actions.add("close " + server);
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        actions.add("tell " + peer);
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }

    @Override
    public void subscribe(boolean on) {
        actions.add("subscribe " + on);
    }

    @Override
    public void requestList() {
        actions.add("reload");
    }
}
