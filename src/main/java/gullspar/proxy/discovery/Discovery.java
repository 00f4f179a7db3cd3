package gullspar.proxy.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import gullspar.decide.Balancer.ListKind;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.Json;
import gullspar.proxy.io.ConnectOperation;
import gullspar.proxy.io.Platform;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Watches discovery and passes its lists to a listener. A watch that ends, falls silent or sends invalid data is
 * reopened from the last version; the previous list stays in use meanwhile. Only a complete list shows that a watch
 * works: a watch that has not sent one has a deadline, and where lists are pushed another watch is opened in parallel.
 */
public final class Discovery {
    /** Receives list updates, and failures of the watch. */
    public interface Listener {
        void onUpdate(ListUpdate update);

        void onWatchFailed();
    }

    /**
     * Where lists come from and how they are read.
     *
     * @param address address of discovery
     * @param listOnRequest whether each list is a call that the module requests, rather than pushed
     * @param knownList the list known at startup; a missing node if there is none
     * @param kinds machine types in the order of the indexes that the module uses
     * @param zones zones in the order of the indexes that the module uses
     */
    public record Source(
            InetSocketAddress address,
            boolean listOnRequest,
            JsonNode knownList,
            List<String> kinds,
            List<String> zones) {
        /** A source that pushes its list to all watchers, with no list known at startup. */
        public static Source pushed(InetSocketAddress address) {
            return new Source(address, false, MissingNode.getInstance(), List.of(), List.of());
        }
    }

    /**
     * Time limits in ms. The proxy has to apply a change within 6 s of the watch falling silent, and within 6 s of
     * discovery having the change and being reachable. That time has to cover either a silence, or an unanswered call,
     * the module's pause after it and a call that discovery queues.
     *
     * @param connectMs limit for connecting
     * @param firstListMs limit for the first list of a watch, from opening it
     * @param silenceMs limit between two messages of a watch; the protocol sends a heartbeat every 2 s
     */
    public record Timeouts(long connectMs, long firstListMs, long silenceMs) {
        private static final long SILENCE_MS = 3000;
        /** For an agent on this machine, which answers at once; a change is due from the time it could have it. */
        public static final Timeouts AGENT = new Timeouts(200, 250, SILENCE_MS);
        /** For a service that all proxies call, which may queue a call for up to 2 s. */
        public static final Timeouts SERVICE = new Timeouts(1000, 2500, SILENCE_MS);

        /**
         * How long lists with a version lower than the last one are rejected. Their sender may lag behind or may have
         * restarted its versions; after this time its full lists are accepted, as it may never send higher versions.
         */
        long catchUpMs() {
            return silenceMs / 2;
        }
    }

    private static final long INITIAL_BACKOFF_MS = 10;
    /**
     * A call to an agent costs little. Changes that it has when it is reachable again must be followed within the
     * settings' grace: the backoff, connecting and its answer together stay well below any grace.
     */
    private static final long MAX_BACKOFF_MS = 80;
    /** Limits the descriptors used; a silent agent has fewer watches open before the first one times out. */
    private static final int MAX_WATCHES = 16;

    private static final int MAX_LIST_BYTES = 4 << 20;

    private final Platform platform;
    private final EventLoop loop;
    private final boolean listOnRequest;
    private final JsonNode knownList;
    private final Listener listener;
    private final Timeouts timeouts;
    private final Catalog catalog;
    private InetSocketAddress address;
    private long version = -1;
    private long backoffMs = INITIAL_BACKOFF_MS;
    private boolean isWatching;
    /** A list was received from discovery, so backends that first appear in later ones have just started. */
    private boolean hadList;
    /** Open watches, the oldest first. All are read until one at the current address sends a list. */
    private final Set<Watch> watches = new LinkedHashSet<>();
    /** The watch at the current address that has sent a list; null if there is none. */
    private Watch current;
    /** Scheduled opening of another watch; null while the current one works, or if the module requests each call. */
    private ScheduledFuture<?> scheduledOpen;
    /** Time of the first list older than the last version; 0 if the most recent list was not older. */
    private long behindSinceNs;
    /** Last warning logged, cleared by a valid list; the same warning is not logged twice in a row. */
    private String lastWarning;

    public Discovery(Platform platform, Config config, Listener listener) {
        this(platform, source(config), listener);
    }

    /** Watches a source that is not from the platform's configuration. */
    public Discovery(Platform platform, Source source, Listener listener) {
        this(platform, source, listener, source.listOnRequest() ? Timeouts.SERVICE : Timeouts.AGENT);
    }

    /** The same with other timeouts. */
    public Discovery(Platform platform, Source source, Listener listener, Timeouts timeouts) {
        this.platform = platform;
        this.loop = platform.loop();
        this.listOnRequest = source.listOnRequest();
        this.knownList = source.knownList();
        this.catalog = new Catalog(source.kinds(), source.zones());
        this.listener = listener;
        this.address = source.address();
        this.timeouts = timeouts;
    }

    /** The source that the platform's configuration names. */
    public static Source source(Config config) {
        return new Source(
                config.discovery(), config.settings().listOnRequest(), config.known(), config.kinds(), config.zones());
    }

    /** Returns the list known at startup; null if there is none or it is invalid. */
    public ListUpdate knownList() {
        if (!knownList.isObject()) {
            return null;
        }
        try {
            ListUpdate update = catalog.read(knownList, false, platform.clock().now());
            return new ListUpdate(ListKind.CACHED, update.version(), update.list());
        } catch (IllegalArgumentException e) {
            platform.log().write("invalid known list in the configuration, not used: " + e.getMessage());
            return null;
        }
    }

    /** Opens or closes the watch. Pushed lists are watched permanently; a requested list is a single call. */
    public void watch(boolean on) {
        isWatching = on;
        close(w -> !on || w.watchedAddress.equals(address));
        current = null;
        if (on) {
            open();
        } else {
            cancelScheduledOpen();
        }
    }

    /**
     * Moves the watch to a new address at once, from the last version received. Lists from the former address
     * are accepted until the new one, which may still be starting up, has sent a list. Returns whether the address is
     * another one.
     */
    public boolean changeAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return false;
        }
        address = newAddress;
        backoffMs = INITIAL_BACKOFF_MS;
        behindSinceNs = 0;
        current = null;
        if (isWatching) {
            open();
        }
        return true;
    }

    private void close(Predicate<Watch> which) {
        for (Watch watch : List.copyOf(watches)) {
            if (which.test(watch)) {
                watches.remove(watch);
                watch.close();
            }
        }
    }

    /** Schedules the opening of another watch, unless one is due earlier. */
    private void openWithin(long ms) {
        if (scheduledOpen != null && scheduledOpen.getDelay(TimeUnit.MILLISECONDS) < ms) {
            return;
        }
        cancelScheduledOpen();
        scheduledOpen = loop.schedule(this::open, ms, TimeUnit.MILLISECONDS);
    }

    private void cancelScheduledOpen() {
        if (scheduledOpen != null) {
            scheduledOpen.cancel(false);
            scheduledOpen = null;
        }
    }

    private void open() {
        cancelScheduledOpen();
        if (!listOnRequest) {
            // Covers all failures of this watch: a connection that hangs, an answer that never starts or stops
            // half way.
            openWithin(timeouts.firstListMs());
        }
        if (watches.stream().filter(w -> w.watchedAddress.equals(address)).count() < MAX_WATCHES) {
            new Watch().open();
        }
    }

    private void onWatchEnded(Watch watch) {
        watch.deadline.cancel(false);
        if (!watches.remove(watch) || !watch.watchedAddress.equals(address)) {
            return; // closed on purpose, or at a former address
        }
        if (listOnRequest) {
            // Calls are expensive here, so the module decides when to retry.
            isWatching = false;
            listener.onWatchFailed();
        } else if (current == null || current == watch) {
            openWithin(backoffMs);
            backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
        }
        current = current == watch ? null : current;
    }

    private void warnOnce(String warning) {
        if (!warning.equals(lastWarning)) {
            lastWarning = warning;
            platform.log().write(warning);
        }
    }

    private boolean hasCatchUpTimePassed() {
        return behindSinceNs != 0
                && platform.clock().now() - behindSinceNs >= TimeUnit.MILLISECONDS.toNanos(timeouts.catchUpMs());
    }

    /** One watch: a chunked response of JSON objects, with blank lines as heartbeats while nothing changes. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private final Json parser = new Json();
        private final InetSocketAddress watchedAddress = address;
        private ConnectOperation connectOperation;
        /** The watch has sent a list; from then on heartbeats extend its deadline. */
        private boolean hasList;

        private ScheduledFuture<?> deadline;

        void open() {
            watches.add(this);
            Bootstrap bootstrap = platform.transport()
                    .clientBootstrap(watchedAddress)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeouts.connectMs())
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel c) {
                            c.pipeline().addLast(new HttpClientCodec(), Watch.this);
                        }
                    });
            restartDeadline(listOnRequest ? timeouts.firstListMs() : timeouts.silenceMs());
            connectOperation = ConnectOperation.start(bootstrap, loop, new ConnectOperation.Listener() {
                @Override
                public void onFailed(ConnectOperation.Failure failure) {
                    onWatchEnded(Watch.this);
                }

                @Override
                public void onReleased() {
                    onWatchEnded(Watch.this);
                }
            });
        }

        void close() {
            connectOperation.close();
        }

        /** Restarts the deadline of a silent watch, which would otherwise stay open after a network failure. */
        private void restartDeadline(long ms) {
            if (deadline != null) {
                deadline.cancel(false);
            }
            deadline = loop.schedule(
                    () -> {
                        warnOnce("no data from discovery within the time limit: closing the watch");
                        close();
                    },
                    ms,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            // A discovery that has restarted its versions does not know the last version, so all are requested.
            String indexParameter = version < 0 || hasCatchUpTimePassed() ? "" : "&index=" + version;
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.GET, "/catalog/members?stream=1" + indexParameter);
            request.headers()
                    .set(
                            HttpHeaderNames.HOST,
                            ctx.channel().remoteAddress().toString().substring(1));
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message.decoderResult().isFailure()
                    || message instanceof HttpResponse r && !r.status().equals(HttpResponseStatus.OK)) {
                ctx.close();
                return;
            }
            if (message instanceof HttpContent content) {
                read(content.content());
            }
            if (message instanceof LastHttpContent) {
                ctx.close();
            }
        }

        private void read(ByteBuf bytes) {
            if (!watches.contains(this)) {
                return;
            }
            try {
                if (parser.isBetweenValues()) {
                    readHeartbeats(bytes);
                }
                byte[] chunk = new byte[bytes.readableBytes()];
                bytes.readBytes(chunk);
                parser.add(chunk);
                for (JsonNode list = parser.next(); list != null && watches.contains(this); list = parser.next()) {
                    applyList(list);
                }
                if (parser.pendingBytes() > MAX_LIST_BYTES) {
                    throw new IOException("list exceeds " + MAX_LIST_BYTES + " bytes");
                }
            } catch (IOException | IllegalArgumentException e) {
                // The data may have held a change, and only a new watch from the last version is sure to deliver
                // it. Parser messages have several lines; the first one states the error.
                backoffMs = MAX_BACKOFF_MS;
                warnOnce("unusable data from discovery, closing the watch: "
                        + e.getMessage().lines().findFirst().orElse(""));
                close();
            }
        }

        /** Skips whitespace between values; a newline in it is a heartbeat. */
        private void readHeartbeats(ByteBuf bytes) throws IOException {
            boolean isHeartbeat = false;
            while (bytes.isReadable() && bytes.getByte(bytes.readerIndex()) <= ' ') {
                isHeartbeat |= bytes.readByte() == '\n';
            }
            if (isHeartbeat && hasList) {
                onActivity();
            }
            if (bytes.isReadable() && bytes.getByte(bytes.readerIndex()) != '{') {
                throw new IOException("expected a JSON object");
            }
        }

        /** Data was received on a working watch; at the current address this makes all others obsolete. */
        private void onActivity() {
            restartDeadline(timeouts.silenceMs());
            if (current != this && watchedAddress.equals(address)) {
                current = this;
                backoffMs = INITIAL_BACKOFF_MS;
                cancelScheduledOpen();
                Discovery.this.close(w -> w != this);
            }
        }

        private void applyList(JsonNode list) {
            long generation = Catalog.generation(list);
            if (generation < version) {
                if (!watchedAddress.equals(address)) {
                    return; // the current address has newer lists
                }
                if (!hasCatchUpTimePassed() || !Catalog.isFull(list)) {
                    behindSinceNs = behindSinceNs == 0 ? platform.clock().now() : behindSinceNs;
                    throw new IllegalArgumentException(
                            "generation " + generation + " is lower than the last one, " + version);
                }
                platform.log().write("discovery has restarted its generations: " + generation + " after " + version);
            }
            ListUpdate update = catalog.read(list, hadList, platform.clock().now());
            hadList = true;
            lastWarning = null;
            version = update.version();
            if (watchedAddress.equals(address)) {
                behindSinceNs = 0;
            }
            hasList = true;
            onActivity();
            listener.onUpdate(update);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Number of listed backends. */
    public int backendCount() {
        return catalog.backendCount();
    }

    /** Sets the version from which watches resume, that of the known list. */
    public void setVersion(long knownVersion) {
        version = knownVersion;
    }
}
