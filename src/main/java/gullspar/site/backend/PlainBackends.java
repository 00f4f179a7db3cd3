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
public final class PlainBackends implements PlainConnection.Owner {
    /** Hears when a server comes to its limit of connections, or has a place again. */
    public interface CapacityListener {
        void onFullChanged(int server, boolean full);
    }

    /** No more is read at once than this: with many slow clients it is all held in memory. */
    private static final int MAX_READ_BYTES = 32 << 10;

    private final Platform platform;
    private final Sockets.Share sockets;
    private final CapacityListener capacityListener;
    private final Map<Integer, PlainBackend> backends = new HashMap<>();
    private Site.Connections connections;

    public PlainBackends(
            Platform platform, Sockets.Share sockets, Site.Connections connections, CapacityListener places) {
        this.platform = platform;
        this.sockets = sockets;
        this.connections = connections;
        this.capacityListener = places;
    }

    /** Other limits from now on. */
    public void setLimits(Site.Connections limits) {
        connections = limits;
    }

    /** A server is in service, at that address; 0 connections for no limit. */
    public void addServer(int id, InetSocketAddress address, int maxConnections) {
        PlainBackend b = backends.get(id);
        if (b != null && b.removedAt == 0 && b.address.equals(address) && b.maxConnections == maxConnections) {
            return;
        }
        if (b != null) {
            b.remove(platform.clock().now());
        }
        backends.put(id, new PlainBackend(id, address, maxConnections));
    }

    /** A server drains or is gone: nothing new goes there. */
    public void removeServer(int id) {
        PlainBackend b = backends.remove(id);
        if (b != null) {
            b.remove(platform.clock().now());
        }
    }

    /** All that are in service leave. */
    public void removeAllServers() {
        backends.keySet().stream().toList().forEach(this::removeServer);
    }

    public void closeIdleConnections(int id) {
        PlainBackend b = backends.get(id);
        if (b != null) {
            b.closeIdleConnections();
        }
    }

    /** Closes the connection that has been idle longest; false if there is none. */
    public boolean closeIdleConnection() {
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
            while (!b.idle.isEmpty() && !isReusable(b.idle.peekFirst())) {
                b.idle.pollFirst().close();
            }
        }
    }

    private boolean isReusable(PlainConnection c) {
        return platform.clock().now() - c.idleSince() < connections.keepAliveNs();
    }

    // ---- attempts ----

    /** Starts an attempt; it ends later, never within this call. */
    public PlainAttempt send(
            int server, PlainAttempt.OutgoingRequest sending, long timeoutNs, PlainAttempt.Listener listener) {
        PlainBackend b = backends.get(server);
        PlainAttempt a = new PlainAttempt(b, sending, listener, platform.loop());
        if (b == null || b.isFull()) {
            endUnsent(a); // gone since, or it has no place any more
            return a;
        }
        long deadline = platform.clock().now() + timeoutNs;
        a.startTimer(timeoutNs);
        PlainConnection c = takeIdleConnection(b);
        if (c == null && !sockets.take()) {
            endUnsent(a); // no fault of the server's
            return a;
        }
        a.occupiesServer();
        if (b.isFull()) {
            capacityListener.onFullChanged(b.id, true);
        }
        if (c != null) {
            c.begin(a, deadline);
        } else {
            connect(a, deadline);
        }
        return a;
    }

    private void endUnsent(PlainAttempt a) {
        a.request.body().release();
        platform.loop().execute(() -> a.endFailed(Status.MOOT));
    }

    private PlainConnection takeIdleConnection(PlainBackend b) {
        PlainConnection c = b.idle.pollLast();
        while (c != null && !(isReusable(c) && c.isActive())) {
            c.close();
            c = b.idle.pollLast();
        }
        return c;
    }

    private void connect(PlainAttempt a, long deadline) {
        PlainConnection c = new PlainConnection(a.backend, platform.clock(), this);
        Bootstrap bootstrap = platform.transport()
                .to(a.backend.address)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connections.connectNs() / 1_000_000))
                .option(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(512, 4096, MAX_READ_BYTES))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        c.initChannel(channel);
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
        c.setChannel(dial.channel());
        a.useConnection(c);
    }

    private void notConnected(PlainAttempt a, Status status) {
        a.request.body().release();
        onAttemptEnded(a);
        a.endFailed(status);
    }

    @Override
    public boolean keepIdle(PlainConnection c) {
        PlainBackend b = c.backend();
        if (b.removedAt != 0 || connections.keepAlive() == 0) {
            return false;
        }
        if (b.idle.size() >= connections.keepAlive()) {
            b.idle.pollFirst().close();
        }
        b.idle.addLast(c);
        return true;
    }

    @Override
    public void onAttemptEnded(PlainAttempt a) {
        boolean full = a.backend.isFull();
        if (a.releaseServer() && full && !a.backend.isFull()) {
            capacityListener.onFullChanged(a.backend.id, false);
        }
    }
}
