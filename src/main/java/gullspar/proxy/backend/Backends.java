package gullspar.proxy.backend;

import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.config.Config;
import gullspar.proxy.discovery.ListUpdate;
import gullspar.proxy.discovery.ListedBackend;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.Clock;
import gullspar.proxy.io.Dial;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.Sockets;
import gullspar.proxy.io.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The backends' side: idle connections, attempts, and what became of them. Every attempt ends exactly once.
 * Nothing is sent again from here.
 */
public final class Backends {
    /** An idle connection is closed so long before the backend does it: no request may cross that. */
    private static final long KEEP_ALIVE_MARGIN_NS = 1_500_000_000L;

    private static final long SWEEP_MS = 500;
    /** A connection rests so long behind an answer: a second answer that comes late is not the next one's. */
    private static final long SETTLE_NS = 20_000_000L;
    /** Where so many connections to a backend are idle, the one that rested longest is used again at once. */
    private static final int MOST_RESTING = 8;

    private final EventLoop loop;
    private final Transport transport;
    private final Clock clock;
    private final Sockets.Share sockets;
    private final long connectTimeoutNs;
    private final long keepAliveNs;
    private final long drainGraceNs;
    private final Map<Integer, Backend> backends = new HashMap<>();
    private long written;

    public Backends(Platform platform, Sockets.Share sockets, Config config) {
        this.transport = platform.transport();
        this.loop = platform.loop();
        this.clock = platform.clock();
        this.sockets = sockets;
        sockets.whenFull(this::closeOneIdle);
        this.connectTimeoutNs = config.connectTimeoutNs();
        this.keepAliveNs = Math.max(config.keepAliveNs() / 2, config.keepAliveNs() - KEEP_ALIVE_MARGIN_NS);
        this.drainGraceNs = config.drainGraceNs();
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    // ---- the list ----

    public void learn(ListUpdate news) {
        long now = clock.now();
        if (news.kind() != ListKind.DELTA) {
            Map<Integer, Backend> missing = new HashMap<>(backends);
            news.list().forEach(l -> missing.remove(l.member().id()));
            missing.values().forEach(b -> b.leave(now));
            backends.keySet().removeAll(missing.keySet());
        }
        for (ListedBackend l : news.list()) {
            Backend b = backends.computeIfAbsent(l.member().id(), id -> new Backend());
            boolean moved = l.address() != null && !l.address().equals(b.address);
            if (moved || l.member().bootNs() > b.bootNs) {
                b.closeIdle(); // they lead to a process that is no more
            }
            b.address = moved ? l.address() : b.address;
            b.bootNs = l.member().bootNs();
            if (l.member().state() == State.READY) {
                b.leftAt = 0;
            } else {
                b.leave(now);
            }
            if (l.member().state() == State.GONE) {
                backends.remove(l.member().id());
            }
        }
    }

    /** Backends in the list, those that drain too. */
    public int listed() {
        return backends.size();
    }

    /** Attempts whose last byte was written. */
    public long written() {
        return written;
    }

    // ---- idle connections ----

    public void closeIdle(int id) {
        Backend b = backends.get(id);
        if (b != null) {
            b.closeIdle();
        }
    }

    /** Closes the connection that has been idle longest; false if there is none. */
    private boolean closeOneIdle() {
        Backend oldest = null;
        for (Backend b : backends.values()) {
            if (!b.idle.isEmpty()
                    && (oldest == null
                            || b.idle.peekFirst().idleSince()
                                    < oldest.idle.peekFirst().idleSince())) {
                oldest = b;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldest.idle.pollFirst().close();
        return true;
    }

    private void sweep() {
        for (Backend b : backends.values()) {
            while (!b.idle.isEmpty() && !fresh(b.idle.peekFirst())) {
                b.idle.pollFirst().close();
            }
        }
    }

    private boolean fresh(Connection c) {
        return clock.now() - c.idleSince() < keepAliveNs;
    }

    /**
     * An idle connection, null if there is none to use. The one idle longest: what a backend closes right
     * behind an answer, or sends too much, is seen by then. For what may not be repeated the one used last:
     * a backend that closes what stands idle, sooner than it must, closes that last.
     */
    private Connection reuse(Backend b, boolean repeatable) {
        // Not left to the sweep: one that stands still would write to what the backend is about to close.
        while (!b.idle.isEmpty()
                && !(fresh(b.idle.peekFirst()) && b.idle.peekFirst().active())) {
            b.idle.pollFirst().close();
        }
        Connection found = b.idle.size() < MOST_RESTING ? null : b.idle.peekFirst();
        for (Connection c : b.idle) {
            if (clock.now() - c.idleSince() < SETTLE_NS) {
                break; // nor have those behind it
            }
            if (c.active() && (found == null || !repeatable)) {
                found = c;
            }
        }
        b.idle.remove(found);
        return found;
    }

    // ---- attempts ----

    /**
     * Starts an attempt; it ends later, never within this call. It goes out within so long or not at all;
     * repeatable: may it run twice?
     */
    public Attempt send(
            int server, Message request, long timeoutNs, long withinNs, boolean repeatable, Attempt.Listener listener) {
        Attempt a =
                new Attempt(backends.get(server), request, loop, clock, timeoutNs, withinNs, listener, () -> written++);
        if (a.backend() == null || !a.wanted()) {
            loop.execute(() -> a.end(Status.MOOT, null, null)); // it, or who asked, is gone since
            return a;
        }
        if (request.bodyStream() == null) {
            a.startTimer();
        }
        Connection idle = reuse(a.backend(), repeatable);
        if (idle != null) {
            idle.begin(a);
        } else if (sockets.take()) {
            connect(a);
        } else {
            loop.execute(() -> a.end(Status.MOOT, null, null)); // no fault of the backend's
        }
        return a;
    }

    private void connect(Attempt a) {
        Connection c = new Connection(a.backend(), loop, clock, drainGraceNs);
        Bootstrap bootstrap = transport
                .to(a.backend().address)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutNs / 1_000_000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        c.openOn(channel);
                    }
                });
        Dial dial = Dial.start(bootstrap, loop, new Dial.Listener() {
            /** Not within the turn's reading: the end of the client or the news of a drain counts first. */
            @Override
            public void connected() {
                a.wanted();
                c.begin(a);
            }

            @Override
            public void failed(Dial.Failure failure) {
                // What this machine lacks is no fault of the backend's.
                a.end(failure.local() ? Status.MOOT : Status.CONNECT_FAILED, null, null);
            }

            @Override
            public void released() {
                sockets.release();
            }
        });
        c.opening(dial.channel());
        a.over(c);
    }
}
