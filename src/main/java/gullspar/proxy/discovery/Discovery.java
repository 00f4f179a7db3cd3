package gullspar.proxy.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import gullspar.decide.Balancer.ListKind;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.Json;
import gullspar.proxy.io.Platform;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a watch on discovery and turns what it says into list events. A watch that ends, falls silent or says
 * what cannot be read is opened again from the last version; the old list stands meanwhile.
 */
public final class Discovery {
    /** Who hears of it: news, or that the watch failed. */
    public interface Listener {
        void news(News news);

        void failed();
    }

    /**
     * Where discovery is, whether each call is asked for by the module, the list known beforehand, and the
     * names whose places are the numbers that the module knows.
     */
    public record Source(InetSocketAddress address, boolean askForList, JsonNode known, List<String> kinds,
            List<String> zones) {
        /** A source that pushes its list to whoever watches, with nothing known beforehand. */
        public static Source pushed(InetSocketAddress address) {
            return new Source(address, false, MissingNode.getInstance(), List.of(), List.of());
        }
    }

    /**
     * How long a watch is waited for, in ms: until its connection is up; until its answer begins (then
     * another is opened beside it, where that costs nothing); from one word of it to the next. The protocol's
     * beats come every 2 s, and what a watch misses counts as told 6 s after it fell silent, opening it
     * anew and what that brings included.
     */
    public record Patience(long connectMs, long beginMs, long silenceMs) {
        private static final long SILENCE_MS = 3000;
        /** An agent on this machine answers at once: whatever it says counts from when it could have. */
        public static final Patience AGENT = new Patience(200, 200, SILENCE_MS);
        /** A service that all proxies call may let a call wait in turn. */
        public static final Patience SERVICE = new Patience(1000, 5000, SILENCE_MS);
    }

    /**
     * An agent costs nothing and has news from the first moment that it is there again, which bind after the
     * settings' grace: pauses, connecting and waiting for its answer together stay well under any such.
     */
    private static final long FIRST_PAUSE_MS = 10, LONGEST_PAUSE_MS = 80;
    /** One that does not answer gets no new watch sooner than twice the time of the last, up to so often. */
    private static final int LONGEST_BEGINNINGS = 8;
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
    private int beginnings = 1;
    private boolean wanted;
    private Channel watch;
    /** One that was overtaken, at another place or saying nothing yet: heard until the newer one speaks. */
    private Channel former;
    private ScheduledFuture<?> retry;
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
        return new Source(config.discovery(), config.settings().askForList(), config.known(),
                config.kinds(), config.zones());
    }

    /** The list that the proxy was started with; null if there is none that can be read. */
    public News known() {
        if (!known.isObject()) {
            return null;
        }
        try {
            News news = catalog.read(known);
            return new News(ListKind.CACHED, news.version(), news.list());
        } catch (IllegalArgumentException e) {
            platform.log().say("the known list is not used: " + e.getMessage());
            return null;
        }
    }

    /** Opens the watch or closes it. Pushed lists are watched for good; one that is asked for is one call. */
    public void watch(boolean on) {
        close();
        wanted = on;
        if (on) {
            open();
        }
    }

    /**
     * Discovery is elsewhere now: the watch goes on there at once, from the last version that was heard. What
     * the former place still says is taken until the new one speaks: it may take its time to come up.
     */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        pauseMs = FIRST_PAUSE_MS;
        if (wanted) {
            overtake();
        }
    }

    /** Opens another watch beside one that works or may yet begin to; the first of the two to speak stays. */
    private void overtake() {
        Channel kept = former != null ? former : watch;
        watch = kept == watch ? null : watch;
        former = null;
        close();
        former = kept;
        open();
    }

    private void close() {
        leaveFormer();
        Channel old = watch;
        watch = null;
        if (old != null) {
            old.close();
        }
        if (retry != null) {
            retry.cancel(false);
            retry = null;
        }
    }

    private void leaveFormer() {
        Channel old = former;
        former = null;
        if (old != null) {
            old.close();
        }
    }

    private void open() {
        retry = null;
        ChannelFuture connect = platform.transport().to(address)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) patience.connectMs())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpClientCodec(), new Watch());
                    }
                }).connect();
        watch = connect.channel();
        watch.closeFuture().addListener(f -> ended(connect.channel()));
    }

    private void ended(Channel c) {
        if (c == former) {
            former = null;
        }
        if (c != watch) {
            return; // closed on purpose
        }
        watch = null;
        if (!wanted) {
            return;
        }
        if (askForList) {
            // Here calls cost, and the module says when to ask again.
            wanted = false;
            listener.failed();
            return;
        }
        retry = loop.schedule(this::open, pauseMs, TimeUnit.MILLISECONDS);
        pauseMs = Math.min(2 * pauseMs, LONGEST_PAUSE_MS);
    }

    private void complain(String what) {
        if (!what.equals(complaint)) {
            complaint = what;
            platform.log().say(what);
        }
    }

    /** One watch: objects in a chunked answer, with blank lines between them while nothing changes. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private final Json values = new Json();
        private final InetSocketAddress at = address;
        private ScheduledFuture<?> silence;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            String from = version < 0 ? "" : "&index=" + version;
            DefaultFullHttpRequest get = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/catalog/members?stream=1" + from);
            get.headers().set(HttpHeaderNames.HOST, ctx.channel().remoteAddress().toString().substring(1));
            ctx.writeAndFlush(get);
            silence = loop.schedule(() -> late(ctx), beginnings * patience.beginMs(), TimeUnit.MILLISECONDS);
        }

        /** Its answer has not begun. */
        private void late(ChannelHandlerContext ctx) {
            await(ctx, patience.silenceMs());
            if (askForList) {
                ctx.close();
            } else if (ctx.channel() == watch) {
                beginnings = Math.min(2 * beginnings, LONGEST_BEGINNINGS);
                overtake();
            }
        }

        /** A discovery that is cut off leaves the watch open and silent: it is given up after so long. */
        private void await(ChannelHandlerContext ctx, long ms) {
            silence.cancel(false);
            silence = loop.schedule(() -> {
                complain("discovery is silent: the watch is opened again");
                ctx.close();
            }, ms, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message.decoderResult().isFailure()
                    || message instanceof HttpResponse r && !r.status().equals(HttpResponseStatus.OK)) {
                ctx.close();
                return;
            }
            if (message instanceof HttpResponse) {
                await(ctx, patience.silenceMs());
            }
            if (message instanceof HttpContent content) {
                read(ctx, content.content());
            }
            if (message instanceof LastHttpContent) {
                ctx.close();
            }
        }

        private boolean current(ChannelHandlerContext ctx) {
            return ctx.channel() == watch || ctx.channel() == former;
        }

        private void read(ChannelHandlerContext ctx, ByteBuf bytes) {
            if (!current(ctx)) {
                return;
            }
            try {
                if (values.between()) {
                    beats(ctx, bytes);
                }
                byte[] some = new byte[bytes.readableBytes()];
                bytes.readBytes(some);
                values.add(some);
                for (JsonNode n = values.next(); n != null && current(ctx); n = values.next()) {
                    heard(ctx);
                    take(ctx, n);
                }
                if (values.pending() > LONGEST_VALUE) {
                    throw new IOException("it is longer than " + LONGEST_VALUE + " bytes");
                }
            } catch (IOException | IllegalArgumentException e) {
                // It may have been news: only a new watch from the last version is sure to bring it. A
                // parser's message runs over several lines; the first says what is wrong.
                pauseMs = LONGEST_PAUSE_MS;
                complain("what discovery says is not understood: "
                        + e.getMessage().lines().findFirst().orElse(""));
                ctx.close();
            }
        }

        /** Blanks between values; a line's end among them is a word. */
        private void beats(ChannelHandlerContext ctx, ByteBuf bytes) throws IOException {
            boolean beat = false;
            while (bytes.isReadable() && bytes.getByte(bytes.readerIndex()) <= ' ') {
                beat |= bytes.readByte() == '\n';
            }
            if (beat) {
                heard(ctx);
            }
            if (bytes.isReadable() && bytes.getByte(bytes.readerIndex()) != '{') {
                throw new IOException("no object");
            }
        }

        /** A word has come: this watch works. */
        private void heard(ChannelHandlerContext ctx) {
            await(ctx, patience.silenceMs());
            if (ctx.channel() == former && at.equals(address)) {
                former = null;
                close();
                watch = ctx.channel();
            }
            if (ctx.channel() == watch) {
                pauseMs = FIRST_PAUSE_MS;
                beginnings = 1;
                leaveFormer();
            }
        }

        private void take(ChannelHandlerContext ctx, JsonNode list) {
            long generation = Catalog.generation(list);
            if (generation < version) {
                if (ctx.channel() == former) {
                    return; // the newer watch was quicker
                }
                throw new IllegalArgumentException("generation " + generation + " comes after " + version);
            }
            News news = catalog.read(list);
            complaint = null;
            version = news.version();
            listener.news(news);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            silence.cancel(false);
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
