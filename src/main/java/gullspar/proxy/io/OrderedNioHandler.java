package gullspar.proxy.io;

import io.netty.channel.IoEvent;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandle;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Netty's NIO handler with what a proxy needs when its processor is scarce.
 *
 * <ul>
 * <li>It sleeps until timers are due. Netty's own rounds the time to the next timer to the nearest ms and
 * polls without a wait for the last half of one; that cost a proxy thousands of system calls a second.
 * <li>It serves ready channels in a fixed order: connections that the process opened (answers of servers,
 * news of discovery), then those that clients opened, then listeners and all others. Timers and tasks follow.
 * <li>It reads clients for a bounded time in each turn, so that answers go out in between.
 * <li>It knows since when what it reads may have waited in the system.
 * </ul>
 *
 * <p>All on the thread of its loop.
 */
final class OrderedNioHandler implements IoHandler {
    /** For so long clients are read in one turn, in ns. */
    static final long MAX_CLIENT_READ_NS = 20_000_000L;
    /** Netty accepts so many connections in one turn; where it took fewer, none is left in the queue. */
    private static final int MAX_ACCEPTS_PER_TURN = 16;

    private static final InternalLogger LOG = InternalLoggerFactory.getInstance(OrderedNioHandler.class);

    private final IoHandler nio;
    private final LongSupplier clock;
    private final PollTimes pollTimes = new PollTimes();
    private final LoopStatistics statistics = new LoopStatistics();
    private final WholeMillisContext context = new WholeMillisContext();
    private final List<ReadyChannel> outbound = new ArrayList<>();
    private final List<ReadyChannel> clients = new ArrayList<>();
    private final List<ReadyChannel> others = new ArrayList<>();
    /** The source that is being served; null between them. */
    private ReadyChannel serving;

    private long turn;
    private int registrationCount;

    /** clock: ns from any origin, the one that the loop's timers go by. */
    OrderedNioHandler(IoHandler nio, LongSupplier clock) {
        this.nio = nio;
        this.clock = clock;
    }

    LoopStatistics statistics() {
        return statistics;
    }

    /** How long what is read now may have waited, in ns. */
    long unreadAgeNs() {
        long sinceNs = serving == null ? pollTimes.seenUntilNs() : serving.readableSinceNs;
        return Math.max(0, clock.getAsLong() - sinceNs);
    }

    @Override
    public int run(IoHandlerContext loopContext) {
        turn++;
        long nowNs = clock.getAsLong();
        long workedNs = pollTimes.workedNs(nowNs);
        int readyCount = 0;
        long oversleptNs = 0;
        if (pollTimes.needsNonBlockingPoll(nowNs)) {
            oversleptNs = poll(loopContext, false);
            readyCount = readyCount();
        }
        if (readyCount == 0) {
            oversleptNs += poll(loopContext, true);
            readyCount = readyCount();
        }
        statistics.recordTurn(readyCount);
        recordStandstill(workedNs + oversleptNs);
        serveAll(outbound);
        serveClients();
        serveAll(others);
        return readyCount;
    }

    /** Looks at the sockets; returns how long the thread stood still meanwhile, in ns. */
    private long poll(IoHandlerContext loopContext, boolean canWait) {
        long startNs = clock.getAsLong();
        context.begin(loopContext, canWait);
        nio.run(context);
        return pollTimes.recordPoll(startNs, clock.getAsLong(), context.allowedWaitNs);
    }

    private int readyCount() {
        return outbound.size() + clients.size() + others.size();
    }

    private void recordStandstill(long ns) {
        if (statistics.recordStandstill(ns)) {
            LOG.warn("the event loop stood still for {} ms", TimeUnit.NANOSECONDS.toMillis(ns));
        }
    }

    private void serveAll(List<ReadyChannel> sources) {
        sources.forEach(ReadyChannel::updateReadableSince);
        sources.forEach(this::serve);
        sources.clear();
    }

    private void serveClients() {
        clients.forEach(ReadyChannel::updateReadableSince);
        clients.sort(Comparator.comparingLong(c -> c.readableSinceNs)); // what was left comes first
        long startNs = clock.getAsLong();
        int next = 0;
        while (next < clients.size() && (next == 0 || clock.getAsLong() - startNs < MAX_CLIENT_READ_NS)) {
            serve(clients.get(next));
            next++;
        }
        List<ReadyChannel> remaining = clients.subList(next, clients.size());
        remaining.forEach(ReadyChannel::markUnserved); // the next look finds them again
        statistics.postponed(remaining.size());
        clients.clear();
    }

    private void serve(ReadyChannel source) {
        if (!source.registration.isValid()) {
            return; // closed by what was served before it
        }
        serving = source;
        registrationCount = 0;
        try {
            source.handle.handle(source.registration, source.event);
        } catch (RuntimeException e) {
            LOG.warn("a channel failed", e);
        } finally {
            serving = null;
        }
        if (registrationCount >= MAX_ACCEPTS_PER_TURN) {
            source.markUnserved();
        }
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        registrationCount++;
        return nio.register(new ReadyChannel((NioIoHandle) handle));
    }

    @Override
    public void initialize() {
        nio.initialize();
    }

    @Override
    public void prepareToDestroy() {
        nio.prepareToDestroy();
    }

    @Override
    public void destroy() {
        nio.destroy();
    }

    @Override
    public void wakeup() {
        nio.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return nio.isCompatible(type);
    }

    /** A channel as the NIO handler sees it: its events are noted, and served in this handler's order. */
    @SuppressWarnings("try")
    private final class ReadyChannel implements NioIoHandle {
        private final NioIoHandle handle;
        /** Where its events are noted: by who opened the connection. */
        private final List<ReadyChannel> readyQueue;

        private final long registrationTurn = turn;
        /** What a connection brings first may have come with it, while it waited to be accepted. */
        private final long acceptorReadableSinceNs = serving == null ? Long.MAX_VALUE : serving.readableSinceNs;

        private IoRegistration registration;
        private IoEvent event;
        private long readableSinceNs;
        /** The turn in which it was ready and not, or not wholly, served. */
        private long unservedTurn = -1;

        ReadyChannel(NioIoHandle handle) {
            this.handle = handle;
            boolean connection = handle.selectableChannel() instanceof SocketChannel;
            boolean accepted = connection && ((SocketChannel) handle.selectableChannel()).isConnected();
            this.readyQueue = accepted ? clients : connection ? outbound : others;
        }

        /** It is about to be served: since when may what it brings have been there? */
        void updateReadableSince() {
            if (unservedTurn != turn - 1) {
                readableSinceNs = registrationTurn == turn - 1
                        ? Math.min(acceptorReadableSinceNs, pollTimes.readableSinceNs())
                        : pollTimes.readableSinceNs();
            }
        }

        void markUnserved() {
            unservedTurn = turn;
        }

        @Override
        public void handle(IoRegistration ioRegistration, IoEvent ioEvent) {
            registration = ioRegistration;
            event = ioEvent;
            readyQueue.add(this);
        }

        @Override
        public SelectableChannel selectableChannel() {
            return handle.selectableChannel();
        }

        @Override
        public void registered() {
            handle.registered();
        }

        @Override
        public void unregistered() {
            handle.unregistered();
        }

        @Override
        @SuppressWarnings("try") // the library's signature
        public void close() throws Exception {
            handle.close();
        }
    }

    /** Rounds the time to the next timer up to whole ms: the system's wait knows no less. */
    private static final class WholeMillisContext implements IoHandlerContext {
        private static final long MS = 1_000_000L;

        private IoHandlerContext delegate;
        private boolean canWait;
        /** For how long the NIO handler may wait in this turn, in ns; 0 if it may not. */
        private long allowedWaitNs;

        void begin(IoHandlerContext next, boolean wait) {
            delegate = next;
            canWait = wait;
            allowedWaitNs = 0;
        }

        @Override
        public boolean canBlock() {
            return canWait && delegate.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            long delayNs = delegate.delayNanos(now);
            if (delayNs > 0 && delayNs < Long.MAX_VALUE - MS) {
                delayNs = (delayNs + MS - 1) / MS * MS;
            }
            allowedWaitNs = Math.max(0, delayNs);
            return delayNs;
        }

        @Override
        public long deadlineNanos() {
            return delegate.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long ns) {
            delegate.reportActiveIoTime(ns);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return delegate.shouldReportActiveIoTime();
        }
    }
}
