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

/** The followers that are connected to a control process, and what is on its way to each, at its pace. */
final class Audience {
    /** Bytes a second: to a proxy; to one that has nothing yet, so serves nothing; to a control process. */
    record Paces(int proxy, int first, int control) {}

    /** One of them. */
    private final class Seat {
        private final Link link;
        private final Message.Hello hello;
        private final FollowerUpdates feed = new FollowerUpdates(turns);
        private final Deque<byte[]> frames = new ArrayDeque<>();
        private RateLimiter pace;
        private boolean snapshot;
        private boolean scheduled;
        private long heardAt = clock.getAsLong();

        Seat(Link link, Message.Hello hello) {
            this.link = link;
            this.hello = hello;
            int bytes = hello.role() != Message.Role.PROXY
                    ? paces.control
                    : hello.has() == null ? paces.first : paces.proxy;
            this.pace = new RateLimiter(bytes, clock.getAsLong());
        }
    }

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Paces paces;
    private final SnapshotSlots turns;
    private final Map<Link, Seat> seats = new LinkedHashMap<>();
    private final Map<FollowerUpdates, Seat> byFeed = new LinkedHashMap<>();
    private History history;
    private Version packedTo;
    private Version packedAncestor;
    private List<byte[]> packed;
    private long snapshots;

    /** turns: how many get a snapshot at once; history: what they are to get. */
    Audience(EventLoop loop, LongSupplier clock, Paces paces, int turns, History history) {
        this.loop = loop;
        this.clock = clock;
        this.paces = paces;
        this.turns = new SnapshotSlots(turns);
        this.history = history;
    }

    /** A follower begins; an older connection of the same name ends. */
    void enter(Link link, Message.Hello hello, Message.Head head) {
        for (Seat s : List.copyOf(seats.values())) {
            if (s.hello.name().equals(hello.name()) && s.hello.role() == hello.role() && s.link != link) {
                s.link.end("another connection of " + hello.name());
            }
        }
        Seat s = new Seat(link, hello);
        seats.put(link, s);
        byFeed.put(s.feed, s);
        s.feed.hello(hello.has());
        beat(s, head);
        pump(s);
    }

    /** Who is at that connection; null for nobody. */
    Message.Hello who(Link link) {
        Seat s = seats.get(link);
        return s == null ? null : s.hello;
    }

    Collection<Message.Hello> all() {
        return seats.values().stream().map(s -> s.hello).toList();
    }

    /** Something came from it. */
    void heard(Link link) {
        Seat s = seats.get(link);
        if (s != null) {
            s.heardAt = clock.getAsLong();
        }
    }

    /** It could not use what it got. */
    void want(Link link) {
        Seat s = seats.get(link);
        if (s != null) {
            s.feed.want();
            pump(s);
        }
    }

    /** Its connection has ended. */
    void leave(Link link) {
        Seat s = seats.remove(link);
        if (s != null) {
            byFeed.remove(s.feed);
            turn(s.feed.over());
        }
    }

    /** There is a newer document: everybody gets it. */
    void tell(History newer) {
        history = newer;
        List.copyOf(seats.values()).forEach(this::pump);
    }

    /** To everybody that nothing is on its way to: what there is. Those long silent are closed. */
    void beat(Message.Head head, long silentNs) {
        long now = clock.getAsLong();
        for (Seat s : List.copyOf(seats.values())) {
            if (now - s.heardAt > silentNs) {
                s.link.end("silent for " + (now - s.heardAt) / 1_000_000 + " ms");
            } else {
                beat(s, head);
            }
        }
    }

    private void beat(Seat s, Message.Head head) {
        if (s.frames.isEmpty()) { // frames of two messages must not mix; they are a sign of life themselves
            for (byte[] f : Frames.of(head)) {
                s.link.write(f);
                s.pace.spend(clock.getAsLong(), f.length);
            }
            s.link.flush();
        }
    }

    private void turn(FollowerUpdates next) {
        if (next != null) {
            pump(byFeed.get(next));
        }
    }

    /** Writes what may go out now. */
    private void pump(Seat s) {
        if (s == null || s.scheduled || !seats.containsKey(s.link)) {
            return;
        }
        while (s.link.writable()) {
            long now = clock.getAsLong();
            long at = s.pace.readyAt(now);
            if (at > now) { // an update is put together when it may go, so that it tells all since
                s.scheduled = true;
                loop.schedule(
                        () -> {
                            s.scheduled = false;
                            pump(s);
                        },
                        at - now,
                        TimeUnit.NANOSECONDS);
                break;
            }
            if (s.frames.isEmpty() && !fill(s)) {
                break;
            }
            byte[] f = s.frames.poll();
            s.link.write(f);
            s.pace.spend(now, f.length);
            if (s.frames.isEmpty() && s.snapshot) {
                s.snapshot = false;
                if (s.hello.role() == Message.Role.PROXY) { // it serves from now on
                    s.pace = new RateLimiter(paces.proxy, now);
                }
                turn(s.feed.over());
            }
        }
        s.link.flush();
    }

    /** More may be written to it again. */
    void writable(Link link) {
        pump(seats.get(link));
    }

    private boolean fill(Seat s) {
        Message.Update u = s.feed.next(history);
        if (u == null) {
            return false;
        }
        s.snapshot = u.deltas().isEmpty();
        if (s.snapshot) {
            snapshots++;
            s.frames.addAll(pack(u));
        } else {
            s.frames.addAll(Frames.of(u));
        }
        return true;
    }

    private List<byte[]> pack(Message.Update u) {
        boolean same = packed != null
                && u.to().equals(packedTo)
                && (u.ancestor() == null ? packedAncestor == null : u.ancestor().equals(packedAncestor));
        if (!same) {
            packed = Frames.of(u);
            packedTo = u.to();
            packedAncestor = u.ancestor();
        }
        return packed;
    }

    int size() {
        return seats.size();
    }

    /** Snapshots begun so far, and how many were under way at once, at the most. */
    long snapshots() {
        return snapshots;
    }

    int snapshotsAtOnce() {
        return turns.highest();
    }
}
