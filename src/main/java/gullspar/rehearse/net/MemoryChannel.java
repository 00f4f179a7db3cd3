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

/** One end of an in-memory connection. */
public final class MemoryChannel extends AbstractChannel {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);

    private record ReceivedBytes(ByteBuf bytes, long sentAtNs) {}

    private enum PeerEnd {
        FIN,
        RST
    }

    private final Network network;
    private final Host host;
    private final ChannelConfig config = new DefaultChannelConfig(this);
    private final Queue<ReceivedBytes> unread = new ArrayDeque<>();
    private InetSocketAddress local;
    private InetSocketAddress remote;
    private Host peerHost;
    private MemoryChannel peer;
    private HalfConnection outbound;
    private boolean open = true;
    private boolean active;
    private boolean readRequested;
    private boolean inputClosed;
    /** How the peer has ended the connection, behind bytes that are unread; null if it has not. */
    private PeerEnd unreadEnd;

    private boolean writePending;
    private long sentAtNs;

    MemoryChannel(Network network, Host host) {
        super(null, new MemoryChannelId(network.nextChannelNumber()));
        this.network = network;
        this.host = host;
    }

    private MemoryChannel(Network network, MemoryServerChannel parent, MemoryChannel client) {
        super(parent, new MemoryChannelId(network.nextChannelNumber()));
        this.network = network;
        this.host = parent.host;
        this.local = (InetSocketAddress) parent.localAddress();
        this.remote = client.local;
        this.peerHost = client.host;
        this.peer = client;
        this.active = true;
        this.outbound = new HalfConnection(network, this, host, peerHost);
        this.outbound.setReceiver(client);
    }

    /** Virtual time at which the peer sent the bytes being read. */
    public long sentAtNs() {
        return sentAtNs;
    }

    // ---- connecting ----

    private void connect(InetSocketAddress address, ChannelPromise promise) {
        remote = address;
        local = network.nextEphemeralAddress();
        peerHost = network.hostAt(address);
        host.openConnections.add(this);
        int source = network.eventQueue.newSource();
        int timeout = config.getConnectTimeoutMillis();
        if (timeout > 0) {
            eventLoop()
                    .schedule(
                            () -> failConnect(promise, new ConnectTimeoutException("connection timed out: " + address)),
                            timeout,
                            TimeUnit.MILLISECONDS);
        }
        if (peerHost == null) {
            return; // no host has the address: there is never a reply
        }
        network.eventQueue.schedule(
                network.eventQueue.now() + network.travelTimeNs(host, peerHost),
                source,
                () -> handleSyn(address, promise, source));
    }

    private void handleSyn(InetSocketAddress address, ChannelPromise promise, int source) {
        if (!open || !network.canReach(host, peerHost)) {
            if (open) {
                network.holdUntilRestored(() -> handleSyn(address, promise, source));
            }
            return;
        }
        MemoryServerChannel listener = network.listener(address);
        if (listener == null) {
            scheduleReply(
                    source,
                    promise,
                    () -> failConnect(promise, new ConnectException("connection refused: " + address)));
            return;
        }
        // The kernel completes the connection even while the process is paused; the process reads it later.
        MemoryChannel child = new MemoryChannel(network, listener, this);
        child.host.openConnections.add(child);
        peer = child;
        listener.host.loop.addInput(() -> listener.accept(child));
        scheduleReply(source, promise, () -> completeConnect(promise));
    }

    private void scheduleReply(int source, ChannelPromise promise, Runnable reply) {
        network.eventQueue.schedule(network.eventQueue.now() + network.travelTimeNs(peerHost, host), source, () -> {
            if (!network.canReach(peerHost, host)) {
                network.holdUntilRestored(() -> scheduleReply(source, promise, reply));
            } else if (host.loop != null) {
                host.loop.addInput(reply);
            }
        });
    }

    private void failConnect(ChannelPromise promise, IOException cause) {
        if (!active && open && promise.tryFailure(cause)) {
            unsafe().close(unsafe().voidPromise());
        }
    }

    private void completeConnect(ChannelPromise promise) {
        outbound = new HalfConnection(network, this, host, peerHost);
        outbound.setReceiver(peer);
        if (!open) {
            outbound.sendRst(); // closed meanwhile, for example by the connect time-out
            return;
        }
        active = true;
        promise.trySuccess();
        pipeline().fireChannelActive();
    }

    // ---- reading ----

    /** Returns true if the bytes were passed to the pipeline. */
    boolean receive(ByteBuf bytes, long sentNs) {
        if (!open || inputClosed) {
            bytes.release();
            if (!open) {
                sendReset();
            }
            return false;
        }
        if (!readRequested && !config.isAutoRead()) {
            unread.add(new ReceivedBytes(bytes, sentNs));
            return false;
        }
        readRequested = false;
        sentAtNs = sentNs;
        pipeline().fireChannelRead(bytes);
        return true;
    }

    void readComplete() {
        if (open) {
            pipeline().fireChannelReadComplete();
        }
    }

    /** Sends a reset for bytes that arrive after this end is closed. */
    private void sendReset() {
        if (outbound != null) {
            outbound.sendRst();
        }
    }

    /** The peer has closed or reset the connection: closes this end once all bytes before that are read. */
    void handlePeerEnd(boolean reset) {
        if (!open || inputClosed || unreadEnd != null) {
            return;
        }
        PeerEnd end = reset ? PeerEnd.RST : PeerEnd.FIN;
        if (unread.isEmpty()) {
            closeAfter(end);
        } else {
            unreadEnd = end;
        }
    }

    private void closeAfter(PeerEnd end) {
        inputClosed = true;
        if (end == PeerEnd.RST) {
            pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
        } else {
            unsafe().recvBufAllocHandle().lastBytesRead(-1); // the end of the stream, as on a socket
        }
        unsafe().close(unsafe().voidPromise());
    }

    boolean isConnectedTo(Host h) {
        return peerHost == h;
    }

    /** Resets the connection at both ends: a host that returns has no state of it. */
    void reset() {
        if (open && outbound != null) {
            outbound.sendRst();
        }
        if (host.loop != null) {
            host.loop.addInput(() -> handlePeerEnd(true));
        }
    }

    /** Closes this end with a reset because its process has ended. */
    void abandon() {
        if (open) {
            open = false;
            active = false;
            if (outbound != null) {
                outbound.sendRst();
            }
        }
    }

    // ---- writing ----

    void resumeWriting() {
        if (writePending && open && outbound.remainingWindowBytes() > 0) {
            ((MemoryUnsafe) unsafe()).resumeFlush();
        }
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer in) {
        writePending = false;
        for (Object message = in.current(); message != null; message = in.current()) {
            ByteBuf b = (ByteBuf) message;
            int n = Math.min(Math.min(b.readableBytes(), outbound.remainingWindowBytes()), Network.SEGMENT_BYTES);
            if (n == 0 && b.isReadable()) {
                writePending = true;
                return;
            }
            if (n > 0) {
                outbound.sendBytes(b.copy(b.readerIndex(), n));
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
        throw new UnsupportedOperationException("a connection carries only ByteBuf messages");
    }

    // ---- other channel operations ----

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

        void resumeFlush() {
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
        throw new UnsupportedOperationException("connections are assigned an ephemeral address and cannot be bound");
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
        host.openConnections.remove(this);
        boolean unreadDiscarded = !unread.isEmpty();
        unread.forEach(r -> r.bytes.release());
        unread.clear();
        if (outbound != null) {
            if (unreadDiscarded) {
                outbound.sendRst();
            } else {
                outbound.sendFin();
            }
        }
    }

    @Override
    protected void doBeginRead() {
        readRequested = true;
        if (!unread.isEmpty()) {
            eventLoop().execute(() -> {
                boolean delivered = false;
                for (ReceivedBytes r = unread.poll(); r != null && open; r = unread.poll()) {
                    sentAtNs = r.sentAtNs;
                    pipeline().fireChannelRead(r.bytes);
                    delivered = true;
                }
                if (delivered) {
                    readComplete();
                }
                if (unreadEnd != null && open && !inputClosed && unread.isEmpty()) {
                    closeAfter(unreadEnd);
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
