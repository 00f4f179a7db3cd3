package gullspar.site;

import gullspar.config.Site;
import gullspar.decide.Balancer;
import gullspar.proxy.http.MemoryBudget;
import gullspar.proxy.io.AcceptBackoff;
import gullspar.proxy.io.DescriptorLimits;
import gullspar.proxy.io.Platform;
import gullspar.proxy.operator.AuxiliaryService;
import gullspar.proxy.operator.OperatorEndpoint;
import gullspar.route.Router;
import gullspar.site.client.Clients;
import gullspar.site.client.PlainClient;
import gullspar.site.http.PlainRequest;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The proxy for an operator's configuration: listeners, routes and pools, all on one event loop. A reload replaces
 * listeners, routes and pools at once; open requests end under the configuration they started with.
 */
public final class SiteProxy implements Clients.RequestHandler, OperatorEndpoint.StatusSource {
    private static final long SWEEP_MS = 250;

    private final Platform platform;
    private final Balancer.Factory factory;
    private final DescriptorLimits sockets;
    private final Clients clients;
    private final Map<InetSocketAddress, Channel> listening = new LinkedHashMap<>();
    private final Map<InetSocketAddress, Router> routers = new HashMap<>();
    private final Map<String, Pool> pools = new HashMap<>();
    /** Pools that are no longer configured but still have open requests. */
    private final List<Pool> closingPools = new ArrayList<>();

    private final Set<PoolExchange> exchanges = new LinkedHashSet<>();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private long seed;
    private Site site;
    /** A configuration is being applied; the newest one received meanwhile is applied next. */
    private boolean replacing;

    private boolean draining;
    private long endedRequests;

    private Site pending;
    private Consumer<String> onPendingResult;

    private SiteProxy(Site site, Platform platform, Balancer.Factory factory, long seed) {
        this.platform = platform;
        this.factory = factory;
        this.seed = seed;
        this.sockets = new DescriptorLimits(site.limits().maxSockets());
        this.clients = new Clients(
                platform,
                sockets.clients,
                site.limits(),
                new MemoryBudget(site.limits().maxBodyBytes()),
                seed,
                this);
        sockets.backends.onFull(() -> pools.values().stream().anyMatch(Pool::closeIdleConnection)
                || closingPools.stream().anyMatch(Pool::closeIdleConnection));
    }

    /** Starts a proxy and waits until it listens; throws an IOException if it cannot. */
    public static SiteProxy start(Site site, Platform platform, Balancer.Factory factory, long seed)
            throws IOException {
        CompletableFuture<SiteProxy> started = new CompletableFuture<>();
        platform.loop().execute(() -> {
            SiteProxy p = new SiteProxy(site, platform, factory, seed);
            p.listen(site, cause -> {
                if (cause != null) {
                    started.completeExceptionally(cause);
                    return;
                }
                p.apply(site);
                platform.loop().scheduleWithFixedDelay(p::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
                started.complete(p);
            });
        });
        try {
            return started.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting");
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    // ---- listeners ----

    /** Gets null once all listeners are bound, or the reason why one is not. */
    private interface BindCallback {
        void onBound(IOException cause);
    }

    /** Binds the new listeners; if one cannot be bound, all new ones are closed. */
    private void listen(Site s, BindCallback callback) {
        Map<InetSocketAddress, ChannelFuture> binding = new LinkedHashMap<>();
        for (Site.Listener l : s.listeners()) {
            if (!listening.containsKey(l.address())) {
                binding.put(l.address(), bind(l.address()));
            }
        }
        int[] remaining = {binding.size()};
        if (binding.isEmpty()) {
            callback.onBound(null);
            return;
        }
        binding.values()
                .forEach(f -> f.addListener(done -> {
                    if (--remaining[0] == 0) {
                        onAllBound(binding, callback);
                    }
                }));
    }

    private void onAllBound(Map<InetSocketAddress, ChannelFuture> binding, BindCallback callback) {
        for (Map.Entry<InetSocketAddress, ChannelFuture> b : binding.entrySet()) {
            if (!b.getValue().isSuccess()) {
                binding.values().forEach(f -> f.channel().close());
                callback.onBound(new IOException("cannot listen on "
                        + NetUtil.toSocketAddressString(b.getKey()) + ": "
                        + b.getValue().cause().getMessage()));
                return;
            }
        }
        binding.forEach((address, f) -> listening.put(address, f.channel()));
        callback.onBound(null);
    }

    private ChannelFuture bind(InetSocketAddress address) {
        return AcceptBackoff.addTo(platform.transport()
                .serverBootstrap(address)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        clients.accept(c, address);
                    }
                })
                .bind());
    }

    /** The address to which a declared listener is bound; null if there is none. */
    public InetSocketAddress address(InetSocketAddress declared) {
        Channel c = listening.get(declared);
        return c == null ? null : (InetSocketAddress) c.localAddress();
    }

    // ---- configurations ----

    /**
     * Applies a configuration; if a listener cannot be bound, nothing changes. Must be called on the event loop.
     */
    public void reload(Site s) {
        reload(s, why -> {});
    }

    /**
     * The same; onResult gets, on the event loop, null once the configuration is in effect, or the reason for its
     * rejection.
     */
    public void reload(Site s, Consumer<String> onResult) {
        if (replacing) {
            if (pending != null) {
                onPendingResult.accept("superseded by a newer configuration before it was applied");
            }
            pending = s;
            onPendingResult = onResult;
            return;
        }
        replacing = true;
        listen(s, cause -> {
            if (cause == null) {
                apply(s);
                platform.log()
                        .write("a new configuration is in effect: "
                                + s.listeners().size() + " listeners, "
                                + s.pools().size() + " pools");
            } else {
                platform.log().write("the new configuration is not used: " + cause.getMessage());
            }
            replacing = false;
            onResult.accept(cause == null ? null : cause.getMessage());
            if (pending != null) {
                Site newest = pending;
                pending = null;
                reload(newest, onPendingResult);
            }
        });
    }

    private void apply(Site s) {
        site = s;
        clients.setLimits(s.limits());
        Map<InetSocketAddress, Router> newRouters = new HashMap<>();
        s.listeners().forEach(l -> newRouters.put(l.address(), l.router()));
        listening.entrySet().removeIf(e -> {
            boolean removed = !newRouters.containsKey(e.getKey());
            if (removed) {
                e.getValue().close();
                clients.drain(e.getKey());
            }
            return removed;
        });
        routers.putAll(newRouters); // requests that started at a removed listener keep its old routes
        pools.entrySet().removeIf(e -> {
            boolean removed = !s.pools().containsKey(e.getKey());
            if (removed) {
                retire(e.getValue());
            }
            return removed;
        });
        s.pools().forEach((name, declared) -> {
            Pool p = pools.get(name);
            if (p == null || !p.reconfigure(declared, s.limits().retryAfterNs())) {
                if (p != null) {
                    retire(p);
                }
                pools.put(
                        name,
                        new Pool(
                                platform,
                                sockets.backends,
                                factory,
                                seed++,
                                declared,
                                s.limits().retryAfterNs()));
            }
        });
    }

    private void retire(Pool p) {
        p.close();
        closingPools.add(p);
    }

    private void sweep() {
        clients.sweep();
        pools.values().forEach(Pool::sweep);
        closingPools.removeIf(Pool::isDone);
        long now = platform.clock().now();
        List.copyOf(exchanges).forEach(c -> c.abortIfStalled(now, site.limits().stallTimeoutNs()));
    }

    // ---- requests ----

    @Override
    public Router router(InetSocketAddress listener) {
        return routers.get(listener);
    }

    @Override
    public Clients.PendingRequest onRequest(PlainClient client, PlainRequest request, Router.Result found) {
        Pool p = pools.get(found.route().pool().pool());
        if (p == null) { // a reload removed the pool after the route was found; nothing was sent
            HttpHeaders headers = new DefaultHttpHeaders();
            clients.setRetryAfter(headers);
            client.respond(503, headers, "refused, try again");
            request.body().release();
            return null;
        }
        PoolExchange exchange = new PoolExchange(p, client, request, found, site.forwarded(), ended -> {
            exchanges.remove(ended);
            endedRequests++;
        });
        exchanges.add(exchange);
        return exchange;
    }

    // ---- the operator port ----

    @Override
    public boolean isReady() {
        return !draining;
    }

    @Override
    public String statusJson() {
        return "{\"ended\":" + endedRequests + ",\"pending\":" + exchanges.size() + "}";
    }

    /**
     * The load so far, for the fleet member; refusals are not counted separately. Must be called on the event
     * loop.
     */
    public AuxiliaryService.Load load() {
        return new AuxiliaryService.Load(endedRequests, 0, exchanges.size());
    }

    // ---- shutdown ----

    /**
     * Accepts no more connections and completes open requests; the future completes when none are left or the
     * drain time limit has passed.
     */
    public CompletableFuture<Void> drain() {
        platform.loop().execute(() -> {
            platform.log().write("draining");
            draining = true;
            listening.values().forEach(Channel::close);
            clients.drain();
            long until = platform.clock().now() + site.limits().drainTimeoutNs();
            awaitEmpty(until);
        });
        return drained;
    }

    private void awaitEmpty(long until) {
        if (clients.openConnections() == 0 || platform.clock().now() >= until) {
            platform.log()
                    .write(
                            clients.openConnections() == 0
                                    ? "drained"
                                    : "drained: time limit reached, closing " + clients.openConnections()
                                            + " open connections");
            clients.closeAll();
            drained.complete(null);
        } else {
            platform.loop().schedule(() -> awaitEmpty(until), 10, TimeUnit.MILLISECONDS);
        }
    }
}
