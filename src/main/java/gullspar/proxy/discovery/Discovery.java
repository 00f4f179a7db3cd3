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
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
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

    /** Two and a half beats of 2 s: what is not heard counts as told after 6 s all the same. */
    private static final long SILENCE_MS = 5000;
    private static final long FIRST_PAUSE_MS = 100, LONGEST_PAUSE_MS = 1600;
    private static final int LONGEST_LINE = 4 << 20;

    private final Platform platform;
    private final EventLoop loop;
    private final boolean askForList;
    private final JsonNode known;
    private final Listener listener;
    private final long silenceMs;
    private final Catalog catalog;
    private InetSocketAddress address;
    private long version = -1;
    private long pauseMs = FIRST_PAUSE_MS;
    private boolean wanted;
    private Channel watch;
    private ScheduledFuture<?> retry;

    public Discovery(Platform platform, Config config, Listener listener) {
        this(platform, config, listener, SILENCE_MS);
    }

    /** One that gives up a watch after so long with no word, in ms. */
    public Discovery(Platform platform, Config config, Listener listener, long silenceMs) {
        this(platform, new Source(config.discovery(), config.settings().askForList(), config.known(),
                config.kinds(), config.zones()), listener, silenceMs);
    }

    /** One that watches a source that no configuration of the platform names. */
    public Discovery(Platform platform, Source source, Listener listener) {
        this(platform, source, listener, SILENCE_MS);
    }

    private Discovery(Platform platform, Source source, Listener listener, long silenceMs) {
        this.platform = platform;
        this.loop = platform.loop();
        this.askForList = source.askForList();
        this.known = source.known();
        this.catalog = new Catalog(source.kinds(), source.zones());
        this.listener = listener;
        this.address = source.address();
        this.silenceMs = silenceMs;
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

    /** Discovery is elsewhere now: the watch goes on there at once, from the last version that was heard. */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        pauseMs = FIRST_PAUSE_MS;
        if (wanted) {
            close();
            open();
        }
    }

    private void close() {
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

    private void open() {
        retry = null;
        ChannelFuture connect = platform.transport().to(address)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) silenceMs)
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

    /** One watch: lines of JSON in a chunked answer. A line counts once its end has come. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private ScheduledFuture<?> silence;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            String from = version < 0 ? "" : "&index=" + version;
            DefaultFullHttpRequest get = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/catalog/members?stream=1" + from);
            get.headers().set(HttpHeaderNames.HOST, ctx.channel().remoteAddress().toString().substring(1));
            ctx.writeAndFlush(get);
            heard(ctx);
        }

        /** A discovery that is cut off leaves the watch open and silent: give it up. */
        private void heard(ChannelHandlerContext ctx) {
            if (silence != null) {
                silence.cancel(false);
            }
            silence = loop.schedule(() -> {
                platform.log().say("discovery is silent: the watch is opened again");
                ctx.close();
            }, silenceMs, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message.decoderResult().isFailure()
                    || message instanceof HttpResponse r && !r.status().equals(HttpResponseStatus.OK)) {
                ctx.close();
                return;
            }
            if (message instanceof HttpContent content) {
                read(ctx, content.content());
            }
            if (message instanceof LastHttpContent) {
                ctx.close();
            }
        }

        private void read(ChannelHandlerContext ctx, ByteBuf bytes) {
            while (bytes.isReadable() && ctx.channel() == watch) {
                byte b = bytes.readByte();
                if (b != '\n') {
                    line.write(b);
                } else {
                    heard(ctx);
                    line(ctx, line.toByteArray());
                    line.reset();
                }
                if (line.size() > LONGEST_LINE) {
                    platform.log().say("a line of discovery is too long");
                    ctx.close();
                    return;
                }
            }
        }

        private void line(ChannelHandlerContext ctx, byte[] bytes) {
            if (new String(bytes, StandardCharsets.UTF_8).isBlank()) {
                return;
            }
            News news;
            try {
                news = catalog.read(Json.read(bytes));
            } catch (IOException | IllegalArgumentException e) {
                // It may have been news: only a new watch from the last version is sure to bring it.
                platform.log().say("a line of discovery is not understood: " + e.getMessage());
                ctx.close();
                return;
            }
            version = news.version();
            pauseMs = FIRST_PAUSE_MS;
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
