package gullspar.proxy.client;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Profile;
import gullspar.proxy.config.Classes;
import gullspar.proxy.config.Classes.RequestClass;
import gullspar.proxy.config.Config;
import gullspar.proxy.http.BodyBudget;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.AcceptFailures;
import gullspar.proxy.io.Clock;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.Sockets;
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
    public interface RequestHandler {
        void onRequest(Client client, Message message, RequestParameters parameters, long at);

        /** All of a request has come that was taken while it came. */
        void onRequestComplete(Client client, long at);

        /** The client has gone away before its answer. */
        void onClientDisconnected(Client client);
    }

    /** Time for a connection's first whole request, and for the rest of any other. */
    private static final long REQUEST_TIMEOUT_NS = 1_800_000_000L;
    /** A new one's first bytes come within so long, if its client means to ask. */
    private static final long NEW_CONNECTION_GRACE_NS = 250_000_000L;
    /** Idle time of a connection that was used. */
    private static final long IDLE_TIMEOUT_NS = 5_000_000_000L;

    private static final int MAX_REQUEST_LINE_BYTES = 4096, MAX_HEAD_BYTES = 8 << 10;
    /** Of the heap bodies may take one part in so many. */
    private static final int HEAP_DIVISOR = 4;
    /**
     * Nothing goes out for a client that left 0.1 s ago (the operators' page): while some of what it sent is
     * not read nobody knows whether it has.
     */
    public static final long UNREAD_TIMEOUT_NS = 80_000_000L;
    /**
     * Clients' requests are small, and a look that finds nothing must not make the library read the next one
     * byte by byte.
     */
    private static final RecvByteBufAllocator READ_ALLOCATOR = new AdaptiveRecvByteBufAllocator(1024, 2048, 64 << 10);

    private static final long TIMEOUT_CHECK_INTERVAL_MS = 200, ID_AGING_INTERVAL_MS = 4000, LOG_INTERVAL_MS = 10_000;

    private final Config config;
    private final Classes classes;
    private final Platform platform;
    private final Clock clock;
    private final Sockets.Share sockets;
    private final RequestHandler handler;
    private final BooleanSupplier ready;
    private final long unreadNs;
    private final RequestIds requestIds = new RequestIds();
    /** Connections that never brought a request that made sense, the oldest first. */
    private final Set<Client> unused = new LinkedHashSet<>();
    /** The others, the one that was answered longest ago first. */
    private final Set<Client> used = new LinkedHashSet<>();
    /** Answers to what made no sense, by status: a line of the log for each would be one for the asking. */
    private final Map<Integer, Integer> rejected = new TreeMap<>();

    private final ConnectionPressure pressure = new ConnectionPressure();
    private final BodyBudget budget = new BodyBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    private AcceptFailures acceptFailures;
    private boolean timersStarted;
    private Channel listener;
    private long acceptedConnections;
    private boolean draining;

    /** ready: are there backends to serve with? */
    public Frontend(
            Platform platform,
            Config config,
            Classes classes,
            Sockets.Share sockets,
            RequestHandler taker,
            BooleanSupplier ready) {
        this(platform, config, classes, sockets, taker, ready, UNREAD_TIMEOUT_NS);
    }

    /** One that leaves bodies unread for so long before their requests are turned away. */
    public Frontend(
            Platform platform,
            Config config,
            Classes classes,
            Sockets.Share sockets,
            RequestHandler taker,
            BooleanSupplier ready,
            long unreadNs) {
        this.platform = platform;
        this.config = config;
        this.classes = classes;
        this.clock = platform.clock();
        this.sockets = sockets;
        this.handler = taker;
        this.ready = ready;
        this.unreadNs = unreadNs;
        sockets.whenFull(this::closeIdleConnection);
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
        acceptFailures = new AcceptFailures(this::closeIdleConnection);
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
        loop.scheduleWithFixedDelay(
                this::enforceTimeouts, TIMEOUT_CHECK_INTERVAL_MS, TIMEOUT_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(requestIds::age, ID_AGING_INTERVAL_MS, ID_AGING_INTERVAL_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(this::logCounts, LOG_INTERVAL_MS, LOG_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** A new connection of a client. */
    public void accept(Channel c) {
        pressure.accepted++;
        acceptedConnections++;
        if (!sockets.take()) {
            pressure.refused++;
            c.close();
            return;
        }
        c.closeFuture().addListener(f -> sockets.release());
        c.config().setRecvByteBufAllocator(READ_ALLOCATOR);
        RequestDecoder decoder = new RequestDecoder(MAX_REQUEST_LINE_BYTES, MAX_HEAD_BYTES);
        Client client = new Client(c, decoder, this);
        c.pipeline().addLast(decoder, new HttpResponseEncoder(), client);
        unused.add(client);
    }

    private void enforceTimeouts() {
        long now = clock.now();
        allClients().toList().forEach(c -> c.enforceTimeouts(now, REQUEST_TIMEOUT_NS, IDLE_TIMEOUT_NS));
    }

    private void logCounts() {
        if (!rejected.isEmpty()) {
            platform.log().say("requests that made no sense, by status: " + rejected);
            rejected.clear();
        }
        pressure.logAndReset(platform.log());
    }

    /** Answers from now on end their connections. */
    public void drain() {
        draining = true;
    }

    /** Takes no more connections. */
    public void stopAccepting() {
        if (listener != null) {
            listener.close();
            logCounts();
        }
        listener = null;
    }

    /** May connections wait in the system's queue because accepting one has just failed? */
    public boolean isAcceptPaused() {
        return acceptFailures != null && acceptFailures.pausing();
    }

    /** Connections that have been accepted so far. */
    public long acceptedConnections() {
        return acceptedConnections;
    }

    private Stream<Client> allClients() {
        return Stream.concat(unused.stream(), used.stream());
    }

    /** Takes no more connections, and ends those between requests, but for those that have just come. */
    public void close() {
        stopAccepting();
        allClients()
                .filter(c -> !c.hasPendingWork() && !c.closing() && !isNew(c))
                .toList()
                .forEach(Client::closeBetweenRequests);
    }

    /** Has it come so lately that its request may be on the way? */
    private boolean isNew(Client c) {
        return !c.used() && clock.now() - c.connectedAtNs < NEW_CONNECTION_GRACE_NS;
    }

    /** Is there a client whose request has begun or may, or whose answer is still being written? */
    public boolean hasPendingRequests() {
        return allClients().anyMatch(c -> c.hasPendingWork() || isNew(c));
    }

    /** Of what has come in part the rest is not waited for any more, and nothing new is taken. */
    public void rejectPartialRequests() {
        allClients().toList().forEach(Client::rejectPartialRequest);
    }

    /**
     * Closes a connection with no request open: the oldest of those that were never used, or else the one
     * that is idle longest. One that has just come is the last choice: its request may be on the way, or
     * there unread, and is lost with it, while a client whose connection is closed between requests opens
     * another. Guards against any crowd that asks once and stays, where new clients would push out each
     * other. It would do harm where a crowd says nothing and clients that stay have far to come back. False
     * if there is none.
     */
    private boolean closeIdleConnection() {
        boolean hasOldUnused = !unused.isEmpty() && !isNew(unused.iterator().next());
        return hasOldUnused && closeFirst(unused, false) || closeFirst(used, true) || closeFirst(unused, false);
    }

    private boolean closeFirst(Set<Client> clients, boolean idle) {
        for (Iterator<Client> i = clients.iterator(); i.hasNext(); ) {
            Client c = i.next();
            if (idle ? c.isIdle() : !c.busy()) {
                // Not left to channelInactive, which comes later: a burst of new connections would all be
                // given the place of this one, and the process would run out of descriptors.
                i.remove();
                pressure.countEvicted(c, clock.now());
                c.close();
                return true;
            }
        }
        return false;
    }

    public int openConnections() {
        return unused.size() + used.size();
    }

    // ---- what the connections say ----

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public long receivedAt() {
        return clock.now() - platform.unread().ns();
    }

    @Override
    public void onRequest(Client client, Message m, long at) {
        String path = new QueryStringDecoder(m.uri()).rawPath();
        RequestClass of = classOf(path);
        // A class may be called like this path; its requests have an id.
        if (path.equals("/_health") && (of == null || m.id() == null)) {
            // Whoever holds an inherited listener is one of two that are one proxy: the other goes on.
            boolean up = ready.getAsBoolean() && (!draining || config.inherited());
            int status = up ? 200 : 503;
            client.respond(m.method().equals(HttpMethod.GET) ? status : 405, null, up ? "ready" : "not ready");
            m.release();
            return;
        }
        if (of == null) {
            client.respond(404, null, "no such class");
            m.release();
            return;
        }
        Profile p = of.profile();
        HttpMethod method = p.effect() == Effect.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        String error = RequestParameters.validationError(m, p);
        if (!m.method().equals(method)) {
            client.respond(405, null, "this class takes " + method);
        } else if (error != null) {
            client.respond(400, null, error);
        } else if (!requestIds.open(m.id())) {
            client.respond(409, null, "this Request-Id is another request's");
        } else {
            client.setCurrentRequest(m);
            pressure.requests++;
            handler.onRequest(client, m, RequestParameters.of(m, of, config), at);
            return;
        }
        m.release();
    }

    /** The class that a path begins with, null if it is none; its name may be escaped. */
    private RequestClass classOf(String path) {
        if (!path.startsWith("/")) {
            return null;
        }
        int slash = path.indexOf('/', 1);
        String name = path.substring(1, slash < 0 ? path.length() : slash);
        RequestClass of = classes.find(name);
        if (of == null && name.indexOf('%') >= 0) {
            try {
                of = classes.find(new QueryStringDecoder("/" + name).path().substring(1));
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
    public long unreadTimeoutNs() {
        return unreadNs;
    }

    @Override
    public void onRequestComplete(Client client, long at) {
        handler.onRequestComplete(client, at);
    }

    @Override
    public void onRequestAborted(Client client) {
        requestIds.close(client.currentRequest().id());
        handler.onClientDisconnected(client);
    }

    @Override
    public boolean onResponse(Client client, int status) {
        if (client.currentRequest() != null) {
            requestIds.close(client.currentRequest().id());
        } else if (status >= 400 && status < 500) {
            rejected.merge(status, 1, Integer::sum);
        }
        if (unused.remove(client) || used.remove(client)) {
            (client.used() ? used : unused).add(client); // to the end of the order of use
        }
        return draining;
    }

    @Override
    public void onClosed(Client client) {
        unused.remove(client);
        used.remove(client);
        if (client.currentRequest() != null) {
            requestIds.close(client.currentRequest().id());
            handler.onClientDisconnected(client);
        }
    }
}
