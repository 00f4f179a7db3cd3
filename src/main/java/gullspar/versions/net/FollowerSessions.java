package gullspar.versions.net;

import gullspar.versions.FollowerUpdates;
import gullspar.versions.History;
import gullspar.versions.Message;
import gullspar.versions.RateLimiter;
import gullspar.versions.SnapshotSlots;
import gullspar.versions.Version;
import gullspar.versions.wire.Frames;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The followers connected to a control process, and the frames queued for each, sent at a limited rate. */
final class FollowerSessions {
    /**
     * Rate limits in bytes per second.
     *
     * @param proxy for a proxy that has a version
     * @param initialProxy for a proxy without any version, which serves no traffic yet
     * @param control for a control process
     */
    record Rates(int proxy, int initialProxy, int control) {}

    /** One connected follower. */
    private final class Session {
        private final Link link;
        private final Message.Hello hello;
        private final FollowerUpdates updates = new FollowerUpdates(slots);
        private final Deque<byte[]> frames = new ArrayDeque<>();
        private RateLimiter rateLimiter;
        private boolean sendingSnapshot;
        private boolean pumpScheduled;
        private long receivedAtNs = clock.getAsLong();

        Session(Link link, Message.Hello hello) {
            this.link = link;
            this.hello = hello;
            int bytes = hello.role() != Message.Role.PROXY
                    ? rates.control
                    : hello.held() == null ? rates.initialProxy : rates.proxy;
            this.rateLimiter = new RateLimiter(bytes, clock.getAsLong());
        }
    }

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Rates rates;
    private final SnapshotSlots slots;
    private final Map<Link, Session> sessions = new LinkedHashMap<>();
    private final Map<FollowerUpdates, Session> byUpdates = new LinkedHashMap<>();
    private History history;
    private Version cachedVersion;
    private Version cachedAncestor;
    private List<byte[]> cachedFrames;
    private long snapshotsStarted;

    /** slotCount: maximum of concurrent snapshots; history: source of the updates. */
    FollowerSessions(EventLoop loop, LongSupplier clock, Rates rates, int slotCount, History history) {
        this.loop = loop;
        this.clock = clock;
        this.rates = rates;
        this.slots = new SnapshotSlots(slotCount);
        this.history = history;
    }

    /** Adds a follower and closes an older connection with the same name and role. */
    void add(Link link, Message.Hello hello, Message.Head head) {
        for (Session s : List.copyOf(sessions.values())) {
            if (s.hello.name().equals(hello.name()) && s.hello.role() == hello.role() && s.link != link) {
                s.link.close("replaced by another connection of " + hello.name());
            }
        }
        Session s = new Session(link, hello);
        sessions.put(link, s);
        byUpdates.put(s.updates, s);
        s.updates.onHello(hello.held());
        sendHead(s, head);
        pump(s);
    }

    /** The hello received on the connection, or null. */
    Message.Hello helloOf(Link link) {
        Session s = sessions.get(link);
        return s == null ? null : s.hello;
    }

    Collection<Message.Hello> hellos() {
        return sessions.values().stream().map(s -> s.hello).toList();
    }

    /** Records that data has been received. */
    void recordReceived(Link link) {
        Session s = sessions.get(link);
        if (s != null) {
            s.receivedAtNs = clock.getAsLong();
        }
    }

    /** The follower could not apply an update. */
    void requestSnapshot(Link link) {
        Session s = sessions.get(link);
        if (s != null) {
            s.updates.requestSnapshot();
            pump(s);
        }
    }

    /** Removes a follower whose connection has ended. */
    void remove(Link link) {
        Session s = sessions.remove(link);
        if (s != null) {
            byUpdates.remove(s.updates);
            pumpNext(s.updates.releaseSlot());
        }
    }

    /** Sends a newer document to all followers. */
    void distribute(History newer) {
        history = newer;
        List.copyOf(sessions.values()).forEach(this::pump);
    }

    /** Sends the head to followers without queued frames, and closes connections that were silent too long. */
    void heartbeat(Message.Head head, long silentNs) {
        long now = clock.getAsLong();
        for (Session s : List.copyOf(sessions.values())) {
            if (now - s.receivedAtNs > silentNs) {
                s.link.close("nothing received for " + (now - s.receivedAtNs) / 1_000_000 + " ms");
            } else {
                sendHead(s, head);
            }
        }
    }

    private void sendHead(Session s, Message.Head head) {
        if (s.frames.isEmpty()) { // frames of two messages must not mix; queued ones show liveness themselves
            for (byte[] f : Frames.of(head)) {
                s.link.write(f);
                s.rateLimiter.spend(clock.getAsLong(), f.length);
            }
            s.link.flush();
        }
    }

    private void pumpNext(FollowerUpdates next) {
        if (next != null) {
            pump(byUpdates.get(next));
        }
    }

    /** Writes as many frames as the rate limit and the channel allow. */
    private void pump(Session s) {
        if (s == null || s.pumpScheduled || !sessions.containsKey(s.link)) {
            return;
        }
        while (s.link.isWritable()) {
            long now = clock.getAsLong();
            long readyAtNs = s.rateLimiter.readyAtNs(now);
            if (readyAtNs > now) { // an update is built only when it may be sent, so that it covers all changes
                s.pumpScheduled = true;
                loop.schedule(
                        () -> {
                            s.pumpScheduled = false;
                            pump(s);
                        },
                        readyAtNs - now,
                        TimeUnit.NANOSECONDS);
                break;
            }
            if (s.frames.isEmpty() && !queueNextUpdate(s)) {
                break;
            }
            byte[] f = s.frames.poll();
            s.link.write(f);
            s.rateLimiter.spend(now, f.length);
            if (s.frames.isEmpty() && s.sendingSnapshot) {
                s.sendingSnapshot = false;
                if (s.hello.role() == Message.Role.PROXY) { // it serves traffic from now on
                    s.rateLimiter = new RateLimiter(rates.proxy, now);
                }
                pumpNext(s.updates.releaseSlot());
            }
        }
        s.link.flush();
    }

    /** The channel is writable again. */
    void writable(Link link) {
        pump(sessions.get(link));
    }

    private boolean queueNextUpdate(Session s) {
        Message.Update u = s.updates.next(history);
        if (u == null) {
            return false;
        }
        s.sendingSnapshot = u.deltas().isEmpty();
        if (s.sendingSnapshot) {
            snapshotsStarted++;
            s.frames.addAll(snapshotFrames(u));
        } else {
            s.frames.addAll(Frames.of(u));
        }
        return true;
    }

    private List<byte[]> snapshotFrames(Message.Update u) {
        boolean same = cachedFrames != null
                && u.to().equals(cachedVersion)
                && (u.ancestor() == null ? cachedAncestor == null : u.ancestor().equals(cachedAncestor));
        if (!same) {
            cachedFrames = Frames.of(u);
            cachedVersion = u.to();
            cachedAncestor = u.ancestor();
        }
        return cachedFrames;
    }

    int size() {
        return sessions.size();
    }

    /** Number of snapshots started so far. */
    long snapshotsStarted() {
        return snapshotsStarted;
    }

    int peakSnapshots() {
        return slots.peak();
    }
}
