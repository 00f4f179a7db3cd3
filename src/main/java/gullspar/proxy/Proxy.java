package gullspar.proxy;

import gullspar.decide.Balancer;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.Profile;
import gullspar.proxy.backend.Backends;
import gullspar.proxy.client.Frontend;
import gullspar.proxy.config.Classes;
import gullspar.proxy.config.Config;
import gullspar.proxy.discovery.Discovery;
import gullspar.proxy.discovery.ListUpdate;
import gullspar.proxy.discovery.ListedBackend;
import gullspar.proxy.events.Events;
import gullspar.proxy.io.ListenRetry;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.Sockets;
import gullspar.proxy.operator.Companion;
import gullspar.proxy.operator.Figures;
import gullspar.proxy.operator.OperatorPort;
import gullspar.proxy.operator.Report;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One proxy: the decision module, the requests that it has taken and the sockets round it, all on one event
 * loop. Events become calls of the module, its actions become I/O; where, whether and when are its decisions.
 */
public final class Proxy implements Balancer.Actions, Discovery.Listener, OperatorPort.Subject {
    /** With the list that it was started with a proxy serves if discovery says nothing for so long. */
    private static final long DISCOVERY_WAIT_MS = 3000;
    /**
     * After SIGTERM clients go on coming for 0.4 s at the most (the protocol); then the listener closes, but
     * for so much longer not while somebody still comes.
     */
    private static final long DRAIN_ACCEPT_MS = 550, MAX_EXTRA_ACCEPT_MS = 200;
    /**
     * SIGKILL follows SIGTERM after the longest deadline, of which so much counts, and the slack (the
     * protocol). By so much before that no request is taken any more, all have their answers, and the process
     * ends though a client does not read its own.
     */
    private static final long MAX_DEADLINE_MS = 3000,
            KILL_SLACK_MS = 700,
            STOP_READING_BEFORE_KILL_MS = 500,
            RESPOND_BEFORE_KILL_MS = 150,
            EXIT_BEFORE_KILL_MS = 80;

    private static final long DRAIN_POLL_MS = 10;

    private final Platform platform;
    private final Config config;
    private final Sockets sockets;
    private final Events events;
    private final Frontend frontend;
    private final Backends backends;
    private final Exchanges exchanges;
    private final Discovery discovery;
    private final Balancer module;
    private final CompletableFuture<Void> drainCompleted = new CompletableFuture<>();
    private final Classes classes;
    private final Figures figures = new Figures();
    private boolean listReceived;
    /** The list that it was started with, null if there is none; does the module know of it? */
    private ListUpdate knownList;

    private boolean knownListApplied;
    /** It may take clients; until then it only learns what backends there are. */
    private boolean open;

    private boolean draining;
    private ChannelFuture listenFuture;

    /** To be called on the loop. */
    Proxy(Config config, Platform platform, Balancer.Factory factory) {
        this(
                config,
                platform,
                factory,
                config.settings().askForList() ? Discovery.Timeouts.SERVICE : Discovery.Timeouts.AGENT,
                Frontend.UNREAD_NS);
    }

    /** One that waits for discovery with that patience, and leaves bodies unread for so long. */
    Proxy(
            Config config,
            Platform platform,
            Balancer.Factory factory,
            Discovery.Timeouts timeouts,
            long unreadTimeoutNs) {
        this.config = config;
        this.platform = platform;
        this.sockets = new Sockets(config.sockets());
        this.events = new Events(platform);
        this.backends = new Backends(platform, sockets.backends, config);
        this.classes = new Classes(config);
        this.exchanges = new Exchanges(platform, events, backends, figures);
        this.frontend = new Frontend(
                platform, config, classes, sockets.clients, exchanges, () -> listReceived, unreadTimeoutNs);
        this.discovery = new Discovery(platform, Discovery.source(config), this, timeouts);
        this.module = factory.create(
                config.settings(), config.seed(), platform.clock().now(), this);
        events.to(module);
    }

    /** Starts one and waits until it listens; an IOException if it cannot. */
    public static Proxy start(Config config, Platform platform, Balancer.Factory factory) throws IOException {
        return callOnLoop(platform, () -> startOnLoop(config, platform, factory))
                .awaitListening();
    }

    /** Starts one that may not listen yet. To be called on the loop. */
    public static Proxy startOnLoop(Config config, Platform platform, Balancer.Factory factory) {
        return connectAndOpen(new Proxy(config, platform, factory));
    }

    static Proxy connectAndOpen(Proxy proxy) {
        proxy.startDiscovery();
        proxy.open();
        return proxy;
    }

    /**
     * Starts one that asks what backends there are and takes no clients until {@link #open}. Where many
     * proxies start together, discovery answers them one after the other: what a proxy does before it opens
     * passes in the time that it waits for that answer. To be called on the loop.
     */
    public static Proxy startUnopened(Config config, Platform platform, Balancer.Factory factory) {
        Proxy proxy = new Proxy(config, platform, factory);
        proxy.startDiscovery();
        return proxy;
    }

    /** Takes clients from now on, or, with an inherited listener, once there is a list. On the loop. */
    public void open() {
        if (draining) {
            return;
        }
        open = true;
        if (!config.inherited()) {
            listen();
        }
        listenIfReady();
    }

    /** Does on the loop what makes a proxy; an IOException if it cannot. */
    static Proxy callOnLoop(Platform platform, Callable<Proxy> task) throws IOException {
        try {
            return platform.loop().submit(task).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    /** Waits until it listens, if it may already. */
    Proxy awaitListening() throws IOException {
        if (listenFuture == null) {
            return this; // once there is a list: until then the process before this one serves
        }
        AtomicReference<ChannelFuture> nextAttempt = new AtomicReference<>(listenFuture);
        ChannelFuture bindFuture = ListenRetry.listen(() -> {
            ChannelFuture initial = nextAttempt.getAndSet(null);
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
        platform.log().say("asks discovery for the backends");
        knownList = discovery.knownList();
        if (knownList != null) {
            discovery.setVersion(knownList.version());
        }
        if (config.settings().askForList()) {
            applyKnownList();
        } else {
            // What the agent has counts as told from the first moment: until it has spoken the known list may
            // name backends that have left, and nobody is sent to by it.
            discovery.watch(true);
        }
        platform.loop().schedule(this::useKnownList, DISCOVERY_WAIT_MS, TimeUnit.MILLISECONDS);
    }

    /** Discovery says nothing: the known list has to do, if there is one. */
    void useKnownList() {
        if (!listReceived && knownList != null && !knownList.list().isEmpty()) {
            platform.log().say("discovery says nothing: the list of the start has to do");
            applyKnownList();
            listReceived();
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

    /** A connection of a client that another listener has accepted. */
    void accept(Channel connection) {
        frontend.accept(connection);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listenFuture.channel().localAddress();
    }

    /**
     * Takes over what may change while it serves: where discovery is, the classes and how many attempts they
     * allow. What the proxy knows and holds lives on, and what is under way keeps its class. To be called on
     * the loop.
     */
    public void reload(Config config) {
        platform.log()
                .say("a new configuration: discovery is at " + config.discovery() + ", classes " + config.classes()
                        + ", attempts " + config.settings().maxAttempts());
        List<Profile> profiles = classes.take(config);
        events.news((now, m) -> m.onProfiles(profiles));
        discovery.changeAddress(config.discovery());
        figures.reloaded(true);
    }

    /** A configuration was turned down. To be called on the loop. */
    public void onConfigurationRejected(String reason) {
        platform.log().say("the new configuration is not used: " + reason);
        figures.reloaded(false);
    }

    // ---- what operators ask ----

    @Override
    public boolean ready() {
        return listReceived && !draining && listenFuture != null && listenFuture.isSuccess();
    }

    @Override
    public String figures() {
        return new Report(
                        classes.names(),
                        figures,
                        backends.written(),
                        exchanges.openRequests(),
                        backends.listed(),
                        module.avoided(),
                        platform.figures(),
                        new Report.Descriptors(sockets.clients.open(), sockets.backends.open()))
                .json();
    }

    /** What it has done so far, for whoever runs beside it. On the loop. */
    public Companion.Load load() {
        long refused = figures.sum(Figures::rejected);
        return new Companion.Load(
                refused + figures.sum(Figures::completed) + figures.sum(Figures::failed),
                refused,
                exchanges.openRequests());
    }

    /** Answers what has been taken and what still comes; the future is done once all is answered. */
    public CompletableFuture<Void> drain() {
        platform.loop().execute(() -> {
            platform.log().say("draining");
            draining = true;
            frontend.drain();
            long timeToKillMs = Math.min(MAX_DEADLINE_MS, TimeUnit.NANOSECONDS.toMillis(config.longestDeadlineNs()))
                    + KILL_SLACK_MS;
            exchanges.capDeadlines(
                    platform.clock().now() + TimeUnit.MILLISECONDS.toNanos(timeToKillMs - RESPOND_BEFORE_KILL_MS));
            if (config.inherited()) {
                handOver(timeToKillMs);
                return;
            }
            schedule(DRAIN_ACCEPT_MS, () -> closeListener(-1, 0));
            schedule(timeToKillMs - STOP_READING_BEFORE_KILL_MS, frontend::turnAway);
            schedule(timeToKillMs - EXIT_BEFORE_KILL_MS, this::completeDrain);
        });
        return drainCompleted;
    }

    private void schedule(long delayMs, Runnable task) {
        platform.loop().schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    private void completeDrain() {
        if (!drainCompleted.isDone()) {
            platform.log().say("drained"); // the process may end the moment that the future is done
            drainCompleted.complete(null);
        }
    }

    /**
     * Closes the listener, once nobody comes any more: whoever waits in the system's queue when it closes
     * has asked for nothing and is not heard.
     */
    private void closeListener(long previouslyAccepted, long waitedMs) {
        long accepted = frontend.accepted();
        boolean isStillAccepting = accepted != previouslyAccepted || frontend.acceptsAgainSoon();
        if (isStillAccepting && waitedMs < MAX_EXTRA_ACCEPT_MS) {
            schedule(DRAIN_POLL_MS, () -> closeListener(accepted, waitedMs + DRAIN_POLL_MS));
        } else {
            frontend.refuseNew();
            completeWhenAnswered();
        }
    }

    /**
     * Another process accepts from the same queue. The connections that this one holds are served until
     * shortly before the end, each answer the last one of its connection: to close one that its client is
     * about to use would cost that request.
     */
    private void handOver(long timeToKillMs) {
        frontend.refuseNew();
        schedule(timeToKillMs - STOP_READING_BEFORE_KILL_MS, frontend::close);
        completeWhenDisconnected();
    }

    private void completeWhenDisconnected() {
        if (frontend.open() == 0 && exchanges.openRequests() == 0) {
            completeDrain();
        } else {
            schedule(DRAIN_POLL_MS, this::completeWhenDisconnected);
        }
    }

    /** Ends once nobody is owed an answer, none is on its way to its client and none may yet be asked for. */
    private void completeWhenAnswered() {
        frontend.close();
        if (exchanges.openRequests() == 0 && !frontend.owes()) {
            completeDrain();
        } else {
            schedule(DRAIN_POLL_MS, this::completeWhenAnswered);
        }
    }

    // ---- what discovery says ----

    @Override
    public void onUpdate(ListUpdate update) {
        applyKnownList(); // changes count from there
        apply(update);
        listReceived();
    }

    /** What backends there are is known well enough to serve. */
    private void listReceived() {
        if (!listReceived) {
            listReceived = true;
            listenIfReady();
        }
    }

    private void listenIfReady() {
        if (listReceived && open) {
            if (listenFuture == null) {
                listen(); // until there was a list the process before this one served
            }
            listenFuture.addListener(bound -> {
                if (bound.isSuccess()) {
                    platform.log().say("ready");
                }
            });
        }
    }

    /** Takes in what is known of the backends. */
    void apply(ListUpdate update) {
        backends.learn(update);
        events.news((now, module) -> module.onMembers(
                now,
                update.kind(),
                update.version(),
                update.list().stream().map(ListedBackend::member).toList()));
    }

    @Override
    public void onWatchFailed() {
        events.news((now, module) -> module.onMembers(now, ListKind.FAILED, 0, List.of()));
    }

    // ---- the module's actions ----

    @Override
    public void send(int ticket, int server, long timeoutNs) {
        exchanges.send(ticket, server, timeoutNs, Long.MAX_VALUE);
    }

    @Override
    public void send(int ticket, int server, long timeoutNs, long withinNs) {
        exchanges.send(ticket, server, timeoutNs, withinNs);
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
    public void timer(long at, long token) {
        platform.loop()
                .schedule(
                        () -> events.tell((now, module) -> module.onTimer(now, token)),
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
        discovery.watch(on);
    }

    @Override
    public void probe(int server) {
        throw new UnsupportedOperationException("this proxy sends no probes");
    }

    @Override
    public void tell(int peer, byte[] message) {
        throw new UnsupportedOperationException("this proxy talks to no peers");
    }

    @Override
    public void reload() {
        throw new UnsupportedOperationException("this proxy watches, it does not ask once");
    }
}
