package gullspar.proxy;

import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Status;
import gullspar.decide.Balancer;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * One proxy: the decision module, the requests that it has taken and the sockets round it, all on one event
 * loop. Events become calls of the module, its actions become I/O; where, whether and when are its decisions.
 */
public final class Proxy implements Balancer.Actions, Frontend.Taker, Discovery.Listener {
    /**
     * A timeout counts from the client's send and is kept when the answer has reached it. The module is told
     * of so much less, and if it has not ended the request by the second margin, the backstop does.
     */
    private static final long MARGIN_NS = 10_000_000L, BACKSTOP_NS = 5_000_000L;
    /** With the list that it was started with a proxy serves if discovery says nothing for so long. */
    private static final long LIST_WAIT_MS = 3000;
    /** After SIGTERM clients go on coming for 0.4 s at the most; then the listener closes. */
    private static final long ACCEPT_MS = 550;
    /** Requests come whole within so long after that, or never. */
    private static final long DRAIN_SLACK_MS = 100;

    /**
     * Requests that are played before the proxy serves, and the longest that may take. While a proxy
     * warms up the others carry its load, and if the next one is told to end meanwhile, nobody does; with
     * fewer than some 100 requests played, up to a fifth of the first 5 s is late or refused.
     */
    private static final int WARM_REQUESTS = 300;
    private static final long WARM_MS = 2000;

    private interface Event {
        void at(long now);
    }

    /** A request that was taken; kept until it is answered and its last attempt has ended. */
    private static final class Exchange {
        final int ticket;
        final Client client;
        final Message message;
        final long deadline;
        final List<Backends.Attempt> attempts = new ArrayList<>(2);
        int out;
        boolean over;
        ScheduledFuture<?> backstop;

        Exchange(int ticket, Client client, Message message, long deadline) {
            this.ticket = ticket;
            this.client = client;
            this.message = message;
            this.deadline = deadline;
        }
    }

    private final Config config;
    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final Frontend frontend;
    private final Backends backends;
    private final Discovery discovery;
    private final Balancer balancer;
    private final Map<Integer, Exchange> exchanges = new HashMap<>();
    private final Map<Client, Exchange> byClient = new IdentityHashMap<>();
    /** What discovery said goes ahead of all else that a wake-up brings. */
    private final Queue<Event> news = new ArrayDeque<>();
    private final Queue<Event> events = new ArrayDeque<>();
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private boolean delivering;
    private boolean listed;
    private int tickets;
    private ChannelFuture listening;

    /** To be called on the loop. */
    Proxy(Config config, EventLoop loop, Balancer.Factory factory, Backends.Transport transport) {
        this.config = config;
        this.loop = loop;
        Sockets sockets = new Sockets(config.sockets());
        this.frontend = new Frontend(config, clock, sockets.clients, this);
        this.backends = new Backends(loop, clock, sockets.backends, config, transport);
        this.discovery = new Discovery(loop, config, this);
        this.balancer = factory.create(config.settings(), config.seed(), clock.now(), this);
    }

    /**
     * Serves until the process is told to end. At each SIGHUP the configuration is read anew; one that cannot
     * be read changes nothing.
     */
    public static void run(Map<String, String> environment, Balancer.Factory factory)
            throws ConfigException, IOException {
        // The default would end the process, so this comes first: an early signal waits for the proxy.
        CompletableFuture<Proxy> started = new CompletableFuture<>();
        if (!Signals.on("HUP", () -> started.thenAccept(p -> p.reload(environment)))) {
            say("this runtime cannot hear SIGHUP: the configuration is read at the start only");
        }
        LibraryLog.install();
        say("starting");
        Config config = Config.read(environment);
        say("served " + Warmup.run(config, factory, WARM_REQUESTS, WARM_MS) + " requests to warm up");
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Proxy proxy = start(config, loop, factory);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            proxy.drain().join();
            // A process that a signal ends reports the signal; this one has ended well.
            Runtime.getRuntime().halt(0);
        }, "drain"));
        started.complete(proxy);
        loop.terminationFuture().awaitUninterruptibly();
        throw new IOException("the event loop has ended"); // better gone than deaf
    }

    /** Warms up, starts a proxy, and ends it. */
    public static void warm(Map<String, String> environment, Balancer.Factory factory)
            throws ConfigException, IOException {
        Config config = Config.read(environment);
        say("served " + Warmup.run(config, factory, WARM_REQUESTS, WARM_MS) + " requests to warm up");
        Proxy proxy = start(config, new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next(),
                factory);
        proxy.drain().join();
    }

    static Proxy start(Config config, EventLoop loop, Balancer.Factory factory) throws IOException {
        try {
            return loop.submit(() -> {
                Proxy p = new Proxy(config, loop, factory, Backends.tcp(loop));
                p.begin();
                return p;
            }).get().bound();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    private Proxy bound() throws IOException {
        listening.awaitUninterruptibly();
        if (!listening.isSuccess()) {
            throw new IOException("cannot listen on " + config.listen() + ": "
                    + listening.cause().getMessage());
        }
        return this;
    }

    private void begin() {
        Discovery.News known = discovery.known();
        if (known != null) {
            discovery.startFrom(known.version());
            hear(known);
        }
        if (!config.settings().askForList()) {
            discovery.watch(true);
        }
        loop.schedule(() -> {
            if (known != null && !known.list().isEmpty()) {
                listed();
            }
        }, LIST_WAIT_MS, TimeUnit.MILLISECONDS);
        listening = frontend.listen(loop);
    }

    /** A connection of a client that another listener has accepted. */
    void accept(Channel c) {
        frontend.accept(c);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.channel().localAddress();
    }

    /** Reads the configuration again, off the loop, and hands it over. */
    private void reload(Map<String, String> environment) {
        try {
            Config config = Config.reread(environment);
            loop.execute(() -> reload(config));
        } catch (ConfigException e) {
            say("the new configuration is not used: " + e.getMessage());
        }
    }

    /**
     * Takes over what may change while it serves: where discovery is. What the proxy knows and holds lives
     * on. To be called on the loop.
     */
    void reload(Config config) {
        say("a new configuration: discovery is at " + config.discovery());
        discovery.move(config.discovery());
    }

    /** Answers what has been taken and what still comes; the future is done once all is answered. */
    CompletableFuture<Void> drain() {
        loop.execute(() -> {
            say("draining");
            frontend.drain();
            loop.schedule(() -> {
                frontend.close();
                whenEmpty(0);
            }, ACCEPT_MS, TimeUnit.MILLISECONDS);
        });
        return ended;
    }

    private void whenEmpty(long waitedMs) {
        if (byClient.isEmpty() && (frontend.open() == 0 || waitedMs >= DRAIN_SLACK_MS)) {
            say("drained");
            ended.complete(null);
        } else {
            loop.schedule(() -> whenEmpty(waitedMs + 10), 10, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void log(String line) {
        say(line);
    }

    /** The log: one line on standard error. */
    static void say(String line) {
        System.err.println(System.currentTimeMillis() + " " + line);
    }

    // ---- events ----

    /**
     * The module hears of everything in order, on a clock that stands still for what one wake-up brings, and
     * never from inside one of its own actions. News of the backends come first: a proxy that stood still
     * finds requests and the news of a drain side by side, and which of them was read first is chance, but
     * the time since the drain was told has run on.
     */
    private void tell(int ticket, Event event) {
        tell(events, ticket, event);
    }

    private void tell(Queue<Event> queue, int ticket, Event event) {
        queue.add(now -> {
            try {
                event.at(now);
            } catch (RuntimeException e) {
                // A slip of the module costs one request, not all that the proxy holds.
                StackTraceElement[] trace = e.getStackTrace();
                say("the module failed: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
                fail(ticket);
            }
        });
        if (!delivering) {
            delivering = true;
            loop.execute(this::deliver);
        }
    }

    private void deliver() {
        long now = clock.now();
        while (!news.isEmpty() || !events.isEmpty()) {
            (news.isEmpty() ? events : news).remove().at(now);
        }
        delivering = false;
    }

    @Override
    public void news(Discovery.News news) {
        hear(news);
        listed();
    }

    /** What backends there are is known well enough to serve. */
    private void listed() {
        if (!listed) {
            listed = true;
            say("ready");
        }
    }

    /** Takes in what is known of the backends. */
    void hear(Discovery.News news) {
        backends.learn(news);
        tell(this.news, 0, now -> balancer.onMembers(now, news.kind(), news.version(),
                news.list().stream().map(Discovery.Listed::member).toList()));
    }

    @Override
    public void failed() {
        tell(news, 0, now -> balancer.onMembers(now, ListKind.FAILED, 0, List.of()));
    }

    @Override
    public boolean ready() {
        return listed;
    }

    @Override
    public void taken(Client client, Message message, Asked asked, long at) {
        do {
            tickets++;
        } while (tickets == 0 || exchanges.containsKey(tickets));
        long margin = Math.min(MARGIN_NS, asked.timeoutNs() / 4);
        Exchange x = new Exchange(tickets, client, message, at + asked.timeoutNs() - margin);
        exchanges.put(x.ticket, x);
        byClient.put(client, x);
        x.backstop = loop.schedule(() -> overdue(x), Math.max(0, x.deadline + margin
                - Math.min(BACKSTOP_NS, margin / 2) - clock.now()), TimeUnit.NANOSECONDS);
        tell(x.ticket, now -> balancer.onRequest(now, new Request(x.ticket, asked.profile(), asked.tenant(),
                asked.key(), Math.max(0, x.deadline - now), asked.hintNs(), asked.repeat())));
    }

    /** The module has not ended it in time: that must not leave the client with no answer. */
    private void overdue(Exchange x) {
        if (!x.over) {
            say("no answer in time, ticket " + x.ticket);
            answer(x, 504, null, "no answer in time\n".getBytes(StandardCharsets.UTF_8));
            withdraw(x);
        }
    }

    @Override
    public void gone(Client client) {
        Exchange x = byClient.get(client);
        if (x != null) {
            finish(x);
            withdraw(x);
        }
    }

    private void withdraw(Exchange x) {
        // Nothing may go out for it any more, whatever the module does.
        for (int i = 0; i < x.attempts.size(); i++) {
            cancel(x.ticket, i);
        }
        tell(x.ticket, now -> {
            balancer.onWithdrawn(now, x.ticket);
            forget(x);
        });
    }

    private void answer(Exchange x, int status, HttpHeaders headers, byte[] body) {
        finish(x);
        x.client.answer(status, headers, body);
    }

    private void finish(Exchange x) {
        x.over = true;
        x.backstop.cancel(false);
        byClient.remove(x.client);
    }

    private void forget(Exchange x) {
        if (x.over && x.out == 0) {
            exchanges.remove(x.ticket);
        }
    }

    private void ended(Exchange x, int number, int server, long startedAt, Status status, Report report,
            Backends.Answer answer) {
        if (status == Status.OK && !x.over) {
            answer(x, 200, answer.head().headers(), answer.body());
        } else if (answer != null && !x.over) {
            answer(x, answer.head().status().code(), null,
                    "the backend cannot use this request\n".getBytes(StandardCharsets.UTF_8));
        }
        long elapsed = clock.now() - startedAt;
        tell(x.ticket, now -> {
            x.out--;
            balancer.onOutcome(now, new Outcome(x.ticket, number, server, status, elapsed, x.over, report));
            forget(x);
        });
    }

    // ---- actions ----

    @Override
    public void send(int ticket, int server, long timeoutNs) {
        Exchange x = exchanges.get(ticket);
        if (x == null) {
            say("an attempt for ticket " + ticket + ", which is over");
            tell(0, now -> balancer.onOutcome(now,
                    new Outcome(ticket, 0, server, Status.MOOT, 0, true, null)));
            return;
        }
        long now = clock.now();
        long left = x.deadline - now;
        int number = x.attempts.size();
        x.out++;
        if (x.over || left <= 0 || number >= config.settings().maxAttempts()) {
            x.attempts.add(null);
            ended(x, number, server, now, Status.MOOT, null, null);
            return;
        }
        x.attempts.add(backends.send(server, x.message, timeoutNs == 0 ? left : Math.min(timeoutNs, left),
                (a, status, report, answer) -> ended(x, number, server, now, status, report, answer)));
    }

    @Override
    public void refuse(int ticket, long retryInNs) {
        Exchange x = exchanges.get(ticket);
        if (x != null && !x.over) {
            HttpHeaders headers = new DefaultHttpHeaders();
            if (retryInNs > 0) {
                headers.set("Retry-After", Message.seconds(retryInNs));
            }
            answer(x, 503, headers, "refused, try again\n".getBytes(StandardCharsets.UTF_8));
            forget(x);
        }
    }

    @Override
    public void fail(int ticket) {
        Exchange x = exchanges.get(ticket);
        if (x != null && !x.over) {
            answer(x, 502, null, "failed\n".getBytes(StandardCharsets.UTF_8));
            forget(x);
        }
    }

    @Override
    public void cancel(int ticket, int attempt) {
        Exchange x = exchanges.get(ticket);
        if (x != null && attempt < x.attempts.size() && x.attempts.get(attempt) != null) {
            x.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void timer(long at, long token) {
        loop.schedule(() -> tell(0, now -> balancer.onTimer(now, token)), Math.max(0, at - clock.now()),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void closeIdle(int server) {
        backends.closeIdle(server);
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
