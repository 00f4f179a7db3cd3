package gullspar.rehearse.live;

import gullspar.rehearse.net.DatagramForger;
import gullspar.rehearse.net.DatagramLink;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * What the proxies send each other goes through here: each is known to the others by an address of the
 * relay, which tells by the sender's port whose way it is and does to a datagram what that way does. All on
 * the loop, but where another is said.
 */
final class Relay {
    /** One address of the relay, the one behind it where a process is bound, and who that is, if anybody. */
    static final class Place {
        final InetSocketAddress home;
        private Channel front;
        private String process;

        private Place(InetSocketAddress home) {
            this.home = home;
        }

        /** Where the others are to send to. */
        InetSocketAddress address() {
            return (InetSocketAddress) front.localAddress();
        }
    }

    private final EventLoop loop;
    private final SplittableRandom random;
    private final DatagramForger forger;
    private final Map<Integer, Place> byHome = new HashMap<>();
    private final Map<String, Place> byProcess = new HashMap<>();
    private final Map<String, DatagramLink> ways = new HashMap<>();

    Relay(EventLoop loop, long seed) {
        this.loop = loop;
        this.random = new SplittableRandom(seed);
        this.forger = new DatagramForger(seed + 2);
    }

    /** Makes a place of which nobody is yet. Not on the loop. */
    Place open(InetSocketAddress home) {
        Place place = new Place(home);
        place.front = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket p) {
                        Place from = byHome.get(p.sender().getPort());
                        if (from != null && from.process != null) {
                            came(from, place, ByteBufUtil.getBytes(p.content()));
                        }
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        // nobody is there at the moment: that is what a datagram may meet
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
        loop.submit(() -> byHome.put(home.getPort(), place)).syncUninterruptibly();
        return place;
    }

    private void came(Place from, Place to, byte[] datagram) {
        forger.observe(datagram);
        if (to.process != null) {
            way(from.process, to.process).send(datagram, random, (ns, d) -> later(to, ns, d));
        }
    }

    /** A process is found there from now on. */
    void move(String process, Place to) {
        Place was = byProcess.put(process, to);
        if (was != null && process.equals(was.process)) {
            was.process = null;
        }
        to.process = process;
    }

    Place placeOf(String process) {
        return byProcess.get(process);
    }

    private void later(Place to, long ns, byte[] datagram) {
        Runnable send = () -> to.front.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), to.home));
        if (ns <= 0) {
            send.run();
        } else {
            loop.schedule(send, ns, TimeUnit.NANOSECONDS);
        }
    }

    /** The way from one process to another. */
    DatagramLink way(String from, String to) {
        return ways.computeIfAbsent(from + '>' + to, k -> new DatagramLink());
    }

    void trouble(String from, String to, DatagramLink.Impairment t, double figure) {
        way(from, to).setImpairment(t, figure, (ns, d) -> later(byProcess.get(to), ns, d));
    }

    /** A datagram that no process has sent goes to one. */
    void forge(String to) {
        later(byProcess.get(to), 0, forger.next());
    }

    void close() {
        List.copyOf(byHome.values()).forEach(p -> p.front.close());
    }
}
