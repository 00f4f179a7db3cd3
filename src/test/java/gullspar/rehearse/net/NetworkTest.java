package gullspar.rehearse.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.rehearse.time.EventQueue;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The in-memory network behaves like TCP as a proxy observes it. The one-way delay is 1 ms. */
class NetworkTest {
    private static final long NS_PER_MS = 1_000_000;
    private static final InetSocketAddress SERVER = new InetSocketAddress("127.1.0.1", 9000);

    private final List<Throwable> errors = new ArrayList<>();
    private EventQueue eventQueue;
    private Network network;
    private Host client;
    private Host server;
    private VirtualLoop serverLoop;
    private final List<Endpoint> accepted = new ArrayList<>();

    @BeforeEach
    void listen() {
        eventQueue = new EventQueue(1, 0);
        network = new Network(eventQueue, 1, (a, b) -> NS_PER_MS);
        client = network.host("client");
        server = network.host("server");
        client.setProcess(new VirtualLoop(eventQueue, errors::add));
        serverLoop = new VirtualLoop(eventQueue, errors::add);
        server.setProcess(serverLoop);
        network.transport(server)
                .serverBootstrap(SERVER)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        Endpoint e = new Endpoint();
                        accepted.add(e);
                        c.pipeline().addLast(e);
                    }
                })
                .bind();
        run(0);
    }

    private void run(long untilMs) {
        while (eventQueue.hasEventBy(untilMs * NS_PER_MS)) {
            eventQueue.runNext();
        }
        eventQueue.advanceTo(untilMs * NS_PER_MS);
        assertEquals(List.of(), errors);
    }

    /** One end of a connection: records what it has read and how it ended. */
    private final class Endpoint extends SimpleChannelInboundHandler<ByteBuf> {
        private final StringBuilder read = new StringBuilder();
        private final List<String> readBatches = new ArrayList<>();
        private Channel channel;
        private long bytes;
        private Throwable failure;
        private long endedAtMs = -1;
        private String currentBatch = "";

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf b) {
            bytes += b.readableBytes();
            if (bytes < 10_000) {
                read.append(b.toString(StandardCharsets.US_ASCII));
                currentBatch += b.toString(StandardCharsets.US_ASCII);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            readBatches.add(currentBatch);
            currentBatch = "";
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            endedAtMs = eventQueue.now() / NS_PER_MS;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            failure = cause;
        }

        ChannelFuture write(String text) {
            return channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        }
    }

    private ChannelFuture connect(Endpoint e, InetSocketAddress to) {
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

    private Endpoint connected() {
        Endpoint e = new Endpoint();
        ChannelFuture f = connect(e, SERVER);
        run(2);
        assertTrue(f.isSuccess());
        return e;
    }

    private Endpoint peer() {
        return accepted.get(accepted.size() - 1);
    }

    /** A response whose client read slowly lost its last bytes in rehearsals. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void bytesBeforeTheEndAreReadThoughReadingWasPaused(boolean isReset) {
        Endpoint e = connected();
        e.channel.config().setAutoRead(false);
        run(3);
        peer().write("one");
        peer().write("two");
        run(10);
        if (isReset) {
            ((MemoryChannel) peer().channel).reset();
        } else {
            peer().channel.close();
        }
        run(20);
        assertTrue(e.channel.isOpen(), "the end lies behind unread bytes");
        e.channel.config().setAutoRead(true);
        run(30);
        assertTrue(e.read.toString().endsWith("two"), e.read.toString());
        assertFalse(e.channel.isOpen());
        assertEquals(isReset, e.failure != null);
    }

    @Test
    void bytesArriveInOrderAfterTheDelayAndAreReadInOneBatch() {
        Endpoint e = connected();
        e.write("one ");
        e.write("two");
        run(2);
        assertEquals("", peer().read.toString());
        run(3);
        assertEquals(List.of("one two"), peer().readBatches);
        assertEquals(2 * NS_PER_MS, ((MemoryChannel) peer().channel).sentAtNs());
        peer().write("back");
        run(4);
        assertEquals("back", e.read.toString());
    }

    @Test
    void connectIsRefusedWithoutListenerAndTimesOutWithoutHost() {
        ChannelFuture refused = connect(new Endpoint(), new InetSocketAddress("127.1.0.1", 9001));
        run(0); // the connect was sent while no host had the address
        network.assignAddress(new InetSocketAddress("127.1.0.1", 9001), server);
        ChannelFuture again = connect(new Endpoint(), new InetSocketAddress("127.1.0.1", 9001));
        run(2);
        assertInstanceOf(ConnectException.class, again.cause());
        assertFalse(refused.isDone());
        run(50);
        assertInstanceOf(ConnectTimeoutException.class, refused.cause());
    }

    @Test
    void closeArrivesAfterBytesSentBeforeIt() {
        Endpoint e = connected();
        e.write("last words");
        e.channel.close();
        run(3);
        assertEquals("last words", peer().read.toString());
        assertEquals(3, peer().endedAtMs);
        assertEquals(null, peer().failure);
    }

    @Test
    void endOfProcessResetsConnectionsAndRefusesNewOnes() {
        Endpoint e = connected();
        serverLoop.end();
        network.closeSockets(server);
        run(3);
        assertEquals("Connection reset by peer", e.failure.getMessage());
        assertEquals(3, e.endedAtMs);
        ChannelFuture next = connect(new Endpoint(), SERVER);
        run(5);
        assertInstanceOf(ConnectException.class, next.cause());
    }

    @Test
    void unreachableHostIsSilentAndResetsConnectionsOnReturn() {
        Endpoint e = connected();
        network.setUnreachable(server, true);
        e.write("anybody?");
        ChannelFuture next = connect(new Endpoint(), SERVER);
        run(52);
        assertEquals(-1, e.endedAtMs);
        assertInstanceOf(ConnectTimeoutException.class, next.cause());
        network.setUnreachable(server, false);
        run(1000);
        assertTrue(e.endedAtMs > 52, "ended at " + e.endedAtMs);
    }

    @Test
    void cutHoldsBytesInOneDirectionOnly() {
        Endpoint e = connected();
        network.cut("client", "server", true);
        e.write("held");
        peer().write("free");
        run(100);
        assertEquals("", peer().read.toString());
        assertEquals("free", e.read.toString());
        network.cut("client", "server", false);
        run(299);
        assertEquals("", peer().read.toString());
        run(300); // retransmitted after 200 ms
        assertEquals("held", peer().read.toString());
    }

    @Test
    void lostSegmentDelaysThoseBehindIt() {
        Endpoint e = connected();
        network.link("client", "server").setLoss(0.5);
        for (int i = 0; i < 20; i++) {
            e.write("" + (char) ('a' + i));
        }
        run(10_000);
        assertEquals("abcdefghijklmnopqrst", peer().read.toString());
        assertTrue(peer().readBatches.size() > 1, "batches, some segments lost: " + peer().readBatches);
    }

    @Test
    void receiverThatDoesNotReadBlocksItsSender() {
        Endpoint e = connected();
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

    /** Guards against a process that ends mid-transfer counting as having received the whole request. */
    @Test
    void processThatEndsMidMessageHasReadOnlyPartOfIt() {
        Endpoint e = connected();
        e.channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[1 << 20]));
        run(3);
        Endpoint p = peer();
        assertTrue(p.bytes > 0 && p.bytes < 1 << 20, "bytes read: " + p.bytes);
        serverLoop.end();
        network.closeSockets(server);
        run(10);
        assertEquals("Connection reset by peer", e.failure.getMessage());
    }

    @Test
    void pausedProcessReadsQueuedInputInOneWakeUp() {
        Endpoint e = connected();
        serverLoop.pause(true);
        e.write("a");
        run(5);
        e.write("b");
        Endpoint late = new Endpoint();
        ChannelFuture f = connect(late, SERVER);
        run(20);
        assertTrue(f.isSuccess(), "the kernel accepts connections while the process is paused");
        assertEquals("", peer().read.toString());
        serverLoop.pause(false);
        run(20);
        assertEquals("ab", accepted.get(0).read.toString());
        assertEquals(2, accepted.size());
    }
}
