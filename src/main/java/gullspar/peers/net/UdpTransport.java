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
 * Carries a process's part in the fleet over UDP, on the proxy's loop. What is not ours, is damaged or was
 * made without the key is counted and dropped, never answered. All but the making is on the loop.
 */
public final class UdpTransport implements Outbox {
    /** Addresses that are kept read, so that each is not read for each datagram. */
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

    /** changes: hears what changes in the view. */
    public UdpTransport(Platform platform, Envelope envelope, Consumer<Change> changeListener) {
        this.platform = platform;
        this.envelope = envelope;
        this.changeListener = changeListener;
    }

    /** Binds a socket there; {@link #begin} is to follow once that is done. */
    public ChannelFuture bind(InetSocketAddress address) {
        ChannelFuture bound = platform.transport()
                .datagrams(address)
                // One byte more than may come, so that what is too long is seen to be.
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Message.MAX_DATAGRAM_BYTES + 1))
                .handler(new InboundHandler())
                .bind();
        channel = bound.channel();
        return bound;
    }

    /** Where it is bound. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /**
     * Takes part from now on; first: what this process says of itself, made of the address that it is
     * reached at.
     */
    public void start(Settings settings, Statement first, List<String> seeds, RandomGenerator random) {
        this.peers =
                new Peers(settings, first, seeds, random, this, platform.clock().now());
        scheduleWake();
    }

    /** Takes other keys from now on. */
    public void setKeys(Envelope keys) {
        envelope = keys;
    }

    /** Does it take part yet? */
    public boolean isStarted() {
        return peers != null;
    }

    /** Asks the machine something, or tells it something, at the present time. */
    public <T> T withPeers(Function<Peers, T> operation) {
        T t = operation.apply(peers);
        scheduleWake();
        return t;
    }

    /** Ends it. */
    public void close() {
        if (wakeTimer != null) {
            wakeTimer.cancel(false);
        }
        channel.close();
    }

    /** Datagrams that were dropped since they were not ours, by why. */
    public Map<Envelope.Refusal, Long> refused() {
        return refused;
    }

    /** Datagrams of a key holder that made no sense all the same. */
    public long malformed() {
        return malformed;
    }

    /** Datagrams that could not be handed to the socket. */
    public long unsent() {
        return unsent;
    }

    // ---- out ----

    @Override
    public void send(String to, Message m) {
        InetSocketAddress address = addresses.computeIfAbsent(to, UdpTransport::address);
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

    private static InetSocketAddress address(String text) {
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

    // ---- in ----

    private final class InboundHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket p) {
            if (peers == null) {
                return; // not begun yet
            }
            byte[] datagram = new byte[p.content().readableBytes()];
            p.content().readBytes(datagram);
            Envelope.Refusal why = envelope.open(datagram);
            if (why != null) {
                refused.merge(why, 1L, Long::sum);
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
            unsent++; // what a socket says of a datagram that nobody took; the next one is another
        }
    }

    // ---- time ----

    private void scheduleWake() {
        long next = peers.wakeAt();
        if (next >= wakeTimerAt) {
            return; // woken earlier, it looks again
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
