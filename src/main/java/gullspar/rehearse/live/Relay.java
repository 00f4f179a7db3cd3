package gullspar.rehearse.live;

import gullspar.rehearse.net.Datagrams;
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
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * What the proxies send each other goes through here: each is known to the others by an address of the
 * relay, which tells by the sender's port whose way it is and does to a datagram what that way does. All on
 * the loop.
 */
final class Relay {
    private final EventLoop loop;
    private final SplittableRandom random;
    private final Map<Integer, String> senders = new HashMap<>();
    private final Map<String, InetSocketAddress> homes = new HashMap<>();
    private final Map<String, Channel> fronts = new HashMap<>();
    private final Map<String, Datagrams> ways = new HashMap<>();

    Relay(EventLoop loop, long seed) {
        this.loop = loop;
        this.random = new SplittableRandom(seed);
    }

    /** Lets a proxy be reached that is bound to that address; tells where. Not on the loop. */
    InetSocketAddress front(String name, InetSocketAddress home) {
        Channel c = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket p) {
                        String from = senders.get(p.sender().getPort());
                        if (from != null) {
                            way(from, name).carry(ByteBufUtil.getBytes(p.content()), random,
                                    (ns, d) -> later(name, ns, d));
                        }
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        // nobody is there at the moment: that is what a datagram may meet
                    }
                }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(),
                        0)).syncUninterruptibly().channel();
        loop.submit(() -> {
            senders.put(home.getPort(), name);
            homes.put(name, home);
            fronts.put(name, c);
        }).syncUninterruptibly();
        return (InetSocketAddress) c.localAddress();
    }

    private void later(String to, long ns, byte[] datagram) {
        Runnable send = () ->
                fronts.get(to).writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram),
                homes.get(to)));
        if (ns <= 0) {
            send.run();
        } else {
            loop.schedule(send, ns, TimeUnit.NANOSECONDS);
        }
    }

    /** The way from one proxy to another. */
    Datagrams way(String from, String to) {
        return ways.computeIfAbsent(from + '>' + to, k -> new Datagrams());
    }

    void trouble(String from, String to, Datagrams.Trouble t, double figure) {
        way(from, to).trouble(t, figure, (ns, d) -> later(to, ns, d));
    }

    void close() {
        fronts.values().forEach(Channel::close);
    }
}
