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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One proxy: the decision module, the requests that it has taken and the sockets round it, all on one event
 * loop. Events become calls of the module, its actions become I/O; where, whether and when are its decisions.
 */
public final class Proxy implements Balancer.Actions, Discovery.Listener, OperatorEndpoint.StatusSource {
    /** With the list that it was started with a proxy serves if discovery says nothing for so long. */
    private static final long LIST_WAIT_MS = 3000;
    /**
     * After SIGTERM clients go on coming for 0.4 s at the most (the protocol); then the listener closes, but
     * for so much longer not while somebody still comes.
     */
    private static final long ACCEPT_MS = 550, STILL_COMES_MS = 200;
    /**
     * SIGKILL follows SIGTERM after the longest deadline, of which so much counts, and the slack (the
     * protocol). By so much before that no request is taken any more, all have their answers, and the process
     * ends though a client does not read its own.
     */
    private static final long LONGEST_KEPT_MS = 3000,
            KILL_SLACK_MS = 700,
            CLOSE_MS = 500,
            ANSWER_MS = 150,
            LEAVE_MS = 80;

    private static final long LOOK_MS = 10;

    private final Platform platform;
    private final Config config;
    private final Sockets sockets;
    private final Events events;
    private final Frontend frontend;
    private final Backends backends;
    private final Exchanges exchanges;
    private final Discovery discovery;
    private final Balancer module;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final Classes classes;
    private final RequestCounters figures = new RequestCounters();
    private boolean listed;
    /** The list that it was started with, null if there is none; does the module know of it? */
    private ListUpdate known;

    private boolean knownApplied;
    /** It may take clients; until then it only learns what backends there are. */
    private boolean open;

    private boolean draining;
    private ChannelFuture listening;

    /** To be called on the loop. */
    Proxy(Config config, Platform platform, Balancer.Factory factory) {
        this(
                config,
                platform,
                factory,
                config.settings().askForList() ? Discovery.Patience.SERVICE : Discovery.Patience.AGENT,
                Frontend.UNREAD_TIMEOUT_NS);
    }

    /** One that waits for discovery with that patience, and leaves bodies unread for so long. */
    Proxy(Config config, Platform platform, Balancer.Factory factory, Discovery.Patience patience, long unreadNs) {
        this.config = config;
        this.platform = platform;
        this.sockets = new Sockets(config.sockets());
        this.events = new Events(platform);
        this.backends = new Backends(platform, sockets.backends, config);
        this.classes = new Classes(config);
        this.exchanges = new Exchanges(platform, events, backends, figures);
        this.frontend = new Frontend(platform, config, classes, sockets.clients, exchanges, () -> listed, unreadNs);
        this.discovery = new Discovery(platform, Discovery.source(config), this, patience);
        this.module = factory.create(
                config.settings(), config.seed(), platform.clock().now(), this);
        events.setModule(module);
    }

    /** Starts one and waits until it listens; an IOException if it cannot. */
    public static Proxy start(Config config, Platform platform, Balancer.Factory factory) throws IOException {
        return on(platform, () -> begin(config, platform, factory)).bound();
    }

    /** Starts one that may not listen yet. To be called on the loop. */
    public static Proxy begin(Config config, Platform platform, Balancer.Factory factory) {
        return begun(new Proxy(config, platform, factory));
    }

    static Proxy begun(Proxy p) {
        p.ask();
        p.open();
        return p;
    }

    /**
     * Starts one that asks what backends there are and takes no clients until {@link #open}. Where many
     * proxies start together, discovery answers them one after the other: what a proxy does before it opens
     * passes in the time that it waits for that answer. To be called on the loop.
     */
    public static Proxy asking(Config config, Platform platform, Balancer.Factory factory) {
        Proxy p = new Proxy(config, platform, factory);
        p.ask();
        return p;
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
        whenReady();
    }

    /** Does on the loop what makes a proxy; an IOException if it cannot. */
    static Proxy on(Platform platform, Callable<Proxy> work) throws IOException {
        try {
            return platform.loop().submit(work).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    /** Waits until it listens, if it may already. */
    Proxy bound() throws IOException {
        if (listening == null) {
            return this; // once there is a list: until then the process before this one serves
        }
        AtomicReference<ChannelFuture> next = new AtomicReference<>(listening);
        ChannelFuture bound = ListenRetry.listen(() -> {
            ChannelFuture first = next.getAndSet(null);
            return first != null
                    ? first
                    : platform.loop()
                            .submit(this::listenAgain)
                            .syncUninterruptibly()
                            .getNow();
        });
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + config.listen() + ": " + bound.cause().getMessage());
        }
        return this;
    }

    private ChannelFuture listenAgain() {
        listen();
        whenReady();
        return listening;
    }

    private void ask() {
        platform.log().say("asks discovery for the backends");
        known = discovery.known();
        if (known != null) {
            discovery.startFrom(known.version());
        }
        if (config.settings().askForList()) {
            applyKnown();
        } else {
            // What the agent has counts as told from the first moment: until it has spoken the known list may
            // name backends that have left, and nobody is sent to by it.
            discovery.watch(true);
        }
        platform.loop().schedule(this::useKnownList, LIST_WAIT_MS, TimeUnit.MILLISECONDS);
    }

    /** Discovery says nothing: the known list has to do, if there is one. */
    void useKnownList() {
        if (!listed && known != null && !known.list().isEmpty()) {
            platform.log().say("discovery says nothing: the list of the start has to do");
            applyKnown();
            listed();
        }
    }

    private void applyKnown() {
        if (known != null && !knownApplied) {
            knownApplied = true;
            apply(known);
        }
    }

    private void listen() {
        listening = frontend.listen();
    }

    /** A connection of a client that another listener has accepted. */
    void accept(Channel c) {
        frontend.accept(c);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.channel().localAddress();
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
        List<Profile> all = classes.update(config);
        events.backendUpdate((now, m) -> m.onProfiles(all));
        discovery.move(config.discovery());
        figures.countReload(true);
    }

    /** A configuration was turned down. To be called on the loop. */
    public void turnedDown(String why) {
        platform.log().say("the new configuration is not used: " + why);
        figures.countReload(false);
    }

    // ---- what operators ask ----

    @Override
    public boolean isReady() {
        return listed && !draining && listening != null && listening.isSuccess();
    }

    @Override
    public String statusJson() {
        return new StatusReport(
                        classes.names(),
                        figures,
                        backends.written(),
                        exchanges.open(),
                        backends.listed(),
                        module.avoided(),
                        platform.figures(),
                        new StatusReport.Descriptors(sockets.clients.open(), sockets.backends.open()))
                .json();
    }

    /** What it has done so far, for whoever runs beside it. On the loop. */
    public AuxiliaryService.Load load() {
        long refused = figures.sum(RequestCounters::rejected);
        return new AuxiliaryService.Load(
                refused + figures.sum(RequestCounters::completed) + figures.sum(RequestCounters::failed),
                refused,
                exchanges.open());
    }

    /** Answers what has been taken and what still comes; the future is done once all is answered. */
    public CompletableFuture<Void> drain() {
        platform.loop().execute(() -> {
            platform.log().say("draining");
            draining = true;
            frontend.drain();
            long lastMs =
                    Math.min(LONGEST_KEPT_MS, TimeUnit.NANOSECONDS.toMillis(config.maxDeadlineNs())) + KILL_SLACK_MS;
            exchanges.endBy(platform.clock().now() + TimeUnit.MILLISECONDS.toNanos(lastMs - ANSWER_MS));
            if (config.inherited()) {
                handOver(lastMs);
                return;
            }
            after(ACCEPT_MS, () -> shut(-1, 0));
            after(lastMs - CLOSE_MS, frontend::rejectPartialRequests);
            after(lastMs - LEAVE_MS, this::drained);
        });
        return ended;
    }

    private void after(long ms, Runnable what) {
        platform.loop().schedule(what, ms, TimeUnit.MILLISECONDS);
    }

    private void drained() {
        if (!ended.isDone()) {
            platform.log().say("drained"); // the process may end the moment that the future is done
            ended.complete(null);
        }
    }

    /**
     * Closes the listener, once nobody comes any more: whoever waits in the system's queue when it closes
     * has asked for nothing and is not heard.
     */
    private void shut(long accepted, long waitedMs) {
        long now = frontend.acceptedConnections();
        boolean stillComes = now != accepted || frontend.isAcceptPaused();
        if (stillComes && waitedMs < STILL_COMES_MS) {
            after(LOOK_MS, () -> shut(now, waitedMs + LOOK_MS));
        } else {
            frontend.stopAccepting();
            whenEmpty();
        }
    }

    /**
     * Another process accepts from the same queue. The connections that this one holds are served until
     * shortly before the end, each answer the last one of its connection: to close one that its client is
     * about to use would cost that request.
     */
    private void handOver(long lastMs) {
        frontend.stopAccepting();
        after(lastMs - CLOSE_MS, frontend::close);
        whenLeft();
    }

    private void whenLeft() {
        if (frontend.openConnections() == 0 && exchanges.open() == 0) {
            drained();
        } else {
            after(LOOK_MS, this::whenLeft);
        }
    }

    /** Ends once nobody is owed an answer, none is on its way to its client and none may yet be asked for. */
    private void whenEmpty() {
        frontend.close();
        if (exchanges.open() == 0 && !frontend.hasPendingRequests()) {
            drained();
        } else {
            after(LOOK_MS, this::whenEmpty);
        }
    }

    // ---- what discovery says ----

    @Override
    public void news(ListUpdate news) {
        applyKnown(); // changes count from there
        apply(news);
        listed();
    }

    /** What backends there are is known well enough to serve. */
    private void listed() {
        if (!listed) {
            listed = true;
            whenReady();
        }
    }

    private void whenReady() {
        if (listed && open) {
            if (listening == null) {
                listen(); // until there was a list the process before this one served
            }
            listening.addListener(bound -> {
                if (bound.isSuccess()) {
                    platform.log().say("ready");
                }
            });
        }
    }

    /** Takes in what is known of the backends. */
    void apply(ListUpdate news) {
        backends.learn(news);
        events.backendUpdate((now, module) -> module.onMembers(
                now,
                news.kind(),
                news.version(),
                news.list().stream().map(ListedBackend::member).toList()));
    }

    @Override
    public void failed() {
        events.backendUpdate((now, module) -> module.onMembers(now, ListKind.FAILED, 0, List.of()));
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
                        () -> events.enqueue((now, module) -> module.onTimer(now, token)),
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
