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
 * A control process: distributes the document to followers and tracks their states. The primary accepts changes;
 * the others follow it as proxies do. Runs on its event loop, except for validating, comparing and persisting
 * documents, which a worker does sequentially.
 */
public final class ControlNode implements Link.Listener {
    private static final String NAME_PATTERN = "[A-Za-z0-9._+-]+";
    private static final long HEARTBEAT_MS = 1000;
    /** States of followers that change within this time are reported to the primary together. */
    private static final long REPORT_DELAY_MS = 50;
    /** A follower from which nothing was received for this long is disconnected. */
    private static final long SILENCE_TIMEOUT_NS = 10_000_000_000L;
    /** Limit on the deltas in the history, and separately on the changes that wait for a decision. */
    private static final int MAX_CHANGES = 1000;
    /** Limit on the estimated size of the deltas in the history. */
    private static final int MAX_CHANGES_BYTES = 2 << 20;

    private static final int MAX_FOLLOWERS = 20_000;
    /** Limit on followers in a status response, unless all were requested. */
    private static final int MAX_LISTED_FOLLOWERS = 200;
    /** Rate limit for updates to another control process. */
    private static final int CONTROL_BYTES_PER_SECOND = 2_000_000;

    private static final Follower.Settings UPSTREAM_SETTINGS = new Follower.Settings(
            Follower.Settings.DEFAULTS.startupWaitNs(),
            Follower.Settings.DEFAULTS.outdatedTimeoutNs(),
            Follower.Settings.DEFAULTS.silenceTimeoutNs(),
            200_000_000L,
            2_000_000_000L,
            2_000_000_000L);
    /** No startup wait: the primary only queries what one other process has. */
    private static final Follower.Settings CATCH_UP_SETTINGS = new Follower.Settings(
            0, 0, Follower.Settings.DEFAULTS.silenceTimeoutNs(), 200_000_000L, 1_000_000_000L, 1_000_000_000L);

    private record Change(Link from, Message.Publish publish) {}

    private final ControlFile file;
    private final Platform platform;
    private final Store store;
    private final ExecutorService worker;
    private final RandomGenerator random;
    private final Publisher.Check check;
    private final FollowerSessions sessions;
    private final Registry registry;
    /** Null except at the primary. */
    private final Publisher publisher;
    /** Null at the primary. */
    private FollowerNode upstream;
    /** At the primary after a start: the followers that fetch the versions of the other control processes. */
    private final Map<String, FollowerNode> versionQueries = new LinkedHashMap<>();

    private final Queue<Change> pendingChanges = new ArrayDeque<>();
    private final Set<Link> links = new HashSet<>();
    private boolean changeInProgress;
    private boolean reportScheduled;
    private int reportedConnections;
    private History history = new History(MAX_CHANGES, MAX_CHANGES_BYTES);
    private Channel listener;

    /** store: written on the worker only. */
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
        this.sessions = new FollowerSessions(
                platform.loop(),
                platform.clock()::now,
                new FollowerSessions.Rates(
                        file.maxBytesPerSecond(), file.maxInitialBytesPerSecond(), CONTROL_BYTES_PER_SECOND),
                file.maxSnapshots(),
                history);
        this.registry = new Registry(file.forgetAfterNs(), MAX_FOLLOWERS);
        Set<String> others = new HashSet<>(file.controls().keySet());
        others.remove(file.name());
        this.publisher = file.name().equals(file.primary()) ? new Publisher(file.epoch(), others) : null;
    }

    private long now() {
        return platform.clock().now();
    }

    // ---- startup ----

    /** Starts with the state read from disk; bound receives null once it listens, or the failure. On the loop. */
    public void start(Store.Found found, Consumer<String> bound) {
        found.damage().forEach(platform.log()::write);
        if (found.stored() != null) {
            Codec.StoredDocument stored = found.stored();
            history.restore(stored.document(), stored.oldest(), stored.deltas());
            platform.log()
                    .write("starting with version " + history.version() + " and "
                            + history.deltas().size()
                            + " earlier changes"
                            + (found.mayBeOlder() ? "; a newer version on disk is damaged" : ""));
        } else {
            platform.log().write("starting without a version: none on disk");
        }
        ChannelFuture f = platform.transport()
                .listen(file.controls().get(file.name()), new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new Link(ControlNode.this, FollowerNode.MAX_UPDATE_BYTES));
                    }
                });
        f.addListener(done -> {
            if (!done.isSuccess()) {
                bound.accept(done.cause().getMessage());
                return;
            }
            listener = AcceptBackoff.addTo(f).channel();
            startFollowing(found);
            platform.loop().scheduleWithFixedDelay(this::heartbeat, HEARTBEAT_MS, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
            bound.accept(null);
        });
    }

    private void startFollowing(Store.Found found) {
        if (publisher == null) {
            upstream = follower(file.primary(), Message.Role.CONTROL, UPSTREAM_SETTINGS, m -> {});
            upstream.start(history.head(), found.mayBeOlder());
            return;
        }
        recordOwnVersion();
        for (String other : file.controls().keySet()) {
            if (!other.equals(file.name())) {
                FollowerNode n =
                        follower(other, Message.Role.PRIMARY, CATCH_UP_SETTINGS, m -> onVersionReported(other, m));
                versionQueries.put(other, n);
                n.start(history.head(), false);
            }
        }
        finishCatchUpIfReady();
    }

    private FollowerNode follower(
            String of, Message.Role role, Follower.Settings settings, Consumer<Message> messageListener) {
        return new FollowerNode(
                file.name(),
                role,
                settings,
                List.of(file.controls().get(of)),
                platform,
                random,
                this::apply,
                messageListener,
                of + ": ");
    }

    /** Receives messages of another control process at the primary after its start. */
    private void onVersionReported(String other, Message m) {
        if (m instanceof Message.Head h) {
            publisher.recordVersion(other, h.head());
            finishCatchUpIfReady();
        }
    }

    private void finishCatchUpIfReady() {
        if (publisher.isReady(history) && !versionQueries.isEmpty()) {
            List<FollowerNode> done = new ArrayList<>(versionQueries.values());
            versionQueries.clear();
            platform.loop().execute(() -> done.forEach(FollowerNode::stop));
            platform.log()
                    .write("all control processes have reported their versions: accepting changes after "
                            + (history.head() == null ? "nothing" : history.version()));
            sessions.heartbeat(head(), SILENCE_TIMEOUT_NS);
        }
    }

    /** The newest version, or null. On the loop. */
    public Version version() {
        return history.version();
    }

    /** The address it listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Closes the listener and all connections. */
    public void stop() {
        listener.close();
        List.copyOf(links).forEach(l -> l.close(null));
        if (upstream != null) {
            upstream.stop();
        }
        versionQueries.values().forEach(FollowerNode::stop);
    }

    // ---- documents ----

    /** Persists and distributes a newer document received from another control process. */
    private void apply(Document d, List<Delta> deltas, boolean persisted, Consumer<String> done) {
        if (history.head() != null && history.version().comparePosition(d.version()) >= 0) {
            done.accept(null); // the one it started with, or one received over another connection
            return;
        }
        History next = history.copy();
        next.append(d, deltas);
        persist(next, failure -> {
            if (failure == null) {
                adopt(next);
            }
            done.accept(failure);
        });
    }

    private void persist(History next, Consumer<String> then) {
        worker.execute(() -> {
            String failure = null;
            try {
                store.persist(new Codec.StoredDocument(next.head(), next.oldest(), next.deltas()));
            } catch (IOException e) {
                failure = "it cannot be kept: " + (e.getMessage() == null ? e : e.getMessage());
            }
            String result = failure;
            platform.loop().execute(() -> then.accept(result));
        });
    }

    private void adopt(History next) {
        if (history.head() != null && history.version().comparePosition(next.version()) >= 0) {
            return;
        }
        history = next;
        sessions.distribute(history);
        if (publisher != null) {
            recordOwnVersion();
            finishCatchUpIfReady();
        }
    }

    /** Registers the primary itself, so that operators see its version too. */
    private void recordOwnVersion() {
        registry.recordVersion(file.name(), true, history.version(), "", file.name());
    }

    private boolean isInStep() {
        return publisher != null ? publisher.isReady(history) : upstream != null && upstream.isInStep();
    }

    private Message.Head head() {
        return new Message.Head(file.name(), history.version(), isInStep());
    }

    private void heartbeat() {
        registry.evictExpired(now());
        sessions.heartbeat(head(), SILENCE_TIMEOUT_NS);
        report();
    }

    // ---- changes ----

    private void publish(Link from, Message.Publish p) {
        if (publisher == null) {
            respond(
                    from,
                    Publisher.Outcome.NOT_PRIMARY,
                    List.of("not the primary; the primary is " + file.primary() + " at "
                            + NetUtil.toSocketAddressString(file.controls().get(file.primary()))));
        } else if (pendingChanges.size() >= MAX_CHANGES) {
            respond(
                    from,
                    Publisher.Outcome.NOT_READY,
                    List.of("too many changes are waiting, the maximum is " + MAX_CHANGES));
        } else {
            pendingChanges.add(new Change(from, p));
            startNextChange();
        }
    }

    private void startNextChange() {
        Change c = changeInProgress ? null : pendingChanges.poll();
        if (c == null) {
            return;
        }
        Message.Publish p = c.publish();
        Publisher.Decision d = publisher.decide(p.baseNumber(), p.file(), p.text(), history);
        if (d.outcome() != Publisher.Outcome.ACCEPTED) {
            respond(c.from(), d.outcome(), d.lines());
            startNextChange();
            return;
        }
        changeInProgress = true;
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
            } catch (RuntimeException e) { // a bug in the parser must not stop later changes
                problems.add(p.file() + ":1:1: internal error while validating: " + e);
            }
            platform.loop().execute(() -> {
                if (problems.isEmpty()) {
                    persist(next, failure -> changePersisted(c, next, failure));
                } else {
                    finishChange(c, Publisher.Outcome.WRONG, problems);
                }
            });
        });
    }

    private void changePersisted(Change c, History next, String failure) {
        if (failure == null) {
            adopt(next);
            platform.log()
                    .write("version " + history.version() + " from " + c.from().peer());
            finishChange(c, Publisher.Outcome.ACCEPTED, List.of());
        } else {
            platform.log().write("change failed: " + failure);
            finishChange(c, Publisher.Outcome.FAILED, List.of(failure));
        }
    }

    private void finishChange(Change c, Publisher.Outcome o, List<String> lines) {
        changeInProgress = false;
        respond(c.from(), o, lines);
        startNextChange();
    }

    private void respond(Link to, Publisher.Outcome o, List<String> lines) {
        to.send(new Message.Published(o, history.version(), lines));
    }

    // ---- connections ----

    @Override
    public void opened(Link l) {
        links.add(l);
    }

    @Override
    public void partReceived(Link l) {
        sessions.recordReceived(l);
    }

    @Override
    public void writable(Link l) {
        sessions.writable(l);
    }

    @Override
    public void received(Link l, Message m) {
        sessions.recordReceived(l);
        if (m instanceof Message.Hello h) {
            if (sessions.helloOf(l) != null || !h.name().matches(NAME_PATTERN)) {
                l.close("unexpected or invalid hello");
                return;
            }
            sessions.add(l, h, head());
        } else if (m instanceof Message.Ack a) {
            onAck(l, a);
        } else if (m instanceof Message.SnapshotRequest) {
            sessions.requestSnapshot(l);
        } else if (m instanceof Message.Report r) {
            r.states().forEach(state -> registry.merge(now(), state));
        } else if (m instanceof Message.Publish p) {
            publish(l, p);
        } else if (m instanceof Message.StatusRequest request) {
            Registry.Progress progress = registry.progress(now(), history.version());
            List<Message.FollowerState> all = request.full() ? registry.all(now()) : progress.missing();
            l.send(new Message.StatusResponse(
                    file.name(),
                    publisher != null,
                    isInStep(),
                    history.version(),
                    progress.followers(),
                    progress.inForce(),
                    request.full() || all.size() <= MAX_LISTED_FOLLOWERS ? all : all.subList(0, MAX_LISTED_FOLLOWERS)));
        }
    }

    private void onAck(Link l, Message.Ack a) {
        Message.Hello hello = sessions.helloOf(l);
        if (hello == null || hello.role() == Message.Role.PRIMARY) {
            return;
        }
        registry.recordVersion(
                hello.name(), hello.role() == Message.Role.CONTROL, a.inForce(), a.trouble(), file.name());
        if (publisher != null && a.inForce() != null) {
            recordIfAheadOrForked(hello, a);
        }
        scheduleReport();
    }

    /** A follower with a higher version or a fork blocks further changes. */
    private void recordIfAheadOrForked(Message.Hello hello, Message.Ack a) {
        History.UpdateKind kind = history.planFor(a.inForce()).kind();
        if (kind == History.UpdateKind.AHEAD || kind == History.UpdateKind.FORKED) {
            boolean before = publisher.isReady(history);
            publisher.recordVersion(hello.name(), a.inForce());
            if (before && !publisher.isReady(history)) {
                platform.log().write("no longer accepting changes: " + publisher.obstacle(history));
            }
        }
    }

    @Override
    public void closed(Link l, String reason) {
        links.remove(l);
        Message.Hello hello = sessions.helloOf(l);
        if (!reason.equals(Link.CLOSED_BY_PEER)) {
            platform.log()
                    .write("closed the connection of " + (hello == null ? l.peer() : hello.name()) + ": " + reason);
        }
        sessions.remove(l);
        if (hello == null || hello.role() == Message.Role.PRIMARY) {
            return;
        }
        if (sessions.hellos().stream().noneMatch(h -> h.name().equals(hello.name()))) {
            registry.recordDisconnect(now(), hello.name(), file.name());
        }
        if (hello.role() == Message.Role.CONTROL) {
            registry.recordControlLost(now(), hello.name());
        }
        scheduleReport();
    }

    // ---- follower states ----

    private void scheduleReport() {
        if (upstream != null && !reportScheduled) {
            reportScheduled = true;
            platform.loop()
                    .schedule(
                            () -> {
                                reportScheduled = false;
                                report();
                            },
                            REPORT_DELAY_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void report() {
        if (upstream == null || !upstream.follower().isConnected()) {
            return;
        }
        if (reportedConnections != upstream.connections()) { // a new connection has received no reports
            reportedConnections = upstream.connections();
            registry.markAllChanged();
        }
        List<Message.FollowerState> changed = registry.changes(now());
        if (!changed.isEmpty()) {
            upstream.send(new Message.Report(changed));
        }
    }

    /** Connected followers, snapshots started, and the peak of concurrent ones. For measurements. */
    public long[] statistics() {
        return new long[] {sessions.size(), sessions.snapshotsStarted(), sessions.peakSnapshots()};
    }
}
