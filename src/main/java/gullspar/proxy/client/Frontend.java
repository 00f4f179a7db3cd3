package gullspar.proxy.client;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Profile;
import gullspar.proxy.config.Classes;
import gullspar.proxy.config.Classes.Known;
import gullspar.proxy.config.Config;
import gullspar.proxy.http.BodyBudget;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.AcceptBackoff;
import gullspar.proxy.io.Clock;
import gullspar.proxy.io.DescriptorLimits;
import gullspar.proxy.io.Platform;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * The clients' side: keeps their connections within the limits and hands over the requests that make
 * sense.
 */
public final class Frontend implements Client.Owner {
    /** Who takes the requests. */
    public interface Taker {
        void onRequest(Client client, Message message, RequestParameters asked, long at);

        /** All of a request has come that was taken while it came. */
        void onRequestComplete(Client client, long at);

        /** The client has gone away before its answer. */
        void onClientLeft(Client client);
    }

    /** Time for a connection's first whole request, and for the rest of any other. */
    private static final long REQUEST_NS = 1_800_000_000L;
    /** A new one's first bytes come within so long, if its client means to ask. */
    private static final long FRESH_NS = 250_000_000L;
    /** Idle time of a connection that was used. */
    private static final long IDLE_NS = 5_000_000_000L;

    private static final int LONGEST_LINE = 4096, LONGEST_HEAD = 8 << 10;
    /** Of the heap bodies may take one part in so many. */
    private static final int HEAP_SHARE = 4;
    /**
     * Nothing goes out for a client that left 0.1 s ago (the operators' page): while some of what it sent is
     * not read nobody knows whether it has.
     */
    public static final long UNREAD_NS = 80_000_000L;
    /**
     * Clients' requests are small, and a look that finds nothing must not make the library read the next one
     * byte by byte.
     */
    private static final RecvByteBufAllocator READS = new AdaptiveRecvByteBufAllocator(1024, 2048, 64 << 10);

    private static final long SWEEP_MS = 200, AGE_MS = 4000, COUNT_MS = 10_000;

    private final Config config;
    private final Classes classes;
    private final Platform platform;
    private final Clock clock;
    private final DescriptorLimits.Share sockets;
    private final Taker taker;
    private final BooleanSupplier ready;
    private final long unreadNs;
    private final RequestIds ids = new RequestIds();
    /** Connections that never brought a request that made sense, the oldest first. */
    private final Set<Client> unused = new LinkedHashSet<>();
    /** The others, the one that was answered longest ago first. */
    private final Set<Client> used = new LinkedHashSet<>();
    /** Answers to what made no sense, by status: a line of the log for each would be one for the asking. */
    private final Map<Integer, Integer> rejected = new TreeMap<>();

    private final ConnectionPressure crowding = new ConnectionPressure();
    private final BodyBudget budget = new BodyBudget(Runtime.getRuntime().maxMemory() / HEAP_SHARE);
    private AcceptBackoff acceptFailures;
    private boolean timersStarted;
    private Channel listener;
    private long accepted;
    private boolean draining;

    /** ready: are there backends to serve with? */
    public Frontend(
            Platform platform,
            Config config,
            Classes classes,
            DescriptorLimits.Share sockets,
            Taker taker,
            BooleanSupplier ready) {
        this(platform, config, classes, sockets, taker, ready, UNREAD_NS);
    }

    /** One that leaves bodies unread for so long before their requests are turned away. */
    public Frontend(
            Platform platform,
            Config config,
            Classes classes,
            DescriptorLimits.Share sockets,
            Taker taker,
            BooleanSupplier ready,
            long unreadNs) {
        this.platform = platform;
        this.config = config;
        this.classes = classes;
        this.clock = platform.clock();
        this.sockets = sockets;
        this.taker = taker;
        this.ready = ready;
        this.unreadNs = unreadNs;
        sockets.onFull(this::closeOneIdle);
    }

    /** Listens; again, where that failed before. */
    public ChannelFuture listen() {
        ChannelFuture bound = platform.transport().listen(config.listen(), new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel c) {
                accept(c);
            }
        });
        listener = bound.channel();
        acceptFailures = new AcceptBackoff(this::closeOneIdle);
        listener.pipeline().addFirst(acceptFailures);
        startTimers();
        return bound;
    }

    private void startTimers() {
        if (timersStarted) {
            return;
        }
        timersStarted = true;
        EventLoop loop = platform.loop();
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(ids::age, AGE_MS, AGE_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(this::sayRejected, COUNT_MS, COUNT_MS, TimeUnit.MILLISECONDS);
    }

    /** A new connection of a client. */
    public void accept(Channel c) {
        crowding.accepted++;
        accepted++;
        if (!sockets.tryAcquire()) {
            crowding.refused++;
            c.close();
            return;
        }
        c.closeFuture().addListener(f -> sockets.release());
        c.config().setRecvByteBufAllocator(READS);
        RequestDecoder decoder = new RequestDecoder(LONGEST_LINE, LONGEST_HEAD);
        Client client = new Client(c, decoder, this);
        c.pipeline().addLast(decoder, new HttpResponseEncoder(), client);
        unused.add(client);
    }

    private void sweep() {
        long now = clock.now();
        all().toList().forEach(c -> c.check(now, REQUEST_NS, IDLE_NS));
    }

    private void sayRejected() {
        if (!rejected.isEmpty()) {
            platform.log().write("requests that made no sense, by status: " + rejected);
            rejected.clear();
        }
        crowding.say(platform.log());
    }

    /** Answers from now on end their connections. */
    public void drain() {
        draining = true;
    }

    /** Takes no more connections. */
    public void refuseNew() {
        if (listener != null) {
            listener.close();
            sayRejected();
        }
        listener = null;
    }

    /** May connections wait in the system's queue because accepting one has just failed? */
    public boolean acceptsAgainSoon() {
        return acceptFailures != null && acceptFailures.isPaused();
    }

    /** Connections that have been accepted so far. */
    public long accepted() {
        return accepted;
    }

    private Stream<Client> all() {
        return Stream.concat(unused.stream(), used.stream());
    }

    /** Takes no more connections, and ends those between requests, but for those that have just come. */
    public void close() {
        refuseNew();
        all().filter(c -> !c.owed() && !c.ending() && !fresh(c)).toList().forEach(Client::closeBetweenRequests);
    }

    /** Has it come so lately that its request may be on the way? */
    private boolean fresh(Client c) {
        return !c.used() && clock.now() - c.connectedAt < FRESH_NS;
    }

    /** Is there a client whose request has begun or may, or whose answer is still being written? */
    public boolean owes() {
        return all().anyMatch(c -> c.owed() || fresh(c));
    }

    /** Of what has come in part the rest is not waited for any more, and nothing new is taken. */
    public void turnAway() {
        all().toList().forEach(Client::turnAway);
    }

    /**
     * Closes a connection with no request open: the oldest of those that were never used, or else the one
     * that is idle longest. One that has just come is the last choice: its request may be on the way, or
     * there unread, and is lost with it, while a client whose connection is closed between requests opens
     * another. Guards against any crowd that asks once and stays, where new clients would push out each
     * other. It would do harm where a crowd says nothing and clients that stay have far to come back. False
     * if there is none.
     */
    private boolean closeOneIdle() {
        boolean old = !unused.isEmpty() && !fresh(unused.iterator().next());
        return old && closeFirst(unused, false) || closeFirst(used, true) || closeFirst(unused, false);
    }

    private boolean closeFirst(Set<Client> clients, boolean idle) {
        for (Iterator<Client> i = clients.iterator(); i.hasNext(); ) {
            Client c = i.next();
            if (idle ? c.idle() : !c.busy()) {
                // Not left to channelInactive, which comes later: a burst of new connections would all be
                // given the place of this one, and the process would run out of descriptors.
                i.remove();
                crowding.closed(c, clock.now());
                c.close();
                return true;
            }
        }
        return false;
    }

    public int open() {
        return unused.size() + used.size();
    }

    // ---- what the connections say ----

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public long receivedAt() {
        return clock.now() - platform.unreadAge().ns();
    }

    @Override
    public void onRequest(Client client, Message m, long at) {
        String path = new QueryStringDecoder(m.uri()).rawPath();
        Known of = named(path);
        // A class may be called like this path; its requests have an id.
        if (path.equals("/_health") && (of == null || m.id() == null)) {
            // Whoever holds an inherited listener is one of two that are one proxy: the other goes on.
            boolean up = ready.getAsBoolean() && (!draining || config.inherited());
            int status = up ? 200 : 503;
            client.answer(m.method().equals(HttpMethod.GET) ? status : 405, null, up ? "ready" : "not ready");
            m.release();
            return;
        }
        if (of == null) {
            client.answer(404, null, "no such class");
            m.release();
            return;
        }
        Profile p = of.profile();
        HttpMethod method = p.effect() == Effect.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        String wrong = RequestParameters.wrong(m, p);
        if (!m.method().equals(method)) {
            client.answer(405, null, "this class takes " + method);
        } else if (wrong != null) {
            client.answer(400, null, wrong);
        } else if (!ids.open(m.id())) {
            client.answer(409, null, "this Request-Id is another request's");
        } else {
            client.take(m);
            crowding.requests++;
            taker.onRequest(client, m, RequestParameters.of(m, of, config), at);
            return;
        }
        m.release();
    }

    /** The class that a path begins with, null if it is none; its name may be escaped. */
    private Known named(String path) {
        if (!path.startsWith("/")) {
            return null;
        }
        int slash = path.indexOf('/', 1);
        String name = path.substring(1, slash < 0 ? path.length() : slash);
        Known of = classes.of(name);
        if (of == null && name.indexOf('%') >= 0) {
            try {
                of = classes.of(new QueryStringDecoder("/" + name).path().substring(1));
            } catch (IllegalArgumentException e) {
                return null; // an escape that is none
            }
        }
        return of;
    }

    @Override
    public BodyBudget budget() {
        return budget;
    }

    @Override
    public long unreadNs() {
        return unreadNs;
    }

    @Override
    public void onRequestComplete(Client client, long at) {
        taker.onRequestComplete(client, at);
    }

    @Override
    public void onRequestAborted(Client client) {
        ids.close(client.taken().id());
        taker.onClientLeft(client);
    }

    @Override
    public boolean answered(Client client, int status) {
        if (client.taken() != null) {
            ids.close(client.taken().id());
        } else if (status >= 400 && status < 500) {
            rejected.merge(status, 1, Integer::sum);
        }
        if (unused.remove(client) || used.remove(client)) {
            (client.used() ? used : unused).add(client); // to the end of the order of use
        }
        return draining;
    }

    @Override
    public void closed(Client client) {
        unused.remove(client);
        used.remove(client);
        if (client.taken() != null) {
            ids.close(client.taken().id());
            taker.onClientLeft(client);
        }
    }
}
