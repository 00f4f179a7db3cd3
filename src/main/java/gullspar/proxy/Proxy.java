package gullspar.proxy;

import gullspar.decide.Balancer;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.Profile;
import gullspar.proxy.backend.Backends;
import gullspar.proxy.client.Frontend;
import gullspar.proxy.config.Classes;
import gullspar.proxy.config.Config;
import gullspar.proxy.discovery.Discovery;
import gullspar.proxy.discovery.KnownListWait;
import gullspar.proxy.discovery.ListUpdate;
import gullspar.proxy.discovery.ListedBackend;
import gullspar.proxy.events.Events;
import gullspar.proxy.http.MemoryBudget;
import gullspar.proxy.io.DescriptorLimits;
import gullspar.proxy.io.Errors;
import gullspar.proxy.io.ListenRetry;
import gullspar.proxy.io.Platform;
import gullspar.proxy.operator.AuxiliaryService;
import gullspar.proxy.operator.OperatorEndpoint;
import gullspar.proxy.operator.RequestCounters;
import gullspar.proxy.operator.StatusReport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One proxy: the decision module, the open requests and the sockets, all on one event loop. Events become calls
 * of the module, and its actions become I/O; the module decides where, whether and when requests are sent.
 */
public final class Proxy implements Balancer.Actions, Discovery.Listener, OperatorEndpoint.StatusSource {
    /** The listener stays open this long after SIGTERM; by the protocol clients connect for at most 0.4 s more. */
    private static final long DRAIN_ACCEPT_MS = 550;
    /** Connections that are still being accepted at that time delay closing the listener by at most this. */
    private static final long MAX_EXTRA_ACCEPT_MS = 200;

    /**
     * By the protocol SIGKILL follows SIGTERM after the longest deadline, limited to this value, plus KILL_SLACK_MS.
     */
    private static final long MAX_DEADLINE_MS = 3000;

    private static final long KILL_SLACK_MS = 700;
    /** This long before SIGKILL, requests are no longer read. */
    private static final long STOP_READING_BEFORE_KILL_MS = 500;
    /** This long before SIGKILL, all requests have to be answered. */
    private static final long RESPOND_BEFORE_KILL_MS = 150;
    /** This long before SIGKILL, the process exits even if a client does not read its response. */
    private static final long EXIT_BEFORE_KILL_MS = 80;
    /** Buffered messages may take up to 1/HEAP_DIVISOR of the heap. */
    private static final int HEAP_DIVISOR = 4;

    private static final long MEMORY_LOG_INTERVAL_MS = 10_000;
    /** Interval at which a drain checks whether it is complete. */
    private static final long DRAIN_POLL_MS = 10;

    private final Platform platform;
    private final Config config;
    private final DescriptorLimits descriptors;
    private final MemoryBudget budget;
    private final Events events;
    private final Frontend frontend;
    private final Backends backends;
    private final Exchanges exchanges;
    private final Discovery discovery;
    private final Balancer module;
    private final CompletableFuture<Void> drainCompleted = new CompletableFuture<>();
    private final Classes classes;
    private final RequestCounters counters = new RequestCounters();
    /** Time without a list from discovery after which the proxy serves with the known list. */
    private final long knownListWaitMs;

    private ScheduledFuture<?> knownListTimer;
    private boolean listReceived;
    /** The list from the configuration; null if it has none. */
    private ListUpdate knownList;
    /** Whether the module has received the known list. */
    private boolean knownListApplied;
    /** Whether clients may be accepted; before that only the backend list is received. */
    private boolean open;

    private boolean isDraining;
    private ChannelFuture listenFuture;

    /** Call on the event loop. */
    Proxy(Config config, Platform platform, Balancer.Factory factory) {
        this(config, platform, factory, 0);
    }

    private Proxy(Config config, Platform platform, Balancer.Factory factory, long processAgeMs) {
        this(
                config,
                platform,
                factory,
                config.settings().listOnRequest() ? Discovery.Timeouts.SERVICE : Discovery.Timeouts.AGENT,
                Frontend.UNREAD_TIMEOUT_NS,
                processAgeMs);
    }

    /** Creates a proxy with these discovery timeouts and this limit on how long bodies stay unread. */
    Proxy(
            Config config,
            Platform platform,
            Balancer.Factory factory,
            Discovery.Timeouts timeouts,
            long unreadTimeoutNs,
            long processAgeMs) {
        this.config = config;
        this.platform = platform;
        this.descriptors = new DescriptorLimits(config.sockets());
        this.events = new Events(platform);
        this.budget = new MemoryBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
        this.backends = new Backends(platform, descriptors.backends, budget, config);
        this.classes = new Classes(config);
        this.exchanges = new Exchanges(platform, events, backends, counters);
        this.frontend = new Frontend(
                platform, config, classes, descriptors.clients, budget, exchanges, () -> listReceived, unreadTimeoutNs);
        this.discovery = new Discovery(platform, Discovery.source(config), this, timeouts);
        this.module = factory.create(
                config.settings(), config.seed(), platform.clock().now(), this);
        events.setModule(module);
        this.knownListWaitMs = KnownListWait.ms(config.settings().listOnRequest(), processAgeMs);
    }

    /** Logs now and at intervals what holds the memory of this process. Call on the event loop. */
    void startMemoryLog() {
        MemoryLog memoryLog = new MemoryLog(budget);
        Runnable task = Errors.guarded(platform.log(), "the log of memory failed", () -> platform.log()
                .write(memoryLog.describe(frontend.describeConnections() + ", requests " + exchanges.openRequests()
                        + ", backend connections " + descriptors.backends.openCount())));
        platform.loop().scheduleWithFixedDelay(task, 0, MEMORY_LOG_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Starts a proxy and waits until it listens; throws an IOException if it cannot. */
    public static Proxy start(Config config, Platform platform, Balancer.Factory factory) throws IOException {
        return callOnLoop(platform, () -> startOnLoop(config, platform, factory))
                .awaitListening();
    }

    /** Starts a proxy without waiting until it listens. Call on the event loop. */
    public static Proxy startOnLoop(Config config, Platform platform, Balancer.Factory factory) {
        return connectAndOpen(new Proxy(config, platform, factory));
    }

    static Proxy connectAndOpen(Proxy proxy) {
        proxy.startDiscovery();
        proxy.open();
        return proxy;
    }

    /**
     * Starts a proxy that requests the backend list and accepts no clients until {@link #open}. Where many
     * proxies start together, discovery answers them one after the other; the caller's work before opening
     * overlaps with that wait. Call on the event loop.
     *
     * @param processAgeMs time since the start of the process, in ms
     */
    public static Proxy startUnopened(Config config, Platform platform, Balancer.Factory factory, long processAgeMs) {
        Proxy proxy = new Proxy(config, platform, factory, processAgeMs);
        proxy.startDiscovery();
        return proxy;
    }

    /** Accepts clients from now on or, with an inherited listener, once there is a list. Call on the event loop. */
    public void open() {
        if (isDraining) {
            return;
        }
        open = true;
        if (!config.inherited()) {
            listen();
        }
        listenIfReady();
    }

    /** Runs a task on the event loop and waits for its proxy; throws an IOException if it fails. */
    static Proxy callOnLoop(Platform platform, Callable<Proxy> task) throws IOException {
        try {
            return platform.loop().submit(task).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for the event loop");
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    /** Waits until the proxy listens, if it has started to. */
    Proxy awaitListening() throws IOException {
        if (listenFuture == null) {
            return this; // inherited listener: listens once there is a list; until then the previous process serves
        }
        AtomicReference<ChannelFuture> initialBind = new AtomicReference<>(listenFuture);
        ChannelFuture bindFuture = ListenRetry.listen(() -> {
            ChannelFuture initial = initialBind.getAndSet(null);
            return initial != null
                    ? initial
                    : platform.loop()
                            .submit(this::retryListen)
                            .syncUninterruptibly()
                            .getNow();
        });
        if (!bindFuture.isSuccess()) {
            throw new IOException("cannot listen on " + config.listen() + ": "
                    + bindFuture.cause().getMessage());
        }
        return this;
    }

    private ChannelFuture retryListen() {
        listen();
        listenIfReady();
        return listenFuture;
    }

    private void startDiscovery() {
        platform.log().write("requesting the backend list from discovery");
        knownList = discovery.knownList();
        if (knownList != null) {
            discovery.setVersion(knownList.version());
        }
        if (config.settings().listOnRequest()) {
            applyKnownList();
        } else {
            // The known list may name backends that have left since, and changes that the agent has at the start
            // must be followed from the start: no request is sent by the known list before the agent has answered.
            discovery.watch(true);
        }
        scheduleKnownList(knownListWaitMs);
    }

    private void scheduleKnownList(long delayMs) {
        knownListTimer = platform.loop().schedule(this::useKnownList, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Gives a discovery at another address its time to answer before the known list is used. */
    private void waitForNewDiscovery() {
        if (!listReceived && knownListTimer.getDelay(TimeUnit.MILLISECONDS) < KnownListWait.MIN_MS) {
            knownListTimer.cancel(false);
            scheduleKnownList(KnownListWait.MIN_MS);
        }
    }

    /** Falls back to the known list, if there is one, when discovery has sent none. */
    void useKnownList() {
        if (!listReceived && knownList != null && !knownList.list().isEmpty()) {
            platform.log()
                    .write("no list from discovery within " + knownListWaitMs
                            + " ms: serving with the known list of the configuration");
            applyKnownList();
            onListReceived();
        }
    }

    private void applyKnownList() {
        if (knownList != null && !knownListApplied) {
            knownListApplied = true;
            apply(knownList);
        }
    }

    private void listen() {
        listenFuture = frontend.listen();
    }

    /** Takes over a client connection that another listener has accepted. */
    void accept(Channel connection) {
        frontend.accept(connection);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listenFuture.channel().localAddress();
    }

    /**
     * Applies the settings that may change while serving: the address of discovery, the classes and their
     * maximum number of attempts. State and connections are kept, and open requests keep their class. Call on
     * the event loop.
     */
    public void reload(Config config) {
        platform.log()
                .write("a new configuration: discovery at " + config.discovery() + ", classes " + config.classes()
                        + ", attempts " + config.settings().maxAttempts());
        List<Profile> profiles = classes.update(config);
        events.enqueueBackendUpdate((now, m) -> m.onProfiles(profiles));
        if (discovery.changeAddress(config.discovery())) {
            waitForNewDiscovery();
        }
        counters.countReload(true);
    }

    /** Records that a configuration was rejected. Call on the event loop. */
    public void onConfigurationRejected(String reason) {
        platform.log().write("the new configuration is not used: " + reason);
        counters.countReload(false);
    }

    // ---- operators' requests ----

    @Override
    public boolean isReady() {
        return listReceived && !isDraining && listenFuture != null && listenFuture.isSuccess();
    }

    @Override
    public String statusJson() {
        return new StatusReport(
                        classes.names(),
                        counters,
                        backends.writtenCount(),
                        backends.unexpectedBytesCount(),
                        exchanges.openRequests(),
                        backends.listedCount(),
                        module.avoidedServers(),
                        platform.statistics(),
                        new StatusReport.Descriptors(descriptors.clients.openCount(), descriptors.backends.openCount()))
                .json();
    }

    /** Request counts so far, for the auxiliary service. Call on the event loop. */
    public AuxiliaryService.Load load() {
        long refused = counters.sum(RequestCounters::rejected);
        return new AuxiliaryService.Load(
                refused + counters.sum(RequestCounters::completed) + counters.sum(RequestCounters::failed),
                refused,
                exchanges.openRequests());
    }

    /** Answers all open requests and those still received; the future completes once all are answered. */
    public CompletableFuture<Void> drain() {
        platform.loop().execute(() -> {
            platform.log().write("draining");
            isDraining = true;
            frontend.drain();
            long timeToKillMs =
                    Math.min(MAX_DEADLINE_MS, TimeUnit.NANOSECONDS.toMillis(config.maxDeadlineNs())) + KILL_SLACK_MS;
            exchanges.capDeadlines(
                    platform.clock().now() + TimeUnit.MILLISECONDS.toNanos(timeToKillMs - RESPOND_BEFORE_KILL_MS));
            if (config.inherited()) {
                handOver(timeToKillMs);
                return;
            }
            schedule(DRAIN_ACCEPT_MS, () -> closeListener(-1, 0));
            schedule(timeToKillMs - STOP_READING_BEFORE_KILL_MS, frontend::rejectPartialRequests);
            schedule(timeToKillMs - EXIT_BEFORE_KILL_MS, this::completeDrain);
        });
        return drainCompleted;
    }

    private void schedule(long delayMs, Runnable task) {
        platform.loop().schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    private void completeDrain() {
        if (!drainCompleted.isDone()) {
            platform.log().write("drained"); // logged first: the process may exit as soon as the future completes
            drainCompleted.complete(null);
        }
    }

    /**
     * Closes the listener once no more connections are accepted: those still in the system's accept queue when
     * it closes are dropped without a response.
     */
    private void closeListener(long previouslyAccepted, long waitedMs) {
        long accepted = frontend.acceptedConnections();
        boolean isStillAccepting = accepted != previouslyAccepted || frontend.isAcceptPaused();
        if (isStillAccepting && waitedMs < MAX_EXTRA_ACCEPT_MS) {
            schedule(DRAIN_POLL_MS, () -> closeListener(accepted, waitedMs + DRAIN_POLL_MS));
        } else {
            frontend.stopAccepting();
            completeWhenAnswered();
        }
    }

    /**
     * Another process accepts from the same queue. Open connections are served until shortly before the
     * process is killed, with each response the last one of its connection: closing one that its client is about
     * to use would lose that request.
     */
    private void handOver(long timeToKillMs) {
        frontend.stopAccepting();
        schedule(timeToKillMs - STOP_READING_BEFORE_KILL_MS, frontend::close);
        completeWhenDisconnected();
    }

    private void completeWhenDisconnected() {
        if (frontend.openConnections() == 0 && exchanges.openRequests() == 0) {
            completeDrain();
        } else {
            schedule(DRAIN_POLL_MS, this::completeWhenDisconnected);
        }
    }

    /** Completes the drain once no response is pending or being sent and no further request can be received. */
    private void completeWhenAnswered() {
        frontend.close();
        if (exchanges.openRequests() == 0 && !frontend.hasPendingRequests()) {
            completeDrain();
        } else {
            schedule(DRAIN_POLL_MS, this::completeWhenAnswered);
        }
    }

    // ---- updates from discovery ----

    @Override
    public void onUpdate(ListUpdate update) {
        applyKnownList(); // deltas are relative to it
        apply(update);
        onListReceived();
    }

    /** There is a list to serve with, from discovery or from the configuration. */
    private void onListReceived() {
        if (!listReceived) {
            listReceived = true;
            listenIfReady();
        }
    }

    private void listenIfReady() {
        if (listReceived && open) {
            if (listenFuture == null) {
                listen(); // inherited listener: the previous process has served until now
            }
            listenFuture.addListener(bound -> {
                if (bound.isSuccess()) {
                    platform.log().write("ready");
                }
            });
        }
    }

    /** Applies a list update to the connections and the module. */
    void apply(ListUpdate update) {
        backends.update(update);
        events.enqueueBackendUpdate((now, module) -> module.onServerList(
                now,
                update.kind(),
                update.version(),
                update.list().stream().map(ListedBackend::server).toList()));
    }

    @Override
    public void onWatchFailed() {
        events.enqueueBackendUpdate((now, module) -> module.onServerList(now, ListKind.FAILED, 0, List.of()));
    }

    // ---- actions of the module ----

    @Override
    public void send(int ticket, int server, long timeoutNs) {
        exchanges.send(ticket, server, timeoutNs, Long.MAX_VALUE);
    }

    @Override
    public void send(int ticket, int server, long timeoutNs, long sendWithinNs) {
        exchanges.send(ticket, server, timeoutNs, sendWithinNs);
    }

    @Override
    public void refuse(int ticket, long retryInNs) {
        exchanges.refuse(ticket, retryInNs);
    }

    @Override
    public void fail(int ticket) {
        exchanges.fail(ticket);
    }

    @Override
    public void cancel(int ticket, int attempt) {
        exchanges.cancel(ticket, attempt);
    }

    @Override
    public void setTimer(long at, long token) {
        platform.loop()
                .schedule(
                        () -> events.enqueue((now, module) -> module.onTimer(now, token)),
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
        discovery.watch(on);
    }

    @Override
    public void probe(int server) {
        throw new UnsupportedOperationException("this proxy sends no probes");
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        throw new UnsupportedOperationException("this proxy sends no messages to peers");
    }

    @Override
    public void requestList() {
        throw new UnsupportedOperationException("this proxy watches discovery; single list requests are not supported");
    }
}
