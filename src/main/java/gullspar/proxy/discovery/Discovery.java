package gullspar.proxy.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import gullspar.decide.Balancer.ListKind;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.Json;
import gullspar.proxy.io.Dial;
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
 * Keeps a watch on discovery and turns what it says into list events. A watch that ends, falls silent or says
 * what cannot be read is opened again from the last version; the old list stands meanwhile. Only a list that
 * has come whole shows that a watch works: until then it has a deadline, and where lists are pushed another
 * is opened beside it.
 */
public final class Discovery {
    /** Who hears of it: news, or that the watch failed. */
    public interface Listener {
        void news(ListUpdate news);

        void failed();
    }

    /**
     * Where discovery is, whether each call is asked for by the module, the list known beforehand, and the
     * names whose places are the numbers that the module knows.
     */
    public record Source(
            InetSocketAddress address, boolean askForList, JsonNode known, List<String> kinds, List<String> zones) {
        /** A source that pushes its list to whoever watches, with nothing known beforehand. */
        public static Source pushed(InetSocketAddress address) {
            return new Source(address, false, MissingNode.getInstance(), List.of(), List.of());
        }
    }

    /**
     * How long is waited, in ms: for a connection; for a watch's first list, from opening it; from one word
     * of it to the next. The protocol's beats come every 2 s. What a watch misses counts as told 6 s after it
     * fell silent, and any change 6 s after discovery had it and could be reached: a silence, or a call that
     * is never answered, a pause of the module's and a call that waits in turn have to fit in there.
     */
    public record Patience(long connectMs, long listMs, long silenceMs) {
        private static final long SILENCE_MS = 3000;
        /** An agent on this machine answers at once, and what it has counts from when it could have. */
        public static final Patience AGENT = new Patience(200, 250, SILENCE_MS);
        /** A service that all proxies call may let a call wait in turn, 2 s at most. */
        public static final Patience SERVICE = new Patience(1000, 2500, SILENCE_MS);

        /**
         * A place that answers with versions lower than one heard before may lag behind or may have begun to
         * count anew. So long it may catch up; then its lists hold, since nothing else will ever come.
         */
        long behindMs() {
            return silenceMs / 2;
        }
    }

    /**
     * An agent costs nothing and has news from the first moment that it is there again, which bind after the
     * settings' grace: pauses, connecting and waiting for its answer together stay well under any such.
     */
    private static final long FIRST_PAUSE_MS = 10, LONGEST_PAUSE_MS = 80;
    /** An agent that says nothing has fewer open before the first is given up: a bound on descriptors. */
    private static final int MOST_WATCHES = 16;

    private static final int LONGEST_VALUE = 4 << 20;

    private final Platform platform;
    private final EventLoop loop;
    private final boolean askForList;
    private final JsonNode known;
    private final Listener listener;
    private final Patience patience;
    private final Catalog catalog;
    private InetSocketAddress address;
    private long version = -1;
    private long pauseMs = FIRST_PAUSE_MS;
    private boolean wanted;
    /** A list has come from discovery: what starts later is seen to start. */
    private boolean heardList;
    /** Those that are open, the oldest first. All are heard, until one tells a list at the right place. */
    private final Set<Watch> watches = new LinkedHashSet<>();
    /** The one that has told a list where discovery is now; null while none has. */
    private Watch current;
    /** When another is opened; null while the current one works, and where calls are asked for. */
    private ScheduledFuture<?> opening;
    /** When a list came first that is older than the last version; 0 if the last one that came is not. */
    private long behindSince;
    /** What was wrong last, until something was understood: told once, however often it comes. */
    private String complaint;

    public Discovery(Platform platform, Config config, Listener listener) {
        this(platform, source(config), listener);
    }

    /** One that watches a source that no configuration of the platform names. */
    public Discovery(Platform platform, Source source, Listener listener) {
        this(platform, source, listener, source.askForList() ? Patience.SERVICE : Patience.AGENT);
    }

    /** One of another patience. */
    public Discovery(Platform platform, Source source, Listener listener, Patience patience) {
        this.platform = platform;
        this.loop = platform.loop();
        this.askForList = source.askForList();
        this.known = source.known();
        this.catalog = new Catalog(source.kinds(), source.zones());
        this.listener = listener;
        this.address = source.address();
        this.patience = patience;
    }

    /** What a configuration of the platform says of it. */
    public static Source source(Config config) {
        return new Source(
                config.discovery(), config.settings().askForList(), config.known(), config.kinds(), config.zones());
    }

    /** The list that the proxy was started with; null if there is none that can be read. */
    public ListUpdate known() {
        if (!known.isObject()) {
            return null;
        }
        try {
            ListUpdate news = catalog.read(known, false, platform.clock().now());
            return new ListUpdate(ListKind.CACHED, news.version(), news.list());
        } catch (IllegalArgumentException e) {
            platform.log().say("the known list is not used: " + e.getMessage());
            return null;
        }
    }

    /** Opens the watch or closes it. Pushed lists are watched for good; one that is asked for is one call. */
    public void watch(boolean on) {
        wanted = on;
        close(w -> !on || w.at.equals(address));
        current = null;
        if (on) {
            open();
        } else {
            openNoMore();
        }
    }

    /**
     * Discovery is elsewhere now: the watch goes on there at once, from the last version that was heard. What
     * the former place still says is taken until the new one has told a list: it may take a while to come up.
     */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        pauseMs = FIRST_PAUSE_MS;
        behindSince = 0;
        current = null;
        if (wanted) {
            open();
        }
    }

    private void close(Predicate<Watch> which) {
        for (Watch w : List.copyOf(watches)) {
            if (which.test(w)) {
                watches.remove(w);
                w.close();
            }
        }
    }

    /** Another watch is opened in so long at the latest. */
    private void openWithin(long ms) {
        if (opening != null && opening.getDelay(TimeUnit.MILLISECONDS) < ms) {
            return;
        }
        openNoMore();
        opening = loop.schedule(this::open, ms, TimeUnit.MILLISECONDS);
    }

    private void openNoMore() {
        if (opening != null) {
            opening.cancel(false);
            opening = null;
        }
    }

    private void open() {
        openNoMore();
        if (!askForList) {
            // Whatever becomes of this one: a connection that never comes up, an answer that never begins or
            // stops half way.
            openWithin(patience.listMs());
        }
        if (watches.stream().filter(w -> w.at.equals(address)).count() < MOST_WATCHES) {
            new Watch().open();
        }
    }

    private void ended(Watch w) {
        w.deadline.cancel(false);
        if (!watches.remove(w) || !w.at.equals(address)) {
            return; // closed on purpose, or at a place that discovery has left
        }
        if (askForList) {
            // Here calls cost, and the module says when to ask again.
            wanted = false;
            listener.failed();
        } else if (current == null || current == w) {
            openWithin(pauseMs);
            pauseMs = Math.min(2 * pauseMs, LONGEST_PAUSE_MS);
        }
        current = current == w ? null : current;
    }

    private void complain(String what) {
        if (!what.equals(complaint)) {
            complaint = what;
            platform.log().say(what);
        }
    }

    private boolean behindForLong() {
        return behindSince != 0
                && platform.clock().now() - behindSince >= TimeUnit.MILLISECONDS.toNanos(patience.behindMs());
    }

    /** One watch: objects in a chunked answer, with blank lines between them while nothing changes. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private final Json values = new Json();
        private final InetSocketAddress at = address;
        private Dial dial;
        /** It has told a list: from then on blank lines are words too. */
        private boolean told;

        private ScheduledFuture<?> deadline;

        void open() {
            watches.add(this);
            Bootstrap bootstrap = platform.transport()
                    .to(at)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) patience.connectMs())
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel c) {
                            c.pipeline().addLast(new HttpClientCodec(), Watch.this);
                        }
                    });
            deadline(askForList ? patience.listMs() : patience.silenceMs());
            dial = Dial.start(bootstrap, loop, new Dial.Listener() {
                @Override
                public void failed(Dial.Failure failure) {
                    ended(Watch.this);
                }

                @Override
                public void released() {
                    ended(Watch.this);
                }
            });
        }

        void close() {
            dial.close();
        }

        /** Within so long it has to say something, or is given up: cut off, it would stay open and silent. */
        private void deadline(long ms) {
            if (deadline != null) {
                deadline.cancel(false);
            }
            deadline = loop.schedule(
                    () -> {
                        complain("discovery is silent: the watch is opened again");
                        close();
                    },
                    ms,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            // A place that has begun to count anew knows nothing of the last version.
            String from = version < 0 || behindForLong() ? "" : "&index=" + version;
            DefaultFullHttpRequest get = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.GET, "/catalog/members?stream=1" + from);
            get.headers()
                    .set(
                            HttpHeaderNames.HOST,
                            ctx.channel().remoteAddress().toString().substring(1));
            ctx.writeAndFlush(get);
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
                if (values.isBetweenValues()) {
                    beats(bytes);
                }
                byte[] some = new byte[bytes.readableBytes()];
                bytes.readBytes(some);
                values.add(some);
                for (JsonNode n = values.next(); n != null && watches.contains(this); n = values.next()) {
                    take(n);
                }
                if (values.pendingBytes() > LONGEST_VALUE) {
                    throw new IOException("it is longer than " + LONGEST_VALUE + " bytes");
                }
            } catch (IOException | IllegalArgumentException e) {
                // It may have been news: only a new watch from the last version is sure to bring it. A
                // parser's message runs over several lines; the first says what is wrong.
                pauseMs = LONGEST_PAUSE_MS;
                complain("what discovery says is not understood: "
                        + e.getMessage().lines().findFirst().orElse(""));
                close();
            }
        }

        /** Blanks between values; a line's end among them is a word. */
        private void beats(ByteBuf bytes) throws IOException {
            boolean beat = false;
            while (bytes.isReadable() && bytes.getByte(bytes.readerIndex()) <= ' ') {
                beat |= bytes.readByte() == '\n';
            }
            if (beat && told) {
                heard();
            }
            if (bytes.isReadable() && bytes.getByte(bytes.readerIndex()) != '{') {
                throw new IOException("no object");
            }
        }

        /** A word has come of one that works: where discovery is now, no other is needed. */
        private void heard() {
            deadline(patience.silenceMs());
            if (current != this && at.equals(address)) {
                current = this;
                pauseMs = FIRST_PAUSE_MS;
                openNoMore();
                Discovery.this.close(w -> w != this);
            }
        }

        private void take(JsonNode list) {
            long generation = Catalog.generation(list);
            if (generation < version) {
                if (!at.equals(address)) {
                    return; // where discovery is now more is known
                }
                if (!behindForLong() || !Catalog.whole(list)) {
                    behindSince = behindSince == 0 ? platform.clock().now() : behindSince;
                    throw new IllegalArgumentException("generation " + generation + " comes after " + version);
                }
                platform.log().say("discovery counts anew: " + generation + " after " + version);
            }
            ListUpdate news = catalog.read(list, heardList, platform.clock().now());
            heardList = true;
            complaint = null;
            version = news.version();
            if (at.equals(address)) {
                behindSince = 0;
            }
            told = true;
            heard();
            listener.news(news);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** How many backends have a number. */
    public int numbered() {
        return catalog.numbered();
    }

    /** The version that a watch starts after, once the known list has been taken. */
    public void startFrom(long known) {
        version = known;
    }
}
