package gullspar.proxy.client;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Profile;
import gullspar.proxy.config.Classes;
import gullspar.proxy.config.Classes.RequestClass;
import gullspar.proxy.config.Config;
import gullspar.proxy.http.MemoryBudget;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.AcceptBackoff;
import gullspar.proxy.io.Clock;
import gullspar.proxy.io.DescriptorLimits;
import gullspar.proxy.io.Errors;
import gullspar.proxy.io.Platform;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
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

/** The client side of the proxy: keeps connections within the limits and hands over valid requests. */
public final class Frontend implements Client.Owner {
    /** Handles valid requests. */
    public interface RequestHandler {
        /** receivedAtNs: the earliest time at which the request may have arrived. */
        void onRequest(Client client, Message message, RequestParameters parameters, long receivedAtNs);

        /** The body of a request that was handed over while being received is now complete. */
        void onRequestComplete(Client client, long receivedAtNs);

        /** The body is still being received; see {@link Client.Owner#onRequestIncomplete}. */
        default void onRequestIncomplete(Client client, long receivedUntilNs) {}

        /** The client has disconnected before its response. */
        void onClientDisconnected(Client client);
    }

    /** Time limit for a connection's first request, and for closing a connection after its last response. */
    private static final long REQUEST_TIMEOUT_NS = 1_800_000_000L;
    /** Clients that mean to send a request send its first bytes within this time of connecting. */
    private static final long NEW_CONNECTION_GRACE_NS = 250_000_000L;
    /** Idle timeout of a connection that has been used. */
    private static final long IDLE_TIMEOUT_NS = 5_000_000_000L;

    private static final int MAX_REQUEST_LINE_BYTES = 4096;
    private static final int MAX_HEAD_BYTES = 8 << 10;
    /**
     * How long a body may stay unread before its request is rejected. The operators require that nothing is sent for
     * a client that disconnected 0.1 s ago, and while part of what it sent is unread, the proxy cannot detect that.
     */
    public static final long UNREAD_TIMEOUT_NS = 80_000_000L;
    /**
     * Client requests are small. The minimum keeps a read that finds nothing from shrinking the buffer until
     * the next request is read byte by byte. The maximum bounds what a connection holds beyond the budget: one
     * read.
     */
    private static final RecvByteBufAllocator READ_ALLOCATOR = new AdaptiveRecvByteBufAllocator(1024, 2048, 16 << 10);

    private static final long TIMEOUT_CHECK_INTERVAL_MS = 200;
    private static final long ID_AGING_INTERVAL_MS = 4000;

    private static final long LOG_INTERVAL_MS = 10_000;

    private final Config config;
    private final Classes classes;
    private final Platform platform;
    private final Clock clock;
    private final DescriptorLimits.Share sockets;
    private final RequestHandler handler;
    private final BooleanSupplier ready;
    private final long unreadTimeoutNs;
    private final RequestIds requestIds;
    /** Connections without a valid request so far, the oldest first. */
    private final Set<Client> unused = new LinkedHashSet<>();
    /** The other connections, the least recently used first. */
    private final Set<Client> used = new LinkedHashSet<>();
    /** Rejected invalid requests by status: logging each one would let clients flood the log. */
    private final Map<Integer, Integer> rejected = new TreeMap<>();

    private final ConnectionPressure pressure = new ConnectionPressure();
    private final MemoryBudget budget;
    private AcceptBackoff acceptFailures;
    private boolean timersStarted;
    private Channel listener;
    private long acceptedConnections;
    private boolean draining;

    /** ready: whether there are backends to send requests to. */
    public Frontend(
            Platform platform,
            Config config,
            Classes classes,
            DescriptorLimits.Share sockets,
            MemoryBudget budget,
            RequestHandler handler,
            BooleanSupplier ready) {
        this(platform, config, classes, sockets, budget, handler, ready, UNREAD_TIMEOUT_NS);
    }

    /** unreadTimeoutNs: how long a body may stay unread before its request is rejected. */
    public Frontend(
            Platform platform,
            Config config,
            Classes classes,
            DescriptorLimits.Share sockets,
            MemoryBudget budget,
            RequestHandler handler,
            BooleanSupplier ready,
            long unreadTimeoutNs) {
        this.platform = platform;
        this.config = config;
        this.classes = classes;
        this.clock = platform.clock();
        this.requestIds = new RequestIds(clock.now());
        this.sockets = sockets;
        this.budget = budget;
        this.handler = handler;
        this.ready = ready;
        this.unreadTimeoutNs = unreadTimeoutNs;
        sockets.onFull(this::closeIdleConnection);
    }

    /** Starts to listen; may be called again after a failure. */
    public ChannelFuture listen() {
        ChannelFuture bound = platform.transport().listen(config.listen(), new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel c) {
                accept(c);
            }
        });
        listener = bound.channel();
        acceptFailures = new AcceptBackoff(this::closeIdleConnection);
        listener.pipeline().addFirst(acceptFailures);
        startTimers();
        return bound;
    }

    private void startTimers() {
        if (timersStarted) {
            return;
        }
        timersStarted = true;
        repeat("the check of time limits", this::enforceTimeouts, TIMEOUT_CHECK_INTERVAL_MS);
        repeat("the removal of old request ids", () -> requestIds.age(clock.now()), ID_AGING_INTERVAL_MS);
        repeat("the log of counts", this::logCounts, LOG_INTERVAL_MS);
    }

    private void repeat(String what, Runnable task, long intervalMs) {
        Runnable guarded = Errors.guarded(platform.log(), what + " failed", task);
        platform.loop().scheduleWithFixedDelay(guarded, intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    /** Adds a client connection, or closes it if the connection limit is reached and none can be closed for it. */
    public void accept(Channel c) {
        pressure.accepted++;
        acceptedConnections++;
        if (!sockets.tryAcquire()) {
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
        for (Client c : allClients().toList()) {
            try {
                c.enforceTimeouts(now, REQUEST_TIMEOUT_NS, IDLE_TIMEOUT_NS);
            } catch (Error e) {
                Errors.rethrowIfFatal(e);
                c.close(); // only this one: the limits of the others still hold
            }
        }
    }

    private void logCounts() {
        if (!rejected.isEmpty()) {
            platform.log().write("requests rejected as invalid, by status: " + rejected);
            rejected.clear();
        }
        pressure.logAndReset(platform.log());
    }

    /** From now on each response closes its connection. */
    public void drain() {
        draining = true;
    }

    /** Stops listening. */
    public void stopAccepting() {
        if (listener != null) {
            listener.close();
            logCounts();
        }
        listener = null;
    }

    /** True if accepting is paused after a failure, so that connections may wait in the kernel's queue. */
    public boolean isAcceptPaused() {
        return acceptFailures != null && acceptFailures.isPaused();
    }

    public long acceptedConnections() {
        return acceptedConnections;
    }

    private Stream<Client> allClients() {
        return Stream.concat(unused.stream(), used.stream());
    }

    /** Stops listening and closes connections without a request, except new ones. */
    public void close() {
        stopAccepting();
        allClients()
                .filter(c -> !c.hasPendingWork() && !c.closing() && !isNew(c))
                .toList()
                .forEach(Client::closeBetweenRequests);
    }

    /** True if the connection is so new that its first request may still be under way. */
    private boolean isNew(Client c) {
        return !c.used() && clock.now() - c.connectedAtNs < NEW_CONNECTION_GRACE_NS;
    }

    /**
     * True if a request is in progress, queued or partly received, a response is being written, or a new
     * connection may still send its first request.
     */
    public boolean hasPendingRequests() {
        return allClients().anyMatch(c -> c.hasPendingWork() || isNew(c));
    }

    /** Rejects partly received requests and accepts no new ones. */
    public void rejectPartialRequests() {
        allClients().toList().forEach(Client::rejectPartialRequest);
    }

    /**
     * Closes a connection without a request: the oldest unused one, else the one that is idle longest. New
     * connections are the last choice: a request may be under way or unread and would be lost, while a client whose
     * connection is closed between requests opens another. Otherwise, where many clients send one request and stay
     * connected, new clients would evict each other. The drawback: where many connections never send a request,
     * long-lived clients lose theirs and may be slow to reconnect. Returns false if no connection can be closed.
     */
    private boolean closeIdleConnection() {
        boolean hasOldUnused = !unused.isEmpty() && !isNew(unused.iterator().next());
        return hasOldUnused && closeFirst(unused, false) || closeFirst(used, true) || closeFirst(unused, false);
    }

    private boolean closeFirst(Set<Client> clients, boolean idle) {
        for (Iterator<Client> i = clients.iterator(); i.hasNext(); ) {
            Client c = i.next();
            if (idle ? c.isIdle() : !c.busy()) {
                // Removed here because channelInactive is called later: a burst of new connections would all
                // take this connection's place, and the process would run out of descriptors.
                i.remove();
                pressure.countEvicted(c, clock.now());
                c.close();
                return true;
            }
        }
        return false;
    }

    /** Describes the open connections by what they are doing, for the log. */
    public String describeConnections() {
        long busy = allClients().filter(Client::busy).count();
        long receiving = allClients().filter(Client::hasPartialRequest).count();
        long closing = allClients().filter(Client::closing).count();
        return "clients " + openConnections() + ": busy " + busy + ", receiving " + receiving + ", closing " + closing;
    }

    public int openConnections() {
        return unused.size() + used.size();
    }

    // ---- callbacks of connections ----

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public long receivedAt() {
        return clock.now() - platform.unreadAge().ns();
    }

    @Override
    public void onRequest(Client client, Message message, long receivedAtNs) {
        String path = new QueryStringDecoder(message.uri()).rawPath();
        RequestClass requestClass = classOf(path);
        // A class may have the same name as this path; its requests have an id.
        if (path.equals("/_health") && (requestClass == null || message.id() == null)) {
            // With an inherited listener two processes act as one proxy: the other one continues to serve.
            boolean up = ready.getAsBoolean() && (!draining || config.inherited());
            int status = up ? 200 : 503;
            client.respond(message.method().equals(HttpMethod.GET) ? status : 405, null, up ? "ready" : "not ready");
            message.release();
            return;
        }
        if (requestClass == null) {
            client.respond(404, null, "no such class");
            message.release();
            return;
        }
        Profile profile = requestClass.profile();
        HttpMethod method = profile.effect() == Effect.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        String error = RequestParameters.validationError(message, profile);
        if (!message.method().equals(method)) {
            client.respond(405, null, "this class takes " + method);
        } else if (error != null) {
            client.respond(400, null, error);
        } else if (!requestIds.open(message.id())) {
            client.respond(409, null, "this Request-Id is another request's");
        } else {
            client.setCurrentRequest(message);
            pressure.requests++;
            handler.onRequest(client, message, RequestParameters.of(message, requestClass, config), receivedAtNs);
            return;
        }
        message.release();
    }

    /** The class named by the first segment of a path, which may be percent-encoded; null if unknown. */
    private RequestClass classOf(String path) {
        if (!path.startsWith("/")) {
            return null;
        }
        int slash = path.indexOf('/', 1);
        String name = path.substring(1, slash < 0 ? path.length() : slash);
        RequestClass requestClass = classes.find(name);
        if (requestClass == null && name.indexOf('%') >= 0) {
            try {
                requestClass =
                        classes.find(new QueryStringDecoder("/" + name).path().substring(1));
            } catch (IllegalArgumentException e) {
                return null; // invalid percent-encoding
            }
        }
        return requestClass;
    }

    @Override
    public MemoryBudget budget() {
        return budget;
    }

    @Override
    public long unreadTimeoutNs() {
        return unreadTimeoutNs;
    }

    @Override
    public void onRequestComplete(Client client, long receivedAtNs) {
        handler.onRequestComplete(client, receivedAtNs);
    }

    @Override
    public void onRequestIncomplete(Client client, long receivedUntilNs) {
        handler.onRequestIncomplete(client, receivedUntilNs);
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
            (client.used() ? used : unused).add(client); // moves it to the end of the order of use
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
