package gullspar.versions.net;

import gullspar.config.ControlFile;
import gullspar.proxy.io.AcceptBackoff;
import gullspar.proxy.io.Platform;
import gullspar.versions.Delta;
import gullspar.versions.Document;
import gullspar.versions.Follower;
import gullspar.versions.History;
import gullspar.versions.Message;
import gullspar.versions.Publisher;
import gullspar.versions.Registry;
import gullspar.versions.Version;
import gullspar.versions.file.Store;
import gullspar.versions.wire.Codec;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * A control process: it has the document, hands it to followers, and knows who runs what. The primary takes
 * changes; the others follow it as proxies do. On its loop, but for what is checked, compared and kept: that
 * is done one after the other on a worker.
 */
public final class ControlNode implements Link.Listener {
    private static final String NAME = "[A-Za-z0-9._+-]+";
    private static final long BEAT_MS = 1000;
    private static final long REPORT_MS = 50;
    private static final long SILENT_NS = 10_000_000_000L;
    private static final int MOST_CHANGES = 1000;
    private static final int MOST_CHANGES_BYTES = 2 << 20;
    private static final int MOST_FOLLOWERS = 20_000;
    private static final int MOST_MISSING = 200;
    private static final int CONTROL_PACE = 2_000_000;
    private static final Follower.Settings UPSTREAM = new Follower.Settings(
            Follower.Settings.USUAL.waitNs(),
            Follower.Settings.USUAL.silenceNs(),
            200_000_000L,
            2_000_000_000L,
            2_000_000_000L);
    /** A follower that catches up is not to wait: it asks one that has something, or not. */
    private static final Follower.Settings CATCH_UP =
            new Follower.Settings(0, Follower.Settings.USUAL.silenceNs(), 200_000_000L, 1_000_000_000L, 1_000_000_000L);

    private record Change(Link from, Message.Publish publish) {}

    private final ControlFile file;
    private final Platform platform;
    private final Store store;
    private final ExecutorService worker;
    private final RandomGenerator random;
    private final Publisher.Check check;
    private final Audience audience;
    private final Registry registry;
    /** Null but at the primary. */
    private final Publisher publisher;
    /** Null at the primary. */
    private FollowerNode upstream;
    /** At the primary after a start: those that ask the others what they have. */
    private final Map<String, FollowerNode> asking = new LinkedHashMap<>();

    private final Queue<Change> changes = new ArrayDeque<>();
    private final Set<Link> links = new HashSet<>();
    private boolean busy;
    private boolean reporting;
    private int reportedTo;
    private History history = new History(MOST_CHANGES, MOST_CHANGES_BYTES);
    private Channel listener;

    /** store: read and written on the worker only. */
    public ControlNode(
            ControlFile file,
            Platform platform,
            Store store,
            ExecutorService worker,
            RandomGenerator random,
            Publisher.Check check) {
        this.file = file;
        this.platform = platform;
        this.store = store;
        this.worker = worker;
        this.random = random;
        this.check = check;
        this.audience = new Audience(
                platform.loop(),
                platform.clock()::now,
                new Audience.Paces(file.maxBytesPerSecond(), file.maxInitialBytesPerSecond(), CONTROL_PACE),
                file.maxSnapshots(),
                history);
        this.registry = new Registry(file.forgetAfterNs(), MOST_FOLLOWERS);
        Set<String> others = new HashSet<>(file.controls().keySet());
        others.remove(file.name());
        this.publisher = file.name().equals(file.primary()) ? new Publisher(file.epoch(), others) : null;
    }

    private long now() {
        return platform.clock().now();
    }

    // ---- the start ----

    /** Begins with what its disk has; bound is told when it listens, with null, or why not. On the loop. */
    public void start(Store.Found found, Consumer<String> bound) {
        found.damage().forEach(platform.log()::write);
        if (found.kept() != null) {
            Codec.Kept k = found.kept();
            history.restore(k.document(), k.oldest(), k.deltas());
            platform.log()
                    .write("has version " + history.version() + " and "
                            + history.deltas().size()
                            + " changes before it"
                            + (found.mayBeOlder() ? "; it had a newer one, which is damaged" : ""));
        } else {
            platform.log().write("has no version yet");
        }
        ChannelFuture f = platform.transport()
                .listen(file.controls().get(file.name()), new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new Link(ControlNode.this, FollowerNode.MOST));
                    }
                });
        f.addListener(done -> {
            if (!done.isSuccess()) {
                bound.accept(done.cause().getMessage());
                return;
            }
            listener = AcceptBackoff.addTo(f).channel();
            begin(found);
            platform.loop().scheduleWithFixedDelay(this::beat, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
            bound.accept(null);
        });
    }

    private void begin(Store.Found found) {
        if (publisher == null) {
            upstream = follower(file.primary(), Message.Role.CONTROL, UPSTREAM, m -> {});
            upstream.start(history.head(), found.mayBeOlder());
            return;
        }
        own();
        for (String other : file.controls().keySet()) {
            if (!other.equals(file.name())) {
                FollowerNode n = follower(other, Message.Role.PRIMARY, CATCH_UP, m -> told(other, m));
                asking.put(other, n);
                n.start(history.head(), false);
            }
        }
        ready();
    }

    private FollowerNode follower(String of, Message.Role role, Follower.Settings settings, Consumer<Message> heard) {
        return new FollowerNode(
                file.name(),
                role,
                settings,
                List.of(file.controls().get(of)),
                platform,
                random,
                this::take,
                heard,
                of + ": ");
    }

    /** What another control process tells the primary after its start. */
    private void told(String other, Message m) {
        if (m instanceof Message.Head h) {
            publisher.heard(other, h.head());
            ready();
        }
    }

    private void ready() {
        if (publisher.ready(history) && !asking.isEmpty()) {
            List<FollowerNode> done = new ArrayList<>(asking.values());
            asking.clear();
            platform.loop().execute(() -> done.forEach(FollowerNode::end));
            platform.log()
                    .write("all control processes are heard: takes changes after "
                            + (history.head() == null ? "nothing" : history.version()));
            audience.beat(head(), SILENT_NS);
        }
    }

    /** The newest version that it has; null for none. On the loop. */
    public Version version() {
        return history.version();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Closes the listener and all connections. */
    public void end() {
        listener.close();
        List.copyOf(links).forEach(l -> l.end(null));
        if (upstream != null) {
            upstream.end();
        }
        asking.values().forEach(FollowerNode::end);
    }

    // ---- documents ----

    /** A follower of another control process has a newer document: it is kept, then handed on. */
    private void take(Document d, List<Delta> led, boolean kept, Consumer<String> done) {
        if (history.head() != null && history.version().order(d.version()) >= 0) {
            done.accept(null); // the one that it began with, or one that came over another connection
            return;
        }
        History next = history.copy();
        next.append(d, led);
        keep(next, why -> {
            if (why == null) {
                adopt(next);
            }
            done.accept(why);
        });
    }

    private void keep(History next, Consumer<String> then) {
        worker.execute(() -> {
            String why = null;
            try {
                store.keep(new Codec.Kept(next.head(), next.oldest(), next.deltas()));
            } catch (IOException e) {
                why = "it cannot be kept: " + (e.getMessage() == null ? e : e.getMessage());
            }
            String result = why;
            platform.loop().execute(() -> then.accept(result));
        });
    }

    private void adopt(History next) {
        if (history.head() != null && history.version().order(next.version()) >= 0) {
            return;
        }
        history = next;
        audience.tell(history);
        if (publisher != null) {
            own();
            ready();
        }
    }

    /** The primary runs what it has, as far as operators are concerned. */
    private void own() {
        registry.running(file.name(), true, history.version(), "", file.name());
    }

    private boolean inStep() {
        return publisher != null ? publisher.ready(history) : upstream != null && upstream.inStep();
    }

    private Message.Head head() {
        return new Message.Head(file.name(), history.version(), inStep());
    }

    private void beat() {
        registry.forget(now());
        audience.beat(head(), SILENT_NS);
        report();
    }

    // ---- changes ----

    private void publish(Link from, Message.Publish p) {
        if (publisher == null) {
            answer(
                    from,
                    Publisher.Outcome.NOT_PRIMARY,
                    List.of("the primary is " + file.primary() + " at "
                            + NetUtil.toSocketAddressString(file.controls().get(file.primary()))));
        } else if (changes.size() >= MOST_CHANGES) {
            answer(from, Publisher.Outcome.NOT_READY, List.of("too many changes wait"));
        } else {
            changes.add(new Change(from, p));
            nextChange();
        }
    }

    private void nextChange() {
        Change c = busy ? null : changes.poll();
        if (c == null) {
            return;
        }
        Message.Publish p = c.publish();
        Publisher.Decision d = publisher.begin(p.after(), p.file(), p.text(), history);
        if (d.outcome() != Publisher.Outcome.ACCEPTED) {
            answer(c.from(), d.outcome(), d.lines());
            nextChange();
            return;
        }
        busy = true;
        History next = history.copy();
        worker.execute(() -> {
            List<String> problems = new ArrayList<>();
            try {
                problems.addAll(check.problems(p.file(), p.text()));
                if (problems.isEmpty()) {
                    next.append(
                            d.document(),
                            next.head() == null
                                    ? List.of()
                                    : List.of(Delta.between(next.head().text(), d.document())));
                }
            } catch (RuntimeException e) { // a slip of the reader's costs this change, not all that follow
                problems.add(p.file() + ":1:1: this program failed on it: " + e);
            }
            platform.loop().execute(() -> {
                if (problems.isEmpty()) {
                    keep(next, why -> kept(c, next, why));
                } else {
                    over(c, Publisher.Outcome.WRONG, problems);
                }
            });
        });
    }

    private void kept(Change c, History next, String why) {
        if (why == null) {
            adopt(next);
            platform.log()
                    .write("version " + history.version() + " from " + c.from().peer());
            over(c, Publisher.Outcome.ACCEPTED, List.of());
        } else {
            platform.log().write("a change is refused: " + why);
            over(c, Publisher.Outcome.FAILED, List.of(why));
        }
    }

    private void over(Change c, Publisher.Outcome o, List<String> lines) {
        busy = false;
        answer(c.from(), o, lines);
        nextChange();
    }

    private void answer(Link to, Publisher.Outcome o, List<String> lines) {
        to.send(new Message.Published(o, history.version(), lines));
    }

    // ---- connections ----

    @Override
    public void opened(Link l) {
        links.add(l);
    }

    @Override
    public void part(Link l) {
        audience.heard(l);
    }

    @Override
    public void writable(Link l) {
        audience.writable(l);
    }

    @Override
    public void received(Link l, Message m) {
        audience.heard(l);
        if (m instanceof Message.Hello h) {
            if (audience.who(l) != null || !h.name().matches(NAME)) {
                l.end("a greeting that cannot be");
                return;
            }
            audience.enter(l, h, head());
        } else if (m instanceof Message.Ack a) {
            ack(l, a);
        } else if (m instanceof Message.Want) {
            audience.want(l);
        } else if (m instanceof Message.Report r) {
            r.all().forEach(one -> registry.told(now(), one));
        } else if (m instanceof Message.Publish p) {
            publish(l, p);
        } else if (m instanceof Message.Look k) {
            Registry.Standing s = registry.standing(now(), history.version());
            List<Message.Running> all = k.whole() ? registry.all(now()) : s.missing();
            l.send(new Message.Looked(
                    file.name(),
                    publisher != null,
                    inStep(),
                    history.version(),
                    s.followers(),
                    s.inForce(),
                    k.whole() || all.size() <= MOST_MISSING ? all : all.subList(0, MOST_MISSING)));
        }
    }

    private void ack(Link l, Message.Ack a) {
        Message.Hello who = audience.who(l);
        if (who == null || who.role() == Message.Role.PRIMARY) {
            return;
        }
        registry.running(who.name(), who.role() == Message.Role.CONTROL, a.inForce(), a.trouble(), file.name());
        if (publisher != null && a.inForce() != null) {
            beyond(who, a);
        }
        soon();
    }

    /** A follower that has more than this one, or something else, is heard before a further change. */
    private void beyond(Message.Hello who, Message.Ack a) {
        History.Kind kind = history.answer(a.inForce()).kind();
        if (kind == History.Kind.AHEAD || kind == History.Kind.FORKED) {
            boolean before = publisher.ready(history);
            publisher.heard(who.name(), a.inForce());
            if (before && !publisher.ready(history)) {
                platform.log().write("takes no changes: " + publisher.obstacle(history));
            }
        }
    }

    @Override
    public void closed(Link l, String why) {
        links.remove(l);
        Message.Hello who = audience.who(l);
        if (!why.equals(Link.CLOSED)) {
            platform.log().write("closed the connection of " + (who == null ? l.peer() : who.name()) + ": " + why);
        }
        audience.leave(l);
        if (who == null || who.role() == Message.Role.PRIMARY) {
            return;
        }
        if (audience.all().stream().noneMatch(h -> h.name().equals(who.name()))) {
            registry.gone(now(), who.name(), file.name());
        }
        if (who.role() == Message.Role.CONTROL) {
            registry.lost(now(), who.name());
        }
        soon();
    }

    // ---- who runs what ----

    private void soon() {
        if (upstream != null && !reporting) {
            reporting = true;
            platform.loop()
                    .schedule(
                            () -> {
                                reporting = false;
                                report();
                            },
                            REPORT_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void report() {
        if (upstream == null || !upstream.follower().connected()) {
            return;
        }
        if (reportedTo != upstream.connections()) { // whoever is there now has heard nothing
            reportedTo = upstream.connections();
            registry.retell();
        }
        List<Message.Running> news = registry.changes(now());
        if (!news.isEmpty()) {
            upstream.send(new Message.Report(news));
        }
    }

    /** Followers that are connected, snapshots begun, and the most of these at once. For measurements. */
    public long[] figures() {
        return new long[] {audience.size(), audience.snapshots(), audience.snapshotsAtOnce()};
    }
}
