package gullspar.site;

import gullspar.config.Site;
import gullspar.decide.Balancer;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.Member;
import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.discovery.Discovery;
import gullspar.proxy.discovery.ListUpdate;
import gullspar.proxy.discovery.ListedBackend;
import gullspar.proxy.events.Events;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.Sockets;
import gullspar.route.ServerRotation;
import gullspar.site.backend.PlainBackends;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * A pool: its own instance of the decision module, who is listed to that, and the connections to the servers.
 * It outlives configurations: what the module has learnt stays as long as the pool keeps its name.
 */
final class Pool implements Balancer.Actions, Discovery.Listener, PlainBackends.Places {
    private static final long MS = 1_000_000L;
    /** The figures of the module that only servers which start cold or several proxies need. */
    private static final double START_CAPACITY = 0.3, TIP_MULTIPLE = 3;

    private static final long COLD_NS = 10_000 * MS, FALL_NS = 2000 * MS, STEP_NS = 5 * MS;
    private static final int MOST_ATTEMPTS = 100;
    private static final long LAST_MS = 300;

    final Platform platform;
    final PlainBackends backends;
    private final Events events;
    private final Classes classes = new Classes();
    private final Map<Integer, Call> calls = new HashMap<>();
    private final Map<String, Integer> numbers = new HashMap<>();
    private final Map<Integer, String> names = new HashMap<>();
    private final ServerRotation members = new ServerRotation(List.of());
    private final Discovery discovery;
    private Site.Pool declared;
    private long retryAfterNs;
    private int tickets;
    private int told;
    private boolean closed;
    private long changesAt = Long.MAX_VALUE;

    Pool(
            Platform platform,
            Sockets.Share sockets,
            Balancer.Factory factory,
            long seed,
            Site.Pool declared,
            long retryAfterNs) {
        this.platform = platform;
        this.events = new Events(platform);
        this.backends = new PlainBackends(platform, sockets, declared.connections(), this);
        this.retryAfterNs = retryAfterNs;
        this.declared = declared;
        this.told = classes.size();
        this.discovery = declared.discovery() == null
                ? null
                : new Discovery(platform, Discovery.Source.pushed(declared.discovery()), this);
        events.to(factory.create(
                new Settings(
                        0,
                        1,
                        0,
                        classes.all(),
                        false,
                        true,
                        MOST_ATTEMPTS,
                        Math.max(1, retryAfterNs),
                        START_CAPACITY,
                        COLD_NS,
                        TIP_MULTIPLE,
                        FALL_NS,
                        0,
                        STEP_NS,
                        0,
                        false,
                        0,
                        declared.balance() == Site.Balance.WEIGHTS),
                seed,
                platform.clock().now(),
                this));
        if (discovery == null) {
            serve();
        } else {
            discovery.watch(true);
        }
    }

    /**
     * Takes over another declaration of the same name, and keeps all that it knows of what has not changed.
     * False if it cannot: another way to choose, or to find servers, takes another pool.
     */
    boolean declare(Site.Pool next, long retryNs) {
        if (declared.balance() != next.balance() || !Objects.equals(declared.discovery(), next.discovery())) {
            return false;
        }
        boolean same = declared.servers().equals(next.servers())
                && declared.endpoints().equals(next.endpoints());
        retryAfterNs = retryNs;
        declared = next;
        backends.limit(next.connections());
        if (!same) {
            serve();
        }
        return true;
    }

    /** Takes in the servers as they are declared now. */
    private void serve() {
        members.reconfigure(declared.servers());
        Set<Integer> now =
                declared.endpoints().keySet().stream().map(this::number).collect(Collectors.toSet());
        names.keySet().stream().filter(id -> !now.contains(id)).toList().forEach(this::forget);
        declared.endpoints().forEach((name, place) -> {
            names.put(number(name), name);
            backends.ready(number(name), place.address(), place.maxConnections());
        });
        list();
    }

    /** By which the module knows a server: another address is another server. */
    private int number(String name) {
        return numbers.computeIfAbsent(
                name + " " + declared.endpoints().get(name).address(), n -> numbers.size() + 1);
    }

    private void forget(int id) {
        names.remove(id);
        backends.leave(id);
    }

    /**
     * No configuration names it any more: what is in hand ends, and what waits has a moment left to go out,
     * shorter than the grace that is granted after news of a drain.
     */
    void close() {
        closed = true;
        if (discovery != null) {
            discovery.watch(false);
        }
        platform.loop()
                .schedule(
                        () -> {
                            events.news((now, module) -> module.onMembers(now, ListKind.FULL, 0, List.of()));
                            backends.leaveAll();
                        },
                        LAST_MS,
                        TimeUnit.MILLISECONDS);
    }

    void sweep() {
        backends.sweep();
    }

    boolean closeOneIdle() {
        return backends.closeOneIdle();
    }

    boolean done() {
        return closed && calls.isEmpty();
    }

    // ---- who is listed ----

    /** Tells the module who is listed now, and comes again when time alone changes that. */
    private void list() {
        if (discovery != null) {
            return;
        }
        long now = platform.clock().now();
        List<Member> list = members.listedServers(now).stream()
                .map(l -> new Member(number(l.server().name()), 0, State.READY, 0, 0, 0, l.weight()))
                .toList();
        events.news((at, module) -> module.onMembers(at, ListKind.FULL, 0, list));
        long next = members.nextChangeAtNs(now);
        if (next < changesAt || changesAt <= now) {
            changesAt = next;
            if (next != Long.MAX_VALUE) {
                platform.loop().schedule(this::timePassed, Math.max(MS, next - now), TimeUnit.NANOSECONDS);
            }
        }
    }

    private void timePassed() {
        if (!closed) {
            changesAt = Long.MAX_VALUE;
            list();
        }
    }

    @Override
    public void full(int server, boolean full) {
        if (names.containsKey(server) && members.setFull(names.get(server), full)) {
            list();
        }
    }

    /** An attempt at a server has ended so. */
    void ended(int server, Status status) {
        String name = names.get(server);
        if (name == null) {
            return;
        }
        switch (status) {
            case OK, MOOT -> members.onResponse(name);
            case FULL, CANCELLED -> {}
            default -> {
                if (members.onFailure(name, platform.clock().now())) {
                    platform.log().say("pool " + declared.name() + ": " + name + " is out for its failures");
                    list();
                }
            }
        }
    }

    @Override
    public void onUpdate(ListUpdate news) {
        if (news.kind() != ListKind.DELTA) {
            List<Integer> listed =
                    news.list().stream().map(l -> l.member().id()).toList();
            names.keySet().stream().filter(id -> !listed.contains(id)).toList().forEach(this::forget);
        }
        for (ListedBackend l : news.list()) {
            if (l.member().state() == State.READY) {
                names.put(l.member().id(), l.address().toString());
                backends.ready(l.member().id(), l.address(), 0);
            } else {
                forget(l.member().id());
            }
        }
        events.news((now, module) -> module.onMembers(
                now,
                news.kind(),
                news.version(),
                news.list().stream().map(ListedBackend::member).toList()));
    }

    @Override
    public void onWatchFailed() {
        // A watch that is pushed opens itself again; the old list stands meanwhile.
    }

    // ---- requests ----

    /** A request of a class is to be told to the module; returns its ticket. */
    int take(Call call) {
        do {
            tickets++;
        } while (tickets == 0 || calls.containsKey(tickets));
        calls.put(tickets, call);
        return tickets;
    }

    /** The module's number for a class. */
    int profile(Profile p) {
        int place = classes.place(p);
        if (classes.size() > told) {
            told = classes.size();
            List<Profile> all = classes.all();
            events.news((now, module) -> module.onProfiles(all));
        }
        return place;
    }

    /** Tells the module something of a request; a slip of the module costs that request alone. */
    void tell(Events.Event event, Runnable afterSlip) {
        events.tell(event, afterSlip);
    }

    void forget(Call call, int ticket) {
        calls.remove(ticket, call);
    }

    // ---- the module's actions ----

    @Override
    public void send(int ticket, int server, long timeoutNs) {
        Call c = calls.get(ticket);
        if (c != null) {
            c.send(server, timeoutNs);
        }
    }

    @Override
    public void refuse(int ticket, long retryInNs) {
        Call c = calls.get(ticket);
        if (c != null) {
            c.refuse(retryAfterNs > 0 ? retryInNs : 0);
        }
    }

    @Override
    public void fail(int ticket) {
        Call c = calls.get(ticket);
        if (c != null) {
            c.fail();
        }
    }

    @Override
    public void cancel(int ticket, int attempt) {
        Call c = calls.get(ticket);
        if (c != null) {
            c.cancel(attempt);
        }
    }

    @Override
    public void timer(long at, long token) {
        platform.loop()
                .schedule(
                        () -> {
                            if (!done()) {
                                events.tell((now, module) -> module.onTimer(now, token));
                            }
                        },
                        Math.max(0, at - platform.clock().now()),
                        TimeUnit.NANOSECONDS);
    }

    @Override
    public void closeIdle(int server) {
        backends.closeIdle(server);
    }

    @Override
    public void log(String line) {
        platform.log().say(line);
    }

    @Override
    public void subscribe(boolean on) {
        throw new UnsupportedOperationException("a pool's list is pushed");
    }

    @Override
    public void reload() {
        throw new UnsupportedOperationException("a pool's list is pushed");
    }

    @Override
    public void probe(int server) {
        throw new UnsupportedOperationException("pools send no probes");
    }

    @Override
    public void tell(int peer, byte[] message) {
        throw new UnsupportedOperationException("pools talk to no peers");
    }
}
