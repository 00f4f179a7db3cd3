package gullspar.peers.net;

import gullspar.peers.Change;
import gullspar.peers.Message;
import gullspar.peers.Outbox;
import gullspar.peers.Peers;
import gullspar.peers.Settings;
import gullspar.peers.Statement;
import gullspar.peers.wire.Codec;
import gullspar.peers.wire.Envelope;
import gullspar.proxy.io.Platform;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * UDP transport of a member, on the proxy's loop. Datagrams that are foreign, damaged or not authenticated by a key
 * are counted and dropped, never answered. All methods but the constructor are called on the loop.
 */
public final class UdpTransport implements Outbox {
    /** Bound of the cache of parsed addresses. */
    private static final int MAX_CACHED_ADDRESSES = 4096;

    private final Platform platform;
    private final Consumer<Change> changeListener;
    private final Map<Envelope.Refusal, Long> refused = new EnumMap<>(Envelope.Refusal.class);
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, InetSocketAddress> eldest) {
            return size() > MAX_CACHED_ADDRESSES;
        }
    };
    private Envelope envelope;
    private Channel channel;
    private Peers peers;
    private ScheduledFuture<?> wakeTimer;
    private long wakeTimerAt = Long.MAX_VALUE;
    private long malformed;
    private long unsent;

    /** The listener receives the changes of the view. */
    public UdpTransport(Platform platform, Envelope envelope, Consumer<Change> changeListener) {
        this.platform = platform;
        this.envelope = envelope;
        this.changeListener = changeListener;
    }

    /** Binds the socket; {@link #start} must be called once that is done. */
    public ChannelFuture bind(InetSocketAddress address) {
        ChannelFuture bound = platform.transport()
                .datagramBootstrap(address)
                // One byte above the maximum, so that datagrams that are too long are detected.
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Message.MAX_DATAGRAM_BYTES + 1))
                .handler(new InboundHandler())
                .bind();
        channel = bound.channel();
        return bound;
    }

    /** The address it is bound to. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /**
     * Joins the fleet.
     *
     * @param first the first statement of this process, with the address at which others reach it
     * @param seeds addresses, host:port, where other members may be found
     */
    public void start(Settings settings, Statement first, List<String> seeds, RandomGenerator random) {
        this.peers =
                new Peers(settings, first, seeds, random, this, platform.clock().now());
        scheduleWake();
    }

    /** Replaces the keys. */
    public void setKeys(Envelope keys) {
        envelope = keys;
    }

    /** Whether {@link #start} was called. */
    public boolean isStarted() {
        return peers != null;
    }

    /** Calls the state machine, and schedules its next tick. */
    public <T> T withPeers(Function<Peers, T> operation) {
        T result = operation.apply(peers);
        scheduleWake();
        return result;
    }

    /** Cancels the timer and closes the socket. */
    public void close() {
        if (wakeTimer != null) {
            wakeTimer.cancel(false);
        }
        channel.close();
    }

    /** Datagrams dropped by the envelope check, by reason. */
    public Map<Envelope.Refusal, Long> refused() {
        return refused;
    }

    /** Authenticated datagrams that could not be decoded. */
    public long malformed() {
        return malformed;
    }

    /** Datagrams that could not be sent. */
    public long unsent() {
        return unsent;
    }

    // ---- sending ----

    @Override
    public void send(String to, Message m) {
        InetSocketAddress address = addresses.computeIfAbsent(to, UdpTransport::parseAddress);
        if (address == null || !channel.isWritable()) {
            unsent++;
            return;
        }
        ByteBuf bytes = Unpooled.wrappedBuffer(envelope.seal(Codec.encode(m)));
        channel.writeAndFlush(new DatagramPacket(bytes, address)).addListener(f -> {
            if (!f.isSuccess()) {
                unsent++;
            }
        });
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        InetAddress ip = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        try {
            int port = ip == null ? 0 : Integer.parseInt(text.substring(colon + 1));
            return port <= 0 || port > 65_535 ? null : new InetSocketAddress(ip, port);
        } catch (NumberFormatException e) {
            return null;
        }
    }

    @Override
    public void onChange(Change c) {
        changeListener.accept(c);
    }

    // ---- receiving ----

    private final class InboundHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket p) {
            if (peers == null) {
                return; // not started yet
            }
            byte[] datagram = new byte[p.content().readableBytes()];
            p.content().readBytes(datagram);
            Envelope.Refusal refusal = envelope.open(datagram);
            if (refusal != null) {
                refused.merge(refusal, 1L, Long::sum);
                return;
            }
            Message m;
            try {
                m = Codec.decode(datagram, Envelope.messageOffset(), datagram.length - Envelope.messageOffset());
            } catch (IOException e) {
                malformed++;
                return;
            }
            if (m != null) {
                peers.receive(platform.clock().now(), m);
                scheduleWake();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            unsent++; // an error of one datagram, such as port unreachable; others are not affected
        }
    }

    // ---- timer ----

    private void scheduleWake() {
        long next = peers.wakeAt();
        if (next >= wakeTimerAt) {
            return; // the earlier timer reschedules
        }
        if (wakeTimer != null) {
            wakeTimer.cancel(false);
        }
        wakeTimerAt = next;
        wakeTimer = platform.loop()
                .schedule(this::wake, Math.max(0, next - platform.clock().now()), TimeUnit.NANOSECONDS);
    }

    private void wake() {
        wakeTimer = null;
        wakeTimerAt = Long.MAX_VALUE;
        peers.tick(platform.clock().now());
        scheduleWake();
    }
}
