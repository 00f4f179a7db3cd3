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
    static final long READING_NS = 20_000_000L;
    /** Netty accepts so many connections in one turn; where it took fewer, none is left in the queue. */
    private static final int MOST_ACCEPTED = 16;

    private static final InternalLogger LOG = InternalLoggerFactory.getInstance(OrderedNioHandler.class);

    private final IoHandler nio;
    private final LongSupplier clock;
    private final LookTimes times = new LookTimes();
    private final LoopFigures figures = new LoopFigures();
    private final WholeMillis context = new WholeMillis();
    private final List<Source> opened = new ArrayList<>();
    private final List<Source> clients = new ArrayList<>();
    private final List<Source> others = new ArrayList<>();
    /** The source that is being served; null between them. */
    private Source serving;

    private long turn;
    private int registered;

    /** clock: ns from any origin, the one that the loop's timers go by. */
    OrderedNioHandler(IoHandler nio, LongSupplier clock) {
        this.nio = nio;
        this.clock = clock;
    }

    LoopFigures figures() {
        return figures;
    }

    /** How long what is read now may have waited, in ns. */
    long unreadNs() {
        long since = serving == null ? times.seenUntil() : serving.readableSince;
        return Math.max(0, clock.getAsLong() - since);
    }

    @Override
    public int run(IoHandlerContext of) {
        turn++;
        long now = clock.getAsLong();
        long worked = times.worked(now);
        int ready = 0;
        long overslept = 0;
        if (times.unsure(now)) {
            overslept = look(of, false);
            ready = ready();
        }
        if (ready == 0) {
            overslept += look(of, true);
            ready = ready();
        }
        figures.looked(ready);
        stoodStill(worked + overslept);
        serveAll(opened);
        serveClients();
        serveAll(others);
        return ready;
    }

    /** Looks at the sockets; returns how long the thread stood still meanwhile, in ns. */
    private long look(IoHandlerContext of, boolean mayWait) {
        long began = clock.getAsLong();
        context.begin(of, mayWait);
        nio.run(context);
        return times.looked(began, clock.getAsLong(), context.allowedNs);
    }

    private int ready() {
        return opened.size() + clients.size() + others.size();
    }

    private void stoodStill(long ns) {
        if (figures.stoodStill(ns)) {
            LOG.warn("the event loop stood still for {} ms", TimeUnit.NANOSECONDS.toMillis(ns));
        }
    }

    private void serveAll(List<Source> sources) {
        sources.forEach(Source::dated);
        sources.forEach(this::serve);
        sources.clear();
    }

    private void serveClients() {
        clients.forEach(Source::dated);
        clients.sort(Comparator.comparingLong(c -> c.readableSince)); // what was left comes first
        long began = clock.getAsLong();
        int next = 0;
        while (next < clients.size() && (next == 0 || clock.getAsLong() - began < READING_NS)) {
            serve(clients.get(next));
            next++;
        }
        List<Source> left = clients.subList(next, clients.size());
        left.forEach(Source::left); // the next look finds them again
        figures.postponed(left.size());
        clients.clear();
    }

    private void serve(Source source) {
        if (!source.registration.isValid()) {
            return; // closed by what was served before it
        }
        serving = source;
        registered = 0;
        try {
            source.handle.handle(source.registration, source.event);
        } catch (RuntimeException e) {
            LOG.warn("a channel failed", e);
        } finally {
            serving = null;
        }
        if (registered >= MOST_ACCEPTED) {
            source.left();
        }
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        registered++;
        return nio.register(new Source((NioIoHandle) handle));
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
    private final class Source implements NioIoHandle {
        private final NioIoHandle handle;
        /** Where its events are noted: by who opened the connection. */
        private final List<Source> kind;

        private final long registeredIn = turn;
        /** What a connection brings first may have come with it, while it waited to be accepted. */
        private final long registeredSince = serving == null ? Long.MAX_VALUE : serving.readableSince;

        private IoRegistration registration;
        private IoEvent event;
        private long readableSince;
        /** The turn in which it was ready and not, or not wholly, served. */
        private long leftIn = -1;

        Source(NioIoHandle handle) {
            this.handle = handle;
            boolean connection = handle.selectableChannel() instanceof SocketChannel;
            boolean accepted = connection && ((SocketChannel) handle.selectableChannel()).isConnected();
            this.kind = accepted ? clients : connection ? opened : others;
        }

        /** It is about to be served: since when may what it brings have been there? */
        void dated() {
            if (leftIn != turn - 1) {
                readableSince = registeredIn == turn - 1
                        ? Math.min(registeredSince, times.readableSince())
                        : times.readableSince();
            }
        }

        void left() {
            leftIn = turn;
        }

        @Override
        public void handle(IoRegistration of, IoEvent what) {
            registration = of;
            event = what;
            kind.add(this);
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
    private static final class WholeMillis implements IoHandlerContext {
        private static final long MS = 1_000_000L;

        private IoHandlerContext of;
        private boolean mayWait;
        /** For how long the NIO handler may wait in this turn, in ns; 0 if it may not. */
        private long allowedNs;

        void begin(IoHandlerContext next, boolean wait) {
            of = next;
            mayWait = wait;
            allowedNs = 0;
        }

        @Override
        public boolean canBlock() {
            return mayWait && of.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            long delay = of.delayNanos(now);
            if (delay > 0 && delay < Long.MAX_VALUE - MS) {
                delay = (delay + MS - 1) / MS * MS;
            }
            allowedNs = Math.max(0, delay);
            return delay;
        }

        @Override
        public long deadlineNanos() {
            return of.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long ns) {
            of.reportActiveIoTime(ns);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return of.shouldReportActiveIoTime();
        }
    }
}
