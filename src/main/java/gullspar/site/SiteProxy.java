package gullspar.site;

import gullspar.config.Site;
import gullspar.decide.Balancer;
import gullspar.proxy.http.BodyBudget;
import gullspar.proxy.io.AcceptFailures;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.Sockets;
import gullspar.proxy.operator.Companion;
import gullspar.proxy.operator.OperatorPort;
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
 * The proxy by an operator's file: listeners, routes, and a pool for each name, all on one event loop. A new
 * file replaces listeners, routes and pools in one go; requests in hand end under what they began with.
 */
public final class SiteProxy implements Clients.Taker, OperatorPort.Subject {
    private static final long SWEEP_MS = 250;

    private final Platform platform;
    private final Balancer.Factory factory;
    private final Sockets sockets;
    private final Clients clients;
    private final Map<InetSocketAddress, Channel> listening = new LinkedHashMap<>();
    private final Map<InetSocketAddress, Router> routers = new HashMap<>();
    private final Map<String, Pool> pools = new HashMap<>();
    /** Pools that no configuration names any more, until nothing of theirs is in hand. */
    private final List<Pool> leaving = new ArrayList<>();

    private final Set<Call> calls = new LinkedHashSet<>();
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private long seed;
    private Site site;
    /** A new one is being taken over; the newest that came meanwhile follows. */
    private boolean replacing;

    private boolean draining;
    /** Requests that have ended. */
    private long done;

    private Site next;
    private Consumer<String> nextDone;

    private SiteProxy(Site site, Platform platform, Balancer.Factory factory, long seed) {
        this.platform = platform;
        this.factory = factory;
        this.seed = seed;
        this.sockets = new Sockets(site.limits().maxSockets());
        this.clients = new Clients(
                platform,
                sockets.clients,
                site.limits(),
                new BodyBudget(site.limits().maxBodyBytes()),
                seed,
                this);
        sockets.backends.whenFull(() -> pools.values().stream().anyMatch(Pool::closeOneIdle)
                || leaving.stream().anyMatch(Pool::closeOneIdle));
    }

    /** Starts one and waits until it listens; an IOException if it cannot. */
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
            throw new IOException("interrupted");
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    // ---- listeners ----

    /** Who hears that all listeners are there, with null, or why not. */
    private interface Listening {
        void done(IOException cause);
    }

    /** Listens where nobody does yet; if one cannot, none of the new ones stays. */
    private void listen(Site s, Listening then) {
        Map<InetSocketAddress, ChannelFuture> binding = new LinkedHashMap<>();
        for (Site.Listener l : s.listeners()) {
            if (!listening.containsKey(l.address())) {
                binding.put(l.address(), bind(l.address()));
            }
        }
        int[] left = {binding.size()};
        if (binding.isEmpty()) {
            then.done(null);
            return;
        }
        binding.values()
                .forEach(f -> f.addListener(done -> {
                    if (--left[0] == 0) {
                        bound(binding, then);
                    }
                }));
    }

    private void bound(Map<InetSocketAddress, ChannelFuture> binding, Listening then) {
        for (Map.Entry<InetSocketAddress, ChannelFuture> b : binding.entrySet()) {
            if (!b.getValue().isSuccess()) {
                binding.values().forEach(f -> f.channel().close());
                then.done(new IOException("cannot listen on "
                        + NetUtil.toSocketAddressString(b.getKey()) + ": "
                        + b.getValue().cause().getMessage()));
                return;
            }
        }
        binding.forEach((address, f) -> listening.put(address, f.channel()));
        then.done(null);
    }

    private ChannelFuture bind(InetSocketAddress address) {
        return AcceptFailures.on(platform.transport()
                .at(address)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        clients.accept(c, address);
                    }
                })
                .bind());
    }

    /** Where the listener that was declared with that address listens; null if there is none. */
    public InetSocketAddress address(InetSocketAddress declared) {
        Channel c = listening.get(declared);
        return c == null ? null : (InetSocketAddress) c.localAddress();
    }

    // ---- configurations ----

    /** Replaces what there is; if a listener cannot be had, nothing changes. To be called on the loop. */
    public void reload(Site s) {
        reload(s, why -> {});
    }

    /** The same; done is told, on the loop, why nothing has changed, or null once the new one holds. */
    public void reload(Site s, Consumer<String> done) {
        if (replacing) {
            if (next != null) {
                nextDone.accept("a newer one came before it was used");
            }
            next = s;
            nextDone = done;
            return;
        }
        replacing = true;
        listen(s, cause -> {
            if (cause == null) {
                apply(s);
                platform.log()
                        .say("a new configuration: " + s.listeners().size() + " listeners, "
                                + s.pools().size() + " pools");
            } else {
                platform.log().say("the new configuration is not used: " + cause.getMessage());
            }
            replacing = false;
            done.accept(cause == null ? null : cause.getMessage());
            if (next != null) {
                Site newest = next;
                next = null;
                reload(newest, nextDone);
            }
        });
    }

    private void apply(Site s) {
        site = s;
        clients.limit(s.limits());
        Map<InetSocketAddress, Router> now = new HashMap<>();
        s.listeners().forEach(l -> now.put(l.address(), l.router()));
        listening.entrySet().removeIf(e -> {
            boolean gone = !now.containsKey(e.getKey());
            if (gone) {
                e.getValue().close();
                clients.drain(e.getKey());
            }
            return gone;
        });
        routers.putAll(now); // what has begun at a listener that is gone ends by its old routes
        pools.entrySet().removeIf(e -> {
            boolean gone = !s.pools().containsKey(e.getKey());
            if (gone) {
                leave(e.getValue());
            }
            return gone;
        });
        s.pools().forEach((name, declared) -> {
            Pool p = pools.get(name);
            if (p == null || !p.declare(declared, s.limits().retryAfterNs())) {
                if (p != null) {
                    leave(p);
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

    private void leave(Pool p) {
        p.close();
        leaving.add(p);
    }

    private void sweep() {
        clients.sweep();
        pools.values().forEach(Pool::sweep);
        leaving.removeIf(Pool::done);
        long now = platform.clock().now();
        List.copyOf(calls).forEach(c -> c.check(now, site.limits().stallTimeoutNs()));
    }

    // ---- requests ----

    @Override
    public Router router(InetSocketAddress listener) {
        return routers.get(listener);
    }

    @Override
    public Clients.Taken taken(PlainClient client, PlainRequest request, Router.Result found) {
        Pool p = pools.get(found.route().pool().pool());
        if (p == null) { // the route was found before a reload took its pool away; nothing has gone out
            HttpHeaders headers = new DefaultHttpHeaders();
            clients.retryAfter(headers);
            client.answer(503, headers, "refused, try again");
            request.body().release();
            return null;
        }
        Call c = new Call(p, client, request, found, site.forwarded(), over -> {
            calls.remove(over);
            done++;
        });
        calls.add(c);
        return c;
    }

    // ---- what operators ask ----

    @Override
    public boolean ready() {
        return !draining;
    }

    @Override
    public String figures() {
        return "{\"ended\":" + done + ",\"pending\":" + calls.size() + "}";
    }

    /** What it has done so far, for whoever runs beside it; refusals are not counted apart. On the loop. */
    public Companion.Load load() {
        return new Companion.Load(done, 0, calls.size());
    }

    // ---- the end ----

    /** Takes no more connections and answers what is in hand; the future is done once all is answered. */
    public CompletableFuture<Void> drain() {
        platform.loop().execute(() -> {
            platform.log().say("draining");
            draining = true;
            listening.values().forEach(Channel::close);
            clients.drain();
            long until = platform.clock().now() + site.limits().drainTimeoutNs();
            whenEmpty(until);
        });
        return ended;
    }

    private void whenEmpty(long until) {
        if (clients.open() == 0 || platform.clock().now() >= until) {
            platform.log()
                    .say(
                            clients.open() == 0
                                    ? "drained"
                                    : "drained, but for " + clients.open() + " connections that are cut off");
            clients.closeAll();
            ended.complete(null);
        } else {
            platform.loop().schedule(() -> whenEmpty(until), 10, TimeUnit.MILLISECONDS);
        }
    }
}
