package gullspar.rehearse.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.rehearse.time.Agenda;
import gullspar.rehearse.time.VirtualLoop;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The network in memory does what a proxy would see of TCP. Ways take 1 ms. */
class NetworkTest {
    private static final long MS = 1_000_000;
    private static final InetSocketAddress SERVER = new InetSocketAddress("127.1.0.1", 9000);

    private final List<Throwable> slips = new ArrayList<>();
    private Agenda agenda;
    private Network network;
    private Host client;
    private Host server;
    private VirtualLoop serverLoop;
    private final List<End> accepted = new ArrayList<>();

    @BeforeEach
    void listen() {
        agenda = new Agenda(1, 0);
        network = new Network(agenda, 1, (a, b) -> MS);
        client = network.host("client");
        server = network.host("server");
        client.runs(new VirtualLoop(agenda, slips::add));
        serverLoop = new VirtualLoop(agenda, slips::add);
        server.runs(serverLoop);
        network.transport(server)
                .serverBootstrap(SERVER)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        End e = new End();
                        accepted.add(e);
                        c.pipeline().addLast(e);
                    }
                })
                .bind();
        run(0);
    }

    private void run(long untilMs) {
        while (agenda.due(untilMs * MS)) {
            agenda.step();
        }
        agenda.skipTo(untilMs * MS);
        assertEquals(List.of(), slips);
    }

    /** One end of a connection: what it has read and how it ended. */
    private final class End extends SimpleChannelInboundHandler<ByteBuf> {
        private final StringBuilder read = new StringBuilder();
        private final List<String> goes = new ArrayList<>();
        private Channel channel;
        private long bytes;
        private Throwable failure;
        private long endedAt = -1;
        private String go = "";

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf b) {
            bytes += b.readableBytes();
            if (bytes < 10_000) {
                read.append(b.toString(StandardCharsets.US_ASCII));
                go += b.toString(StandardCharsets.US_ASCII);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            goes.add(go);
            go = "";
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            endedAt = agenda.now() / MS;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            failure = cause;
        }

        ChannelFuture write(String text) {
            return channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        }
    }

    private ChannelFuture connect(End e, InetSocketAddress to) {
        return network.transport(client)
                .clientBootstrap(to)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 50)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(e);
                    }
                })
                .connect();
    }

    private End connected() {
        End e = new End();
        ChannelFuture f = connect(e, SERVER);
        run(2);
        assertTrue(f.isSuccess());
        return e;
    }

    private End peer() {
        return accepted.get(accepted.size() - 1);
    }

    @Test
    void bytesTakeTheirTimeAndKeepTheirOrderAndWhatComesTogetherIsReadInOneGo() {
        End e = connected();
        e.write("one ");
        e.write("two");
        run(2);
        assertEquals("", peer().read.toString());
        run(3);
        assertEquals(List.of("one two"), peer().goes);
        assertEquals(2 * MS, ((MemoryChannel) peer().channel).sentAt());
        peer().write("back");
        run(4);
        assertEquals("back", e.read.toString());
    }

    @Test
    void whereNobodyListensAConnectionIsRefusedAndFromNoMachineNothingComes() {
        ChannelFuture refused = connect(new End(), new InetSocketAddress("127.1.0.1", 9001));
        run(0); // it has set out, and there is no such machine
        network.place(new InetSocketAddress("127.1.0.1", 9001), server);
        ChannelFuture again = connect(new End(), new InetSocketAddress("127.1.0.1", 9001));
        run(2);
        assertInstanceOf(ConnectException.class, again.cause());
        assertFalse(refused.isDone());
        run(50);
        assertInstanceOf(ConnectTimeoutException.class, refused.cause());
    }

    @Test
    void anEndComesBehindWhatWasSentBeforeIt() {
        End e = connected();
        e.write("last words");
        e.channel.close();
        run(3);
        assertEquals("last words", peer().read.toString());
        assertEquals(3, peer().endedAt);
        assertEquals(null, peer().failure);
    }

    @Test
    void aProcessThatEndsResetsItsConnectionsAndTheNextOnesAreRefused() {
        End e = connected();
        serverLoop.end();
        network.ended(server);
        run(3);
        assertEquals("Connection reset by peer", e.failure.getMessage());
        assertEquals(3, e.endedAt);
        ChannelFuture next = connect(new End(), SERVER);
        run(5);
        assertInstanceOf(ConnectException.class, next.cause());
    }

    @Test
    void aMachineThatVanishesSaysNothingAndResetsWhenItIsBack() {
        End e = connected();
        network.vanish(server, true);
        e.write("anybody?");
        ChannelFuture next = connect(new End(), SERVER);
        run(52);
        assertEquals(-1, e.endedAt);
        assertInstanceOf(ConnectTimeoutException.class, next.cause());
        network.vanish(server, false);
        run(1000);
        assertTrue(e.endedAt > 52, "ended at " + e.endedAt);
    }

    @Test
    void aWayThatIsCutHoldsItsBytesAndTheOtherWayGoesOn() {
        End e = connected();
        network.cut("client", "server", true);
        e.write("held");
        peer().write("free");
        run(100);
        assertEquals("", peer().read.toString());
        assertEquals("free", e.read.toString());
        network.cut("client", "server", false);
        run(299);
        assertEquals("", peer().read.toString());
        run(300); // it is sent again after 200 ms
        assertEquals("held", peer().read.toString());
    }

    @Test
    void aLostSegmentHoldsUpThoseBehindIt() {
        End e = connected();
        network.link("client", "server").lossy(0.5);
        for (int i = 0; i < 20; i++) {
            e.write("" + (char) ('a' + i));
        }
        run(10_000);
        assertEquals("abcdefghijklmnopqrst", peer().read.toString());
        assertTrue(peer().goes.size() > 1, "some were lost: " + peer().goes);
    }

    @Test
    void aReceiverThatDoesNotReadStopsItsSender() {
        End e = connected();
        run(2);
        serverLoop.pause(true);
        ChannelFuture much = e.channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[1 << 20]));
        run(100);
        assertFalse(much.isDone());
        assertEquals(0, peer().bytes);
        serverLoop.pause(false);
        run(200);
        assertTrue(much.isSuccess());
        assertEquals(1 << 20, peer().bytes);
    }

    /** Only part of what was written has come: a node that dies then has not got the request. */
    @Test
    void aProcessThatEndsInTheMidstOfAMessageHasHalfOfIt() {
        End e = connected();
        e.channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[1 << 20]));
        run(3);
        End p = peer();
        assertTrue(p.bytes > 0 && p.bytes < 1 << 20, "has " + p.bytes);
        serverLoop.end();
        network.ended(server);
        run(10);
        assertEquals("Connection reset by peer", e.failure.getMessage());
    }

    @Test
    void whileAProcessStandsStillWhatComesPilesUpAndIsSeenInOneWakeUp() {
        End e = connected();
        serverLoop.pause(true);
        e.write("a");
        run(5);
        e.write("b");
        End late = new End();
        ChannelFuture f = connect(late, SERVER);
        run(20);
        assertTrue(f.isSuccess(), "its kernel takes connections");
        assertEquals("", peer().read.toString());
        serverLoop.pause(false);
        run(20);
        assertEquals("ab", accepted.get(0).read.toString());
        assertEquals(2, accepted.size());
    }
}
