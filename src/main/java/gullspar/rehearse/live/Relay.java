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
 * Relays the datagrams between the proxies. Each proxy advertises an address of the relay; the relay identifies the
 * sender of a datagram by its source port and applies the state of the link to the receiver. Methods must be called
 * on the event loop unless stated otherwise.
 */
final class Relay {
    /** An address of the relay, the address behind it where a process binds, and that process, if any. */
    static final class Endpoint {
        final InetSocketAddress bindAddress;
        private Channel channel;
        private String process;

        private Endpoint(InetSocketAddress bindAddress) {
            this.bindAddress = bindAddress;
        }

        /** The address to which the other processes send. */
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

    /** Opens an endpoint without a process. Must not be called on the loop. */
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
                        // no process is bound there at the moment: the datagram is lost
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

    /** Assigns an endpoint to a process in place of its previous one. */
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

    /** The link from one process to another. */
    DatagramLink link(String from, String to) {
        return links.computeIfAbsent(from + '>' + to, k -> new DatagramLink());
    }

    void setImpairment(String from, String to, DatagramLink.Impairment impairment, double value) {
        link(from, to).setImpairment(impairment, value, (ns, d) -> deliver(endpointsByProcess.get(to), ns, d));
    }

    /** Sends a forged datagram to a process. */
    void forge(String to) {
        deliver(endpointsByProcess.get(to), 0, forger.next());
    }

    void close() {
        List.copyOf(endpointsByBindPort.values()).forEach(p -> p.channel.close());
    }
}
