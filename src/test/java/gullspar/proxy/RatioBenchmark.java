package gullspar.proxy;

import gullspar.decide.Policy;
import gullspar.proxy.config.Config;
import gullspar.proxy.io.Clock;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.Transport;
import gullspar.site.ProxyFixture;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Compares requests per second and latency of plain HTTP routing with the platform's protocol, in one run on one
 * machine with the same backend server. Run by bench/site/ratio.sh.
 */
public final class RatioBenchmark {
    private static final int ROUNDS = 7;
    private static final int CLIENTS = 16;
    /** Duration of one measurement. */
    private static final long ROUND_NS = 2_000_000_000L;

    private static final AtomicLong IDS = new AtomicLong();

    private RatioBenchmark() {}

    private interface RequestText {
        String next();
    }

    public static void main(String[] args) throws Exception {
        InetSocketAddress server = startServer();
        String backendAddress = "127.0.0.1:" + server.getPort();
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Proxy platform = Proxy.start(
                Config.parse(Setup.json("127.0.0.1:1", backendAddress, 1024, 1000), Map.of()),
                new Platform(loop, Clock.system(), Transport.tcp(loop), l -> {}),
                Policy::new);
        ProxyFixture one = new ProxyFixture(siteConfig(backendAddress, 1));
        ProxyFixture many = new ProxyFixture(siteConfig(backendAddress, 1000));
        RequestText look = () -> "GET /look/1?x=2 HTTP/1.1\r\nHost: api\r\nRequest-Id: r" + IDS.incrementAndGet()
                + "\r\nRequest-Timeout: 30\r\n\r\n";
        RequestText plain = () -> "GET /r500/1?x=2 HTTP/1.1\r\nHost: api\r\n\r\n";
        String[] names = {"platform", "1 route", "1000 routes"};
        InetSocketAddress[] addresses = {platform.address(), one.address(), many.address()};
        RequestText[] texts = {look, plain, plain};
        double[][] rates = new double[3][ROUNDS];
        double[][] medians = new double[3][ROUNDS];
        for (int round = -1; round < ROUNDS; round++) {
            for (int offset = 0; offset < 3; offset++) {
                int variant = (offset + Math.max(0, round)) % 3; // rotates the order of the variants
                long[] concurrent = measure(addresses[variant], CLIENTS, texts[variant]);
                long[] single = measure(addresses[variant], 1, texts[variant]);
                if (round >= 0) {
                    rates[variant][round] = concurrent.length * 1e9 / ROUND_NS;
                    medians[variant][round] = single[single.length / 2] / 1e3;
                }
            }
        }
        for (int variant = 0; variant < 3; variant++) {
            Arrays.sort(rates[variant]);
            Arrays.sort(medians[variant]);
            System.out.printf(
                    "%-12s %8.0f requests/s with %d clients (%.0f to %.0f, ratio %.2f), "
                            + "median latency with one %.0f us (ratio %.2f)%n",
                    names[variant],
                    rates[variant][ROUNDS / 2],
                    CLIENTS,
                    rates[variant][0],
                    rates[variant][ROUNDS - 1],
                    rates[variant][ROUNDS / 2] / rates[0][ROUNDS / 2],
                    medians[variant][ROUNDS / 2],
                    medians[variant][ROUNDS / 2] / medians[0][ROUNDS / 2]);
        }
        System.exit(0);
    }

    private static String siteConfig(String backendAddress, int routes) {
        StringBuilder s = new StringBuilder("[[listener]]\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"p\"\n"
                + "[[pool.server]]\naddress = \"" + backendAddress + "\"\n[[host]]\ndefault = true\n");
        for (int i = 0; i < routes; i++) {
            s.append("[[host.route]]\npath = \"/")
                    .append(routes == 1 ? "" : "r" + i + "/")
                    .append("\"\npool = \"p\"\n");
        }
        return s.toString();
    }

    /** Sends requests for one round; returns the response times in ns in ascending order. */
    private static long[] measure(InetSocketAddress address, int clients, RequestText text)
            throws InterruptedException {
        ConcurrentLinkedQueue<long[]> all = new ConcurrentLinkedQueue<>();
        List<Thread> threads = new ArrayList<>();
        long end = System.nanoTime() + ROUND_NS;
        for (int c = 0; c < clients; c++) {
            Thread t = new Thread(() -> {
                long[] times = new long[1 << 17];
                int n = 0;
                try (Peer.Wire w = Peer.Wire.to(address)) {
                    while (System.nanoTime() < end && n < times.length) {
                        long from = System.nanoTime();
                        w.write(text.next());
                        if (w.read().startsWith("HTTP/1.1 200")) { // others are refused during cold start
                            times[n++] = System.nanoTime() - from;
                        }
                    }
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
                all.add(Arrays.copyOf(times, n));
            });
            t.start();
            threads.add(t);
        }
        for (Thread t : threads) {
            t.join();
        }
        return all.stream().flatMapToLong(Arrays::stream).sorted().toArray();
    }

    /** Starts a server that responds with fixed bytes. */
    private static InetSocketAddress startServer() {
        ByteBuf answer = Unpooled.unreleasableBuffer(Unpooled.copiedBuffer(
                "HTTP/1.1 200 OK\r\nContent-Type: " + "text/plain\r\nContent-Length: 64\r\n\r\n" + "x".repeat(64),
                StandardCharsets.US_ASCII));
        return (InetSocketAddress) new ServerBootstrap()
                .group(new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()))
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpRequestDecoder(), new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext ctx, Object message) {
                                if (message instanceof LastHttpContent) {
                                    ctx.writeAndFlush(answer.duplicate());
                                }
                                if (message instanceof HttpContent) {
                                    ReferenceCountUtil.release(message);
                                }
                            }
                        });
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }
}
