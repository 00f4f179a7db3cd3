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
    static final class Endpoint {
        final InetSocketAddress bindAddress;
        private Channel channel;
        private String process;

        private Endpoint(InetSocketAddress bindAddress) {
            this.bindAddress = bindAddress;
        }

        /** Where the others are to send to. */
        InetSocketAddress advertisedAddress() {
            return (InetSocketAddress) channel.localAddress();
        }
    }

    private final EventLoop loop;
    private final SplittableRandom random;
    private final DatagramForger forger;
    private final Map<Integer, Endpoint> endpointsByBindPort = new HashMap<>();
    private final Map<String, Endpoint> endpointsByProcess = new HashMap<>();
    private final Map<String, DatagramLink> links = new HashMap<>();

    Relay(EventLoop loop, long seed) {
        this.loop = loop;
        this.random = new SplittableRandom(seed);
        this.forger = new DatagramForger(seed + 2);
    }

    /** Makes a place of which nobody is yet. Not on the loop. */
    Endpoint open(InetSocketAddress bindAddress) {
        Endpoint endpoint = new Endpoint(bindAddress);
        endpoint.channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket p) {
                        Endpoint from = endpointsByBindPort.get(p.sender().getPort());
                        if (from != null && from.process != null) {
                            receive(from, endpoint, ByteBufUtil.getBytes(p.content()));
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
        loop.submit(() -> endpointsByBindPort.put(bindAddress.getPort(), endpoint))
                .syncUninterruptibly();
        return endpoint;
    }

    private void receive(Endpoint from, Endpoint to, byte[] datagram) {
        forger.observe(datagram);
        if (to.process != null) {
            link(from.process, to.process).send(datagram, random, (ns, d) -> deliver(to, ns, d));
        }
    }

    /** A process is found there from now on. */
    void move(String process, Endpoint to) {
        Endpoint previous = endpointsByProcess.put(process, to);
        if (previous != null && process.equals(previous.process)) {
            previous.process = null;
        }
        to.process = process;
    }

    Endpoint endpointOf(String process) {
        return endpointsByProcess.get(process);
    }

    private void deliver(Endpoint to, long delayNs, byte[] datagram) {
        Runnable send =
                () -> to.channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), to.bindAddress));
        if (delayNs <= 0) {
            send.run();
        } else {
            loop.schedule(send, delayNs, TimeUnit.NANOSECONDS);
        }
    }

    /** The way from one process to another. */
    DatagramLink link(String from, String to) {
        return links.computeIfAbsent(from + '>' + to, k -> new DatagramLink());
    }

    void setImpairment(String from, String to, DatagramLink.Impairment impairment, double value) {
        link(from, to).setImpairment(impairment, value, (ns, d) -> deliver(endpointsByProcess.get(to), ns, d));
    }

    /** A datagram that no process has sent goes to one. */
    void forge(String to) {
        deliver(endpointsByProcess.get(to), 0, forger.next());
    }

    void close() {
        List.copyOf(endpointsByBindPort.values()).forEach(p -> p.channel.close());
    }
}
