package gullspar.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.Member;
import gullspar.decide.Balancer.State;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a watch on discovery and turns what it says into list events. A watch that ends, falls silent or says
 * what cannot be read is opened again from the last version; the old list stands meanwhile.
 */
final class Discovery {
    /** A backend as listed, and where this proxy reaches it. */
    record Listed(Member member, InetSocketAddress address) { }

    /** One piece of news, in order. */
    record News(ListKind kind, long version, List<Listed> list) { }

    /** Who hears of it: news, or that the watch failed. */
    interface Listener {
        void news(News news);

        void failed();
    }

    /** Two and a half beats of 2 s: what is not heard counts as told after 6 s all the same. */
    private static final long SILENCE_MS = 5000;
    private static final long FIRST_PAUSE_MS = 100, LONGEST_PAUSE_MS = 1600;
    private static final int LONGEST_LINE = 4 << 20;

    private final EventLoop loop;
    private final Config config;
    private final Listener listener;
    private final long silenceMs;
    /** The number of each listed backend and whose it is: no two share one. */
    private final Map<String, Integer> numbers = new HashMap<>();
    private final Map<Integer, String> owners = new HashMap<>();
    private InetSocketAddress address;
    private long version = -1;
    private long pauseMs = FIRST_PAUSE_MS;
    private boolean wanted;
    private Channel watch;
    private ScheduledFuture<?> retry;

    Discovery(EventLoop loop, Config config, Listener listener) {
        this(loop, config, listener, SILENCE_MS);
    }

    Discovery(EventLoop loop, Config config, Listener listener, long silenceMs) {
        this.loop = loop;
        this.config = config;
        this.listener = listener;
        this.address = config.discovery();
        this.silenceMs = silenceMs;
    }

    /** The list that the proxy was started with; null if there is none that can be read. */
    News known() {
        if (!config.known().isObject()) {
            return null;
        }
        try {
            News news = parse(config.known());
            return new News(ListKind.CACHED, news.version(), news.list());
        } catch (IllegalArgumentException e) {
            Proxy.say("the known list is not used: " + e.getMessage());
            return null;
        }
    }

    /** Opens the watch or closes it. Pushed lists are watched for good; one that is asked for is one call. */
    void watch(boolean on) {
        close();
        wanted = on;
        if (on) {
            open();
        }
    }

    /** Discovery is elsewhere now: the watch goes on there at once, from the last version that was heard. */
    void move(InetSocketAddress to) {
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
        ChannelFuture connect = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) silenceMs)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpClientCodec(), new Watch());
                    }
                }).connect(address);
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
        if (config.settings().askForList()) {
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
                Proxy.say("discovery is silent: the watch is opened again");
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
                    Proxy.say("a line of discovery is too long");
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
                news = parse(Json.read(bytes));
            } catch (IOException | IllegalArgumentException e) {
                // It may have been news: only a new watch from the last version is sure to bring it.
                Proxy.say("a line of discovery is not understood: " + e.getMessage());
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

    /** Reads one list; throws IllegalArgumentException if it is not one, and then nothing has changed. */
    private News parse(JsonNode root) {
        JsonNode generation = root.path("generation");
        JsonNode instances = root.path("instances");
        if (!generation.canConvertToLong() || !generation.isNumber() || !instances.isArray()) {
            throw new IllegalArgumentException("no generation or instances");
        }
        boolean whole = root.path("reset").asBoolean(false);
        List<JsonNode> entries = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (JsonNode e : instances) {
            boolean gone = state(e) == State.GONE;
            InetSocketAddress address = Config.address(e.path("hostPort").asText());
            if (e.path("instanceId").asText().isEmpty() || address == null && !gone) {
                throw new IllegalArgumentException("an instance with no id or address");
            }
            entries.add(e);
            addresses.add(address);
        }
        List<Listed> list = new ArrayList<>();
        if (whole) {
            List<String> ids = entries.stream().map(e -> e.path("instanceId").asText()).toList();
            numbers.keySet().retainAll(ids);
            owners.values().retainAll(ids);
        }
        for (int i = 0; i < entries.size(); i++) {
            JsonNode e = entries.get(i);
            list.add(new Listed(new Member(number(e.path("instanceId").asText()),
                    place(config.kinds(), e.path("machineType")), state(e),
                    TimeUnit.MILLISECONDS.toNanos(Math.max(0, e.path("startedAtMs").asLong())),
                    e.path("cell").asInt(), place(config.zones(), e.path("zone")),
                    e.path("weight").asDouble(1)), addresses.get(i)));
        }
        // Whoever is gone needs no number: where ids are ever new, those kept would grow without end.
        for (Listed l : list) {
            if (l.member().state() == State.GONE) {
                numbers.remove(owners.remove(l.member().id()));
            }
        }
        return new News(whole ? ListKind.FULL : ListKind.DELTA, generation.asLong(), list);
    }

    private static State state(JsonNode entry) {
        return switch (entry.path("lifecycle").asText()) {
            case "in_service" -> State.READY;
            case "terminating" -> State.DRAINING;
            case "terminated" -> State.GONE;
            default -> throw new IllegalArgumentException("lifecycle " + entry.path("lifecycle"));
        };
    }

    /** A name that the settings do not list stands apart from all that they do. */
    private static int place(List<String> names, JsonNode name) {
        int i = names.indexOf(name.asText());
        return i < 0 ? names.size() : i;
    }

    /**
     * The number of an instance. The module orders backends by it to spread the proxies' subsets, so it comes
     * from the id alone, the same at every proxy; two ids of one hash must not become one backend.
     */
    private int number(String id) {
        return numbers.computeIfAbsent(id, i -> {
            int n = (int) (hash(i) >>> 32);
            while (owners.containsKey(n)) {
                n++;
            }
            owners.put(n, i);
            return n;
        });
    }

    /** How many backends have a number. */
    int numbered() {
        return numbers.size();
    }

    /** FNV-1a, its bits mixed well. */
    static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        h = (h ^ h >>> 32) * 0x9e3779b97f4a7c15L;
        return h ^ h >>> 29;
    }

    /** The version that a watch starts after, once the known list has been taken. */
    void startFrom(long known) {
        version = known;
    }
}
