package gullspar.proxy.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A loop with real sockets: the order of serving, the age of unread data, bounded reading, no busy polling. */
@Timeout(60)
class OrderedNioHandlerTest {
    private static final int TIMERS = 200;
    /** The library looks at the time after so many tasks. */
    private static final int TASKS_PER_TIME_CHECK = 64;

    private final ServingLoop serving = ServingLoop.start();
    /** What the loop served, in order, and how long the data may have waited. */
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

    private final List<Channel> accepted = new CopyOnWriteArrayList<>();
    private final List<Socket> clients = new ArrayList<>();
    private final CountDownLatch resume = new CountDownLatch(1);
    private volatile LongConsumer onRead = age -> {};
    private ServerSocket backend;
    private Channel listener;
    private InetSocketAddress address;

    private record Event(String what, long ageNs) {}

    private final class EventRecorder extends ChannelInboundHandlerAdapter {
        private final String what;

        EventRecorder(String what) {
            this.what = what;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            long age = serving.unreadAge().ns();
            ((ByteBuf) message).release();
            events.add(new Event(what, age));
            onRead.accept(age);
        }
    }

    @BeforeEach
    void listen() throws Exception {
        backend = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        listener = new ServerBootstrap()
                .group(serving.loop())
                .channel(NioServerSocketChannel.class)
                .handler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext ctx, Object message) {
                        events.add(new Event("accept", serving.unreadAge().ns()));
                        ctx.fireChannelRead(message);
                    }
                })
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        accepted.add(c);
                        c.pipeline().addLast(new EventRecorder("client"));
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel();
        address = (InetSocketAddress) listener.localAddress();
    }

    @AfterEach
    void end() throws Exception {
        resume.countDown();
        for (Socket s : clients) {
            s.close();
        }
        backend.close();
        serving.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private Socket connect() throws Exception {
        Socket s = new Socket(address.getAddress(), address.getPort());
        clients.add(s);
        return s;
    }

    private Socket connectAndAccept() throws Exception {
        Socket s = connect();
        assertEquals("accept", nextEvent().what());
        serving.loop().submit(() -> {}).get(); // waits until it is registered
        return s;
    }

    /** An error of one read ended the loop: no connection was served any more. */
    @ParameterizedTest
    @ValueSource(classes = {OutOfMemoryError.class, StackOverflowError.class, NoClassDefFoundError.class})
    @SuppressWarnings("deprecation") // the type of the overridden method
    void errorWhileServingOneChannelClosesOnlyThatOne(Class<? extends Error> kind) throws Exception {
        Error planted = kind.getConstructor(String.class).newInstance("planted");
        Socket failing = connectAndAccept();
        Socket other = connectAndAccept();
        serving.loop()
                .submit(() -> accepted.get(0).config().setRecvByteBufAllocator(new FixedRecvByteBufAllocator(1024) {
                    @Override
                    public Handle newHandle() {
                        throw planted;
                    }
                }))
                .get();
        failing.setSoTimeout(20_000);
        failing.getOutputStream().write(1);
        assertEquals(-1, failing.getInputStream().read(), "closed");
        other.getOutputStream().write(1);
        assertEquals("client", nextEvent().what());
    }

    /** Opens a connection from the loop; returns its remote end. */
    private Socket openOutbound() throws Exception {
        new Bootstrap()
                .group(serving.loop())
                .channel(NioSocketChannel.class)
                .handler(new EventRecorder("answer"))
                .connect(backend.getLocalSocketAddress())
                .sync();
        Socket s = backend.accept();
        clients.add(s);
        return s;
    }

    private Event nextEvent() throws InterruptedException {
        Event event = events.poll(20, TimeUnit.SECONDS);
        if (event == null) {
            throw new AssertionError("the loop read nothing within 20 s");
        }
        return event;
    }

    /** Blocks the loop until resume is counted down. */
    private Future<?> blockLoop() throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        Future<?> task = serving.loop().submit(() -> {
            blocked.countDown();
            try {
                resume.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        blocked.await();
        return task;
    }

    @Test
    void loopSleepsUntilTimersAreDue() throws Exception {
        CountDownLatch done = new CountDownLatch(TIMERS);
        long[] turns = new long[2];
        serving.loop()
                .submit(() -> {
                    turns[0] = serving.statistics().turns();
                    reschedule(done);
                })
                .get();
        assertTrue(done.await(50, TimeUnit.SECONDS));
        serving.loop()
                .submit(() -> {
                    turns[1] = serving.statistics().turns();
                })
                .get();
        assertTrue(turns[1] - turns[0] <= 3 * TIMERS, (turns[1] - turns[0]) + " turns for " + TIMERS + " timers");
    }

    private void reschedule(CountDownLatch done) {
        done.countDown();
        if (done.getCount() > 0) {
            serving.loop().schedule(() -> reschedule(done), 1_400, TimeUnit.MICROSECONDS);
        }
    }

    @Test
    void afterAStandstillResponsesAreServedBeforeClientsAndNewConnections() throws Exception {
        Socket client = connectAndAccept();
        Socket server = openOutbound();
        blockLoop();
        connect();
        client.getOutputStream().write(1);
        server.getOutputStream().write(1);
        resume.countDown();
        assertEquals("answer", nextEvent().what());
        assertEquals("client", nextEvent().what());
        assertEquals("accept", nextEvent().what());
    }

    @Test
    void unreadDataCountsFromTheLastPoll() throws Exception {
        Socket client = connectAndAccept();
        blockLoop();
        long sent = System.nanoTime();
        client.getOutputStream().write(1);
        TimeUnit.MILLISECONDS.sleep(300);
        long waited = System.nanoTime() - sent;
        resume.countDown();
        assertTrue(nextEvent().ageNs() >= waited);
    }

    @Test
    void dataOnANewConnectionCountsFromThePollThatFoundTheConnection() throws Exception {
        blockLoop();
        long sent = System.nanoTime();
        connect().getOutputStream().write(1);
        TimeUnit.MILLISECONDS.sleep(300);
        long waited = System.nanoTime() - sent;
        resume.countDown();
        assertEquals("accept", nextEvent().what());
        assertTrue(nextEvent().ageNs() >= waited);
    }

    @Test
    void connectionsAcceptedInLaterTurnsKeepTheirAge() throws Exception {
        blockLoop();
        long sent = System.nanoTime();
        for (int i = 0; i < 40; i++) {
            connect().getOutputStream().write(1);
        }
        TimeUnit.MILLISECONDS.sleep(300);
        long waited = System.nanoTime() - sent;
        resume.countDown();
        int read = 0;
        while (read < 40) {
            Event event = nextEvent();
            read += event.what().equals("client") ? 1 : 0;
            assertTrue(event.ageNs() >= waited / 2, event + " of " + waited);
        }
    }

    @Test
    void dataThatEndsALongWaitHasJustArrived() throws Exception {
        Socket client = connectAndAccept();
        long idleSince = System.nanoTime();
        TimeUnit.MILLISECONDS.sleep(800);
        long idle = System.nanoTime() - idleSince;
        client.getOutputStream().write(1);
        assertTrue(nextEvent().ageNs() < idle, "the age counts from the start of the wait");
    }

    @Test
    void clientReadsPerTurnAreBoundedAndEveryClientIsRead() throws Exception {
        List<Socket> many = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            many.add(connectAndAccept());
        }
        Socket server = openOutbound();
        AtomicBoolean answered = new AtomicBoolean();
        blockLoop();
        for (Socket s : many) {
            s.getOutputStream().write(1);
        }
        onRead = age -> {
            if (answered.compareAndSet(false, true)) {
                write(server); // a response that arrives while clients are read
            }
            spin(OrderedNioHandler.MAX_CLIENT_READ_NS / 4);
        };
        resume.countDown();
        List<String> order = new ArrayList<>();
        for (int i = 0; i < 12 + 1; i++) {
            order.add(nextEvent().what());
        }
        assertTrue(order.indexOf("answer") < 12, "all clients were read before the answer: " + order);
        assertEquals(12, order.stream().filter("client"::equals).count());
        assertTrue(serving.loop().submit(() -> serving.statistics().postponed()).get() > 0);
    }

    /** Tasks that queue further tasks kept the loop from its sockets for a second. */
    @Test
    void fewLongTasksAreRunInOneTurn() throws Exception {
        int tasks = 200;
        Map<Long, Integer> tasksByTurn = new ConcurrentHashMap<>();
        CountDownLatch left = new CountDownLatch(tasks);
        serving.loop().execute(() -> runTask(left, tasksByTurn));
        assertTrue(left.await(50, TimeUnit.SECONDS));
        int most = Collections.max(tasksByTurn.values());
        assertTrue(most <= TASKS_PER_TIME_CHECK, most + " tasks in one turn");
    }

    private void runTask(CountDownLatch left, Map<Long, Integer> tasksByTurn) {
        tasksByTurn.merge(serving.statistics().turns(), 1, Integer::sum);
        spin(TimeUnit.MILLISECONDS.toNanos(1));
        left.countDown();
        if (left.getCount() > 0) {
            serving.loop().execute(() -> runTask(left, tasksByTurn));
        }
    }

    private static void write(Socket to) {
        try {
            to.getOutputStream().write(1);
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static void spin(long ns) {
        long until = System.nanoTime() + ns;
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }

    @Test
    void standstillIsCounted() throws Exception {
        blockLoop();
        TimeUnit.MILLISECONDS.sleep(150);
        resume.countDown();
        serving.loop().schedule(() -> {}, 1, TimeUnit.MILLISECONDS).get(); // one turn later
        long[] found = serving.loop()
                .submit(() -> new long[] {
                    serving.statistics().standstills(), serving.statistics().longestStandstillNs()
                })
                .get();
        assertTrue(found[0] >= 1);
        assertTrue(found[1] >= TimeUnit.MILLISECONDS.toNanos(150));
    }
}
