package gullspar.rehearse.stage;

import gullspar.decide.Balancer.Effect;
import gullspar.proxy.io.Platform;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.script.Script.RequestClass;
import gullspar.rehearse.time.Agenda;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * The usual clients. Arrivals are a Poisson process and wait for no answer; what each order is (class, key,
 * work, site, patience) comes from the seed and its number alone, so that it is the same whatever became of
 * those before it, live and in virtual time.
 */
public final class LoadGenerator {
    private static final int CONNECT_MS = 1000;
    /** A connection refused is dealt to another proxy, so often at the most. */
    private static final int DEALS = 3;
    /** With less patience left than that no request is sent, in ns: no answer could come in time. */
    private static final long LEAST_NS = 20_000_000L;

    private final RunEnvironment stage;
    private final Script script;
    private final EventLog eventLog;
    private final Front front;
    private final Platform platform;
    private final SplittableRandom arrivals;
    private final double[] keyShares;
    private final Map<String, Deque<Connection>> idle = new HashMap<>();
    private final Map<String, double[]> heavy = new HashMap<>();
    private final Map<String, double[]> leaving = new HashMap<>();
    private double traffic = 1;
    private long until;
    private int orders;
    private int requests;
    private int open;

    public LoadGenerator(RunEnvironment stage, Script script, EventLog eventLog, Front front) {
        this.stage = stage;
        this.script = script;
        this.eventLog = eventLog;
        this.front = front;
        this.platform = stage.at("clients");
        this.arrivals = new SplittableRandom(script.seed() * 31 + 3);
        this.keyShares = keyShares(script.clients().keys(), script.clients().keySkew());
    }

    /** Running sums of Zipf's shares. */
    private static double[] keyShares(int keys, double skew) {
        double[] sums = new double[keys];
        double sum = 0;
        for (int i = 0; i < keys; i++) {
            sum += StrictMath.pow(i + 1, -skew);
            sums[i] = sum;
        }
        for (int i = 0; i < keys; i++) {
            sums[i] /= sum;
        }
        return sums;
    }

    /** Orders come from now on for so long. */
    public void start(double seconds) {
        until = stage.now() + (long) (seconds * 1e9);
        next(stage.now());
    }

    /** Multiplies the usual rate. */
    public void traffic(double factor) {
        traffic = factor;
    }

    /** A share of a class's orders costs so many times the usual work; 0 ends it. */
    public void heavy(String name, double share, double times) {
        heavy.put(name, new double[] {share, times});
    }

    /** A share of a class's clients leave within so long of asking; 0 ends it. */
    public void leaving(String name, double share, double withinMs) {
        leaving.put(name, new double[] {share, withinMs});
    }

    /** Requests that have not ended. */
    public int open() {
        return open;
    }

    /** The next arrival comes on a schedule of its own: a late wake-up does not delay those after it. */
    private void next(long from) {
        double wait =
                -StrictMath.log(1 - arrivals.nextDouble()) / script.clients().rate();
        long at = from + (long) (wait * 1e9 / Math.max(1e-6, traffic));
        if (at < until) {
            platform.loop()
                    .schedule(
                            () -> {
                                arrive();
                                next(at);
                            },
                            Math.max(0, at - stage.now()),
                            TimeUnit.NANOSECONDS);
        }
    }

    private void arrive() {
        int number = ++orders;
        SplittableRandom draw = new SplittableRandom(Agenda.mix(script.seed() * 31 + 4) + number);
        double kind = draw.nextDouble();
        double key = draw.nextDouble();
        double site = draw.nextDouble();
        RequestClass c = kind(kind);
        double work = c.workMs().draw(draw) * 1e6;
        double[] h = heavy.getOrDefault(c.name(), new double[] {0, 1});
        work *= draw.nextDouble() < h[0] ? h[1] : 1;
        String from = script.sites().get((int) (site * script.sites().size()));
        Order o = new Order(number, c, key(key), work, from, stage.now());
        eventLog.order(o);
        attempt(o, draw);
    }

    private RequestClass kind(double draw) {
        double all = script.classes().stream().mapToDouble(RequestClass::share).sum();
        double sum = 0;
        for (RequestClass c : script.classes()) {
            sum += c.share() / all;
            if (draw < sum) {
                return c;
            }
        }
        return script.classes().get(script.classes().size() - 1);
    }

    private int key(double draw) {
        if (keyShares.length == 0) {
            return 0;
        }
        int i = Arrays.binarySearch(keyShares, draw);
        return 1 + Math.min(keyShares.length - 1, i < 0 ? -i - 1 : i + 1);
    }

    /** One more try of an order. */
    private void attempt(Order o, SplittableRandom draw) {
        double patience = script.clients().giveUpShare().draw(draw);
        long now = stage.now();
        Try t = new Try(o, "r" + ++requests + "-" + o.number, now + (long) (o.kind.giveUpMs() * 1e6 * patience));
        o.tries.add(t);
        open++;
        eventLog.request(t);
        deal(t, draw, "", 0);
    }

    private void deal(Try t, SplittableRandom draw, String not, int deals) {
        String proxy = deals < DEALS ? front.deal(t.order.site, draw.nextDouble(), draw.nextDouble(), not) : "";
        if (proxy.isEmpty()) {
            ended(t, draw, Try.Ending.NOT_TAKEN, 0);
            return;
        }
        t.proxy = proxy;
        Deque<Connection> pool = idle.computeIfAbsent(proxy, p -> new ArrayDeque<>());
        Connection c = pool.pollLast();
        if (c != null) {
            c.send(t, draw);
            return;
        }
        Connection fresh = new Connection(proxy);
        ChannelFuture connect = platform.transport()
                .clientBootstrap(stage.address(proxy))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(1 << 20), fresh);
                    }
                })
                .connect();
        fresh.channel = connect.channel();
        connect.addListener(f -> {
            if (f.isSuccess()) {
                fresh.send(t, draw);
            } else if (stage.now() < t.deadline) {
                deal(t, draw, proxy, deals + 1);
            } else {
                ended(t, draw, Try.Ending.NOT_TAKEN, 0);
            }
        });
    }

    private void ended(Try t, SplittableRandom draw, Try.Ending how, double retryAfterS) {
        t.ending = how;
        t.endedAt = stage.now();
        open--;
        boolean refused = t.status == 429 || t.status == 503;
        boolean may = refused || how == Try.Ending.NOT_TAKEN || t.order.kind.effect() != Effect.AT_MOST_ONCE;
        boolean again = t.status != 200 && how != Try.Ending.LEFT && may;
        if (again && t.order.tries.size() <= script.clients().retries()) {
            double wait = Math.max(retryAfterS, script.clients().retryWaitMs().draw(draw) / 1e3);
            platform.loop().schedule(() -> attempt(t.order, draw), (long) (wait * 1e9), TimeUnit.NANOSECONDS);
        }
    }

    /** A client's connection: one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final String proxy;
        private Channel channel;
        private Try current;
        private SplittableRandom draw;
        private ScheduledFuture<?> patience;
        private boolean used;
        private boolean reset;
        /** The request answered last: whatever else comes was not asked for. */
        private Try last;

        Connection(String proxy) {
            this.proxy = proxy;
        }

        void send(Try t, SplittableRandom random) {
            current = t;
            draw = random;
            long now = stage.now();
            t.sentAt = t.again ? t.sentAt : now;
            t.first = !used;
            used = true;
            if (now > t.deadline - LEAST_NS) {
                // Connecting took all its patience: nothing is asked of the proxy any more.
                current = null;
                t.sentAt = 0;
                idle.get(proxy).addLast(this);
                ended(t, draw, Try.Ending.NOT_TAKEN, 0);
                return;
            }
            patience = platform.loop()
                    .schedule(() -> leave(t, Try.Ending.GIVEN_UP), t.deadline - now, TimeUnit.NANOSECONDS);
            double[] l = leaving.getOrDefault(t.order.kind.name(), new double[] {0, 0});
            if (l[0] > 0 && draw.nextDouble() < l[0]) {
                platform.loop()
                        .schedule(
                                () -> leave(t, Try.Ending.LEFT),
                                (long) (draw.nextDouble() * l[1] * 1e6),
                                TimeUnit.NANOSECONDS);
            }
            channel.pipeline()
                    .context(HttpClientCodec.class)
                    .writeAndFlush(Unpooled.copiedBuffer(text(t, now), StandardCharsets.US_ASCII));
        }

        private String text(Try t, long now) {
            RequestClass c = t.order.kind;
            boolean safe = c.effect() == Effect.IDEMPOTENT;
            StringBuilder s = new StringBuilder(256)
                    .append(safe ? "GET /" : "POST /")
                    .append(c.name())
                    .append("/")
                    .append(t.order.number % 100)
                    .append(" HTTP/1.1\r\nHost: shop\r\nRequest-Id: ")
                    .append(t.id)
                    .append(String.format(Locale.ROOT, "\r\nRequest-Timeout: %.6f", (t.deadline - now) / 1e9));
            if (t.order.key != 0) {
                s.append("\r\nCookie: sid=k").append(t.order.key);
            }
            if (t.order.tries.size() > 1) {
                s.append("\r\nClient-Retry: 1");
            }
            if (c.effect() == Effect.DEDUPLICATED) {
                s.append("\r\nIdempotency-Key: ").append(t.order.idempotencyKey());
            }
            if (!safe) {
                s.append("\r\nContent-Length: ").append(c.bodyBytes());
            }
            return s.append("\r\n\r\n")
                    .append(safe ? "" : "x".repeat(c.bodyBytes()))
                    .toString();
        }

        private void leave(Try t, Try.Ending how) {
            if (current == t) {
                current = null;
                patience.cancel(false);
                channel.close();
                ended(t, draw, how, 0);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse r) {
            Try t = current;
            if (t == null) {
                if (last != null) {
                    last.wrong = "a second answer came, " + r.status().code();
                }
                ctx.close();
                return;
            }
            if (r.decoderResult().isFailure()) {
                ctx.close(); // an answer that is not whole is none
                return;
            }
            current = null;
            patience.cancel(false);
            t.status = r.status().code();
            t.answeredAt = stage.sentAt(ctx.channel());
            String body = r.content().toString(StandardCharsets.US_ASCII);
            if (t.status == 200 && !Node.madeFor(t.id, body)) {
                t.wrong = "it was served with what no node made for it: '"
                        + body.substring(0, Math.min(40, body.length())).trim() + "'";
            }
            last = t;
            if (HttpUtil.isKeepAlive(r)) {
                idle.get(proxy).addLast(this);
            } else {
                ctx.close();
            }
            ended(t, draw, Try.Ending.ANSWERED, retryAfter(r.headers().get("Retry-After")));
        }

        private static double retryAfter(String text) {
            try {
                return text == null ? 0 : Double.parseDouble(text);
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.get(proxy).remove(this);
            Try t = current;
            if (t == null) {
                return;
            }
            current = null;
            patience.cancel(false);
            if (!t.first && !t.again && !reset && t.order.kind.effect() == Effect.IDEMPOTENT) {
                // It crossed the end of a connection between requests: sent once more, on another. Only what
                // is safe to repeat (RFC 9110, section 9.2.2): the other side may have ended after reading
                // it.
                t.again = true;
                deal(t, draw, "", 0);
            } else {
                ended(t, draw, Try.Ending.CLOSED, 0);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            reset = true;
            ctx.close();
        }
    }
}
