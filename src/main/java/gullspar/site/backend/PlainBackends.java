package gullspar.site.backend;

import gullspar.config.Site;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.io.Dial;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.Sockets;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * The servers of a pool and the connections to them. Every attempt ends exactly once, nothing is repeated.
 */
public final class PlainBackends implements PlainConnection.Keeper {
    /** Hears when a server comes to its limit of connections, or has a place again. */
    public interface Places {
        void full(int server, boolean full);
    }

    /** No more is read at once than this: with many slow clients it is all held in memory. */
    private static final int MOST_READ = 32 << 10;

    private final Platform platform;
    private final Sockets.Share sockets;
    private final Places places;
    private final Map<Integer, PlainBackend> backends = new HashMap<>();
    private Site.Connections connections;

    public PlainBackends(Platform platform, Sockets.Share sockets, Site.Connections connections, Places places) {
        this.platform = platform;
        this.sockets = sockets;
        this.connections = connections;
        this.places = places;
    }

    /** Other limits from now on. */
    public void limit(Site.Connections limits) {
        connections = limits;
    }

    /** A server is in service, at that address; 0 connections for no limit. */
    public void ready(int id, InetSocketAddress address, int maxConnections) {
        PlainBackend b = backends.get(id);
        if (b != null && b.leftAt == 0 && b.address.equals(address) && b.maxConnections == maxConnections) {
            return;
        }
        if (b != null) {
            b.leave(platform.clock().now());
        }
        backends.put(id, new PlainBackend(id, address, maxConnections));
    }

    /** A server drains or is gone: nothing new goes there. */
    public void leave(int id) {
        PlainBackend b = backends.remove(id);
        if (b != null) {
            b.leave(platform.clock().now());
        }
    }

    /** All that are in service leave. */
    public void leaveAll() {
        backends.keySet().stream().toList().forEach(this::leave);
    }

    public void closeIdle(int id) {
        PlainBackend b = backends.get(id);
        if (b != null) {
            b.closeIdle();
        }
    }

    /** Closes the connection that has been idle longest; false if there is none. */
    public boolean closeOneIdle() {
        PlainBackend oldest = null;
        for (PlainBackend b : backends.values()) {
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

    /** Closes what has been idle for too long; to be called now and then. */
    public void sweep() {
        for (PlainBackend b : backends.values()) {
            while (!b.idle.isEmpty() && !fresh(b.idle.peekFirst())) {
                b.idle.pollFirst().close();
            }
        }
    }

    private boolean fresh(PlainConnection c) {
        return platform.clock().now() - c.idleSince() < connections.idleTimeoutNs();
    }

    // ---- attempts ----

    /** Starts an attempt; it ends later, never within this call. */
    public PlainAttempt send(int server, PlainAttempt.Sending sending, long timeoutNs, PlainAttempt.Listener listener) {
        PlainBackend b = backends.get(server);
        PlainAttempt a = new PlainAttempt(b, sending, listener, platform.loop());
        if (b == null || b.full()) {
            moot(a); // gone since, or it has no place any more
            return a;
        }
        long deadline = platform.clock().now() + timeoutNs;
        a.startTimer(timeoutNs);
        PlainConnection c = reuse(b);
        if (c == null && !sockets.take()) {
            moot(a); // no fault of the server's
            return a;
        }
        a.holds();
        if (b.full()) {
            places.full(b.id, true);
        }
        if (c != null) {
            c.begin(a, deadline);
        } else {
            connect(a, deadline);
        }
        return a;
    }

    private void moot(PlainAttempt a) {
        a.sending.body().release();
        platform.loop().execute(() -> a.lost(Status.MOOT));
    }

    private PlainConnection reuse(PlainBackend b) {
        PlainConnection c = b.idle.pollLast();
        while (c != null && !(fresh(c) && c.active())) {
            c.close();
            c = b.idle.pollLast();
        }
        return c;
    }

    private void connect(PlainAttempt a, long deadline) {
        PlainConnection c = new PlainConnection(a.backend, platform.clock(), this);
        Bootstrap bootstrap = platform.transport()
                .to(a.backend.address)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        Math.max(1, connections.connectTimeoutNs() / 1_000_000))
                .option(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(512, 4096, MOST_READ))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        c.openOn(channel);
                    }
                });
        Dial dial = Dial.start(bootstrap, platform.loop(), new Dial.Listener() {
            @Override
            public void connected() {
                if (a.ended()) {
                    c.close();
                    notConnected(a, Status.CONNECT_FAILED);
                } else {
                    c.begin(a, deadline);
                }
            }

            @Override
            public void failed(Dial.Failure failure) {
                // What this machine lacks is no fault of the server's.
                notConnected(a, failure.local() ? Status.MOOT : Status.CONNECT_FAILED);
            }

            @Override
            public void released() {
                sockets.release();
            }
        });
        c.opening(dial.channel());
        a.over(c);
    }

    private void notConnected(PlainAttempt a, Status status) {
        a.sending.body().release();
        done(a);
        a.lost(status);
    }

    @Override
    public boolean keep(PlainConnection c) {
        PlainBackend b = c.backend();
        if (b.leftAt != 0 || connections.maxIdle() == 0) {
            return false;
        }
        if (b.idle.size() >= connections.maxIdle()) {
            b.idle.pollFirst().close();
        }
        b.idle.addLast(c);
        return true;
    }

    @Override
    public void done(PlainAttempt a) {
        boolean full = a.backend.full();
        if (a.letGo() && full && !a.backend.full()) {
            places.full(a.backend.id, false);
        }
    }
}
