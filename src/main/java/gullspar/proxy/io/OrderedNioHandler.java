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
 * Wraps Netty's NIO handler for a proxy that is short of processor time.
 *
 * <ul>
 * <li>It sleeps until timers are due. Netty's handler rounds the time to the next timer to the nearest ms and
 * polls without waiting for the last half ms; that cost a proxy thousands of system calls per second.
 * <li>It serves ready channels in a fixed order: connections that this process opened (responses of servers,
 * updates of discovery), then those that clients opened, then listeners and all others. Timers and tasks follow.
 * <li>It bounds the time for reading clients in each turn, so that responses are sent in between.
 * <li>It tracks how long the data that it reads may have waited in the kernel.
 * </ul>
 *
 * <p>Used on the thread of its loop only.
 */
final class OrderedNioHandler implements IoHandler {
    /** No further client is read in a turn after this time; the rest are left for the next turn. */
    static final long MAX_CLIENT_READ_NS = 20_000_000L;
    /** Netty's limit of accepted connections per turn; after fewer of them the accept queue is empty. */
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
    /** The channel that is being served; null if none is. */
    private ReadyChannel serving;

    private long turn;
    private int registrationCount;

    /**
     * Wraps a handler.
     *
     * @param nio Netty's handler
     * @param clock the time in ns that the loop's timers use, since any origin
     */
    OrderedNioHandler(IoHandler nio, LongSupplier clock) {
        this.nio = nio;
        this.clock = clock;
    }

    LoopStatistics statistics() {
        return statistics;
    }

    /** How long the data that is read now may have waited in the kernel, in ns. */
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

    /** Polls the sockets; returns how long the thread was not running during the poll, in ns. */
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
            LOG.warn("event loop stalled for {} ms", TimeUnit.NANOSECONDS.toMillis(ns));
        }
    }

    private void serveAll(List<ReadyChannel> channels) {
        channels.forEach(ReadyChannel::updateReadableSince);
        channels.forEach(this::serve);
        channels.clear();
    }

    private void serveClients() {
        clients.forEach(ReadyChannel::updateReadableSince);
        clients.sort(Comparator.comparingLong(c -> c.readableSinceNs)); // clients left by earlier turns come first
        long startNs = clock.getAsLong();
        int next = 0;
        while (next < clients.size() && (next == 0 || clock.getAsLong() - startNs < MAX_CLIENT_READ_NS)) {
            serve(clients.get(next));
            next++;
        }
        List<ReadyChannel> remaining = clients.subList(next, clients.size());
        remaining.forEach(ReadyChannel::markUnserved); // the next poll finds them again
        statistics.recordPostponed(remaining.size());
        clients.clear();
    }

    private void serve(ReadyChannel channel) {
        if (!channel.registration.isValid()) {
            return; // closed while an earlier channel was served
        }
        serving = channel;
        registrationCount = 0;
        try {
            channel.handle.handle(channel.registration, channel.event);
        } catch (RuntimeException e) {
            LOG.warn("unexpected exception while serving a channel", e);
        } catch (Error e) {
            Errors.rethrowIfFatal(e);
            closeAfter(e, channel); // only this channel: an error that leaves here ends the loop
        } finally {
            serving = null;
        }
        if (registrationCount >= MAX_ACCEPTS_PER_TURN) {
            channel.markUnserved();
        }
    }

    @SuppressWarnings("try") // signature of IoHandle
    private static void closeAfter(Error error, ReadyChannel channel) {
        LOG.warn("error while serving a channel, closing it", error);
        try {
            channel.close();
        } catch (Throwable e) {
            Errors.rethrowIfFatal(e);
            channel.registration.cancel(); // it is at least not served again
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

    /** A channel whose events are queued by the NIO handler and served in the order of this handler. */
    @SuppressWarnings("try")
    private final class ReadyChannel implements NioIoHandle {
        private final NioIoHandle handle;
        /** The queue for its events, which depends on who opened the connection. */
        private final List<ReadyChannel> readyQueue;

        private final long registrationTurn = turn;
        /** For an accepted connection, whose first data may have arrived while it waited to be accepted. */
        private final long acceptorReadableSinceNs = serving == null ? Long.MAX_VALUE : serving.readableSinceNs;

        private IoRegistration registration;
        private IoEvent event;
        private long readableSinceNs;
        /** The last turn in which it was ready but was not served, or not completely. */
        private long unservedTurn = -1;

        ReadyChannel(NioIoHandle handle) {
            this.handle = handle;
            boolean isConnection = handle.selectableChannel() instanceof SocketChannel;
            boolean isAccepted = isConnection && ((SocketChannel) handle.selectableChannel()).isConnected();
            this.readyQueue = isAccepted ? clients : isConnection ? outbound : others;
        }

        /** Sets since when its data may have been readable, just before it is served. */
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
        @SuppressWarnings("try") // signature of IoHandle
        public void close() throws Exception {
            handle.close();
        }
    }

    /** Rounds the time to the next timer up to whole ms, the resolution of the selector's wait. */
    private static final class WholeMillisContext implements IoHandlerContext {
        private static final long MS = 1_000_000L;

        private IoHandlerContext delegate;
        private boolean canWait;
        /** How long the NIO handler may wait in the current poll; 0 if it may not. */
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
