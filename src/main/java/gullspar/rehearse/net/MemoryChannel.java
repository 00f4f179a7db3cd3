package gullspar.rehearse.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AbstractChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/** One end of a connection in memory. */
public final class MemoryChannel extends AbstractChannel {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);

    private record Read(ByteBuf bytes, long sentAt) {}

    private final Network network;
    private final Host host;
    private final ChannelConfig config = new DefaultChannelConfig(this);
    private final Queue<Read> unread = new ArrayDeque<>();
    private InetSocketAddress local;
    private InetSocketAddress remote;
    private Host peerHost;
    private MemoryChannel peer;
    private HalfConnection out;
    private boolean open = true;
    private boolean active;
    private boolean wanted;
    private boolean inputEnded;
    private boolean writing;
    private long sentAt;

    MemoryChannel(Network network, Host host) {
        super(null, new MemoryId(network.number()));
        this.network = network;
        this.host = host;
    }

    private MemoryChannel(Network network, MemoryServerChannel parent, MemoryChannel client) {
        super(parent, new MemoryId(network.number()));
        this.network = network;
        this.host = parent.host;
        this.local = (InetSocketAddress) parent.localAddress();
        this.remote = client.local;
        this.peerHost = client.host;
        this.peer = client;
        this.active = true;
        this.out = new HalfConnection(network, this, host, peerHost);
        this.out.leadsTo(client);
    }

    /** When the peer sent what is being read, on the agenda's clock, in ns. */
    public long sentAt() {
        return sentAt;
    }

    // ---- connecting ----

    private void connect(InetSocketAddress address, ChannelPromise promise) {
        remote = address;
        local = network.ephemeral();
        peerHost = network.at(address);
        host.open.add(this);
        int source = network.agenda.source();
        int timeout = config.getConnectTimeoutMillis();
        if (timeout > 0) {
            eventLoop()
                    .schedule(
                            () -> failConnect(promise, new ConnectTimeoutException("connection timed out: " + address)),
                            timeout,
                            TimeUnit.MILLISECONDS);
        }
        if (peerHost == null) {
            return; // no such machine: nothing ever comes back
        }
        network.agenda.at(
                network.agenda.now() + network.travel(host, peerHost), source, () -> syn(address, promise, source));
    }

    private void syn(InetSocketAddress address, ChannelPromise promise, int source) {
        if (!open || !network.passes(host, peerHost)) {
            if (open) {
                network.hold(() -> syn(address, promise, source));
            }
            return;
        }
        MemoryServerChannel listener = network.listener(address);
        if (listener == null) {
            back(source, promise, () -> failConnect(promise, new ConnectException("connection refused: " + address)));
            return;
        }
        // A process that is paused still has a kernel: it completes the connection, and reads it later.
        MemoryChannel child = new MemoryChannel(network, listener, this);
        child.host.open.add(child);
        peer = child;
        listener.host.loop.input(() -> listener.accept(child));
        back(source, promise, () -> connected(promise));
    }

    private void back(int source, ChannelPromise promise, Runnable then) {
        network.agenda.at(network.agenda.now() + network.travel(peerHost, host), source, () -> {
            if (!network.passes(peerHost, host)) {
                network.hold(() -> back(source, promise, then));
            } else if (host.loop != null) {
                host.loop.input(then);
            }
        });
    }

    private void failConnect(ChannelPromise promise, IOException why) {
        if (!active && open && promise.tryFailure(why)) {
            unsafe().close(unsafe().voidPromise());
        }
    }

    private void connected(ChannelPromise promise) {
        out = new HalfConnection(network, this, host, peerHost);
        out.leadsTo(peer);
        if (!open) {
            out.rst(); // given up meanwhile
            return;
        }
        active = true;
        promise.trySuccess();
        pipeline().fireChannelActive();
    }

    // ---- reading ----

    /** True if it has been passed on. */
    boolean received(ByteBuf bytes, long sent) {
        if (!open || inputEnded) {
            bytes.release();
            if (!open) {
                answerWithReset();
            }
            return false;
        }
        if (!wanted && !config.isAutoRead()) {
            unread.add(new Read(bytes, sent));
            return false;
        }
        wanted = false;
        sentAt = sent;
        pipeline().fireChannelRead(bytes);
        return true;
    }

    void readComplete() {
        if (open) {
            pipeline().fireChannelReadComplete();
        }
    }

    /** Bytes for a connection that is closed at this end are answered with a reset. */
    private void answerWithReset() {
        if (out != null) {
            out.rst();
        }
    }

    void peerEnded(boolean reset) {
        if (!open || inputEnded) {
            return;
        }
        inputEnded = true;
        if (reset) {
            pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
        }
        unsafe().close(unsafe().voidPromise());
    }

    boolean leadsTo(Host h) {
        return peerHost == h;
    }

    /** The connection is reset at both ends: a machine that is back knows nothing of it. */
    void reset() {
        if (open && out != null) {
            out.rst();
        }
        if (host.loop != null) {
            host.loop.input(() -> peerEnded(true));
        }
    }

    /** The process at this end is no more. */
    void abandoned() {
        if (open) {
            open = false;
            active = false;
            if (out != null) {
                out.rst();
            }
        }
    }

    // ---- writing ----

    void roomAgain() {
        if (writing && open && out.room() > 0) {
            ((MemoryUnsafe) unsafe()).flushAgain();
        }
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer in) {
        writing = false;
        for (Object message = in.current(); message != null; message = in.current()) {
            ByteBuf b = (ByteBuf) message;
            int n = Math.min(Math.min(b.readableBytes(), out.room()), Network.SEGMENT_BYTES);
            if (n == 0 && b.isReadable()) {
                writing = true;
                return;
            }
            if (n > 0) {
                out.bytes(b.copy(b.readerIndex(), n));
            }
            in.removeBytes(n);
            if (n == 0) {
                in.remove();
            }
        }
    }

    @Override
    protected Object filterOutboundMessage(Object message) {
        if (message instanceof ByteBuf) {
            return message;
        }
        throw new UnsupportedOperationException("only bytes go over a connection");
    }

    // ---- the rest of a channel ----

    @Override
    protected AbstractUnsafe newUnsafe() {
        return new MemoryUnsafe();
    }

    private final class MemoryUnsafe extends AbstractUnsafe {
        @Override
        public void connect(SocketAddress address, SocketAddress from, ChannelPromise promise) {
            if (promise.setUncancellable() && ensureOpen(promise)) {
                MemoryChannel.this.connect((InetSocketAddress) address, promise);
            }
        }

        void flushAgain() {
            flush0();
        }
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return true;
    }

    @Override
    protected SocketAddress localAddress0() {
        return local;
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return remote;
    }

    @Override
    protected void doBind(SocketAddress address) {
        throw new UnsupportedOperationException("connections choose their own address");
    }

    @Override
    protected void doDisconnect() {
        doClose();
    }

    @Override
    protected void doClose() {
        if (!open) {
            return;
        }
        open = false;
        active = false;
        host.open.remove(this);
        boolean lost = !unread.isEmpty();
        unread.forEach(r -> r.bytes.release());
        unread.clear();
        if (out != null) {
            if (lost) {
                out.rst();
            } else {
                out.fin();
            }
        }
    }

    @Override
    protected void doBeginRead() {
        wanted = true;
        if (!unread.isEmpty()) {
            eventLoop().execute(() -> {
                boolean any = false;
                for (Read r = unread.poll(); r != null && open; r = unread.poll()) {
                    sentAt = r.sentAt;
                    pipeline().fireChannelRead(r.bytes);
                    any = true;
                }
                if (any) {
                    readComplete();
                }
            });
        }
    }

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public boolean isActive() {
        return active;
    }

    @Override
    public ChannelMetadata metadata() {
        return METADATA;
    }
}
