package gullspar.site;

import gullspar.config.Site;
import gullspar.decide.Balancer;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.discovery.Discovery;
import gullspar.proxy.discovery.ListUpdate;
import gullspar.proxy.discovery.ListedBackend;
import gullspar.proxy.events.Events;
import gullspar.proxy.io.DescriptorLimits;
import gullspar.proxy.io.Platform;
import gullspar.route.ServerRotation;
import gullspar.site.backend.PlainBackends;
import gullspar.site.client.Clients;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * A pool: its own instance of the decision module, the list of servers given to it, and the connections to the
 * servers. It survives reloads: the state of the module is kept as long as the pool keeps its name.
 */
final class Pool implements Balancer.Actions, Discovery.Listener, PlainBackends.CapacityListener {
    private static final long MS = 1_000_000L;
    /** Settings of the module that matter only for servers with a cold start or for several proxies. */
    private static final double START_CAPACITY = 0.3, OVERLOAD_MULTIPLE = 3;

    private static final long COLD_START_NS = 10_000 * MS, FALL_NS = 2000 * MS, STEP_NS = 5 * MS;
    private static final int MAX_ATTEMPTS = 100;
    private static final long CLOSE_DELAY_MS = 300;

    final Platform platform;
    final PlainBackends backends;
    private final Events events;
    private final PoolClasses classes = new PoolClasses();
    private final Map<Integer, PoolExchange> exchanges = new HashMap<>();
    private final Map<String, Integer> idsByServer = new HashMap<>();
    private final Map<Integer, String> namesById = new HashMap<>();
    private final ServerRotation members = new ServerRotation(List.of());
    private final Discovery discovery;
    private Site.Pool declared;
    private long retryAfterNs;
    private int lastTicket;
    private int announcedClasses;
    private boolean closed;
    private long nextListAt = Long.MAX_VALUE;

    Pool(
            Platform platform,
            DescriptorLimits.Share sockets,
            Balancer.Factory factory,
            long seed,
            Site.Pool declared,
            long retryAfterNs) {
        this.platform = platform;
        this.events = new Events(platform);
        this.backends = new PlainBackends(platform, sockets, declared.connections(), this);
        this.retryAfterNs = retryAfterNs;
        this.declared = declared;
        this.announcedClasses = classes.size();
        this.discovery = declared.discovery() == null
                ? null
                : new Discovery(platform, Discovery.Source.pushed(declared.discovery()), this);
        events.setModule(factory.create(
                new Settings(
                        0,
                        1,
                        0,
                        classes.all(),
                        false,
                        true,
                        MAX_ATTEMPTS,
                        TimeUnit.SECONDS.toNanos(Clients.ceilSeconds(retryAfterNs)),
                        START_CAPACITY,
                        COLD_START_NS,
                        OVERLOAD_MULTIPLE,
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
            applyServers();
        } else {
            discovery.watch(true);
        }
    }

    /**
     * Applies a new declaration of the same pool and keeps all state that it does not affect. Returns false if
     * that is impossible: another balance mode or discovery service needs a new pool.
     */
    boolean reconfigure(Site.Pool newDeclaration, long newRetryAfterNs) {
        if (declared.balance() != newDeclaration.balance()
                || !Objects.equals(declared.discovery(), newDeclaration.discovery())) {
            return false;
        }
        boolean same = declared.servers().equals(newDeclaration.servers())
                && declared.endpoints().equals(newDeclaration.endpoints());
        retryAfterNs = newRetryAfterNs;
        declared = newDeclaration;
        backends.setLimits(newDeclaration.connections());
        if (!same) {
            applyServers();
        }
        return true;
    }

    /** Applies the declared servers to connections and module. */
    private void applyServers() {
        members.reconfigure(declared.servers());
        Set<Integer> now =
                declared.endpoints().keySet().stream().map(this::serverId).collect(Collectors.toSet());
        namesById.keySet().stream().filter(id -> !now.contains(id)).toList().forEach(this::forget);
        declared.endpoints().forEach((name, place) -> {
            namesById.put(serverId(name), name);
            backends.addServer(serverId(name), place.address(), place.maxConnections());
        });
        publishList();
    }

    /** The id of a server in the module; a server with another address is another server. */
    private int serverId(String name) {
        return idsByServer.computeIfAbsent(
                name + " " + declared.endpoints().get(name).address(), n -> idsByServer.size() + 1);
    }

    private void forget(int id) {
        namesById.remove(id);
        backends.removeServer(id);
    }

    /**
     * Closes a pool that is no longer configured: open requests end, and waiting ones have CLOSE_DELAY_MS left to
     * be sent, less than the grace after the notice of a drain.
     */
    void close() {
        closed = true;
        if (discovery != null) {
            discovery.watch(false);
        }
        platform.loop()
                .schedule(
                        () -> {
                            events.enqueueBackendUpdate(
                                    (now, module) -> module.onServerList(now, ListKind.FULL, 0, List.of()));
                            backends.removeAllServers();
                        },
                        CLOSE_DELAY_MS,
                        TimeUnit.MILLISECONDS);
    }

    void sweep() {
        backends.sweep();
    }

    boolean closeIdleConnection() {
        return backends.closeIdleConnection();
    }

    boolean isDone() {
        return closed && exchanges.isEmpty();
    }

    // ---- the list of servers ----

    /** Gives the module the current list, and schedules the next update if the list changes with time alone. */
    private void publishList() {
        if (discovery != null) {
            return;
        }
        long now = platform.clock().now();
        List<ListedServer> list = members.listedServers(now).stream()
                .map(l -> new ListedServer(serverId(l.server().name()), 0, State.READY, 0, 0, 0, l.weight()))
                .toList();
        events.enqueueBackendUpdate((at, module) -> module.onServerList(at, ListKind.FULL, 0, list));
        long next = members.nextChangeAtNs(now);
        if (next < nextListAt || nextListAt <= now) {
            nextListAt = next;
            if (next != Long.MAX_VALUE) {
                platform.loop().schedule(this::onListTimer, Math.max(MS, next - now), TimeUnit.NANOSECONDS);
            }
        }
    }

    private void onListTimer() {
        if (!closed) {
            nextListAt = Long.MAX_VALUE;
            publishList();
        }
    }

    @Override
    public void onFullChanged(int server, boolean full) {
        if (namesById.containsKey(server) && members.setFull(namesById.get(server), full)) {
            publishList();
        }
    }

    void onAttemptEnded(int server, Status status) {
        String name = namesById.get(server);
        if (name == null) {
            return;
        }
        switch (status) {
            case OK, MOOT -> members.onResponse(name);
            case FULL, CANCELLED -> {}
            default -> {
                if (members.onFailure(name, platform.clock().now())) {
                    platform.log().write("pool " + declared.name() + ": " + name + " ejected, failure limit reached");
                    publishList();
                }
            }
        }
    }

    @Override
    public void onUpdate(ListUpdate update) {
        if (update.kind() != ListKind.DELTA) {
            List<Integer> listed =
                    update.list().stream().map(l -> l.server().id()).toList();
            namesById.keySet().stream()
                    .filter(id -> !listed.contains(id))
                    .toList()
                    .forEach(this::forget);
        }
        for (ListedBackend l : update.list()) {
            if (l.server().state() == State.READY) {
                namesById.put(l.server().id(), l.address().toString());
                backends.addServer(l.server().id(), l.address(), 0);
            } else {
                forget(l.server().id());
            }
        }
        events.enqueueBackendUpdate((now, module) -> module.onServerList(
                now,
                update.kind(),
                update.version(),
                update.list().stream().map(ListedBackend::server).toList()));
    }

    @Override
    public void onWatchFailed() {
        // The watch reconnects by itself; the previous list stays in effect until then.
    }

    // ---- requests ----

    /** Registers a request and returns its ticket. */
    int register(PoolExchange exchange) {
        do {
            lastTicket++;
        } while (lastTicket == 0 || exchanges.containsKey(lastTicket));
        exchanges.put(lastTicket, exchange);
        return lastTicket;
    }

    /** The id of a class in the module, which gets the new list of classes if the class is new. */
    int classId(Profile p) {
        int id = classes.indexOf(p);
        if (classes.size() > announcedClasses) {
            announcedClasses = classes.size();
            List<Profile> all = classes.all();
            events.enqueueBackendUpdate((now, module) -> module.onProfiles(all));
        }
        return id;
    }

    /** Reports an event of a request to the module; an exception in the module affects only that request. */
    void notifyModule(Events.Event event, Runnable onFailure) {
        events.enqueue(event, onFailure);
    }

    void forget(PoolExchange exchange, int ticket) {
        exchanges.remove(ticket, exchange);
    }

    // ---- actions of the module ----

    @Override
    public void send(int ticket, int server, long timeoutNs) {
        PoolExchange c = exchanges.get(ticket);
        if (c != null) {
            c.send(server, timeoutNs);
        }
    }

    @Override
    public void refuse(int ticket, long retryInNs) {
        PoolExchange c = exchanges.get(ticket);
        if (c != null) {
            c.refuse(retryAfterNs > 0 ? retryInNs : 0);
        }
    }

    @Override
    public void fail(int ticket) {
        PoolExchange c = exchanges.get(ticket);
        if (c != null) {
            c.fail();
        }
    }

    @Override
    public void cancel(int ticket, int attempt) {
        PoolExchange c = exchanges.get(ticket);
        if (c != null) {
            c.cancel(attempt);
        }
    }

    @Override
    public void setTimer(long at, long token) {
        platform.loop()
                .schedule(
                        () -> {
                            if (!isDone()) {
                                events.enqueue((now, module) -> module.onTimer(now, token));
                            }
                        },
                        Math.max(0, at - platform.clock().now()),
                        TimeUnit.NANOSECONDS);
    }

    @Override
    public void closeIdleConnections(int server) {
        backends.closeIdleConnections(server);
    }

    @Override
    public void log(String line) {
        platform.log().write(line);
    }

    @Override
    public void subscribe(boolean on) {
        throw new UnsupportedOperationException("not supported: the list of a pool is pushed to the module");
    }

    @Override
    public void requestList() {
        throw new UnsupportedOperationException("not supported: the list of a pool is pushed to the module");
    }

    @Override
    public void probe(int server) {
        throw new UnsupportedOperationException("not supported: pools send no probes");
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        throw new UnsupportedOperationException("not supported: pools exchange no messages with peers");
    }
}
