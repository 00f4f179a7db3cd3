package gullspar.rehearse.stage;

import gullspar.decide.Balancer.Effect;
import gullspar.proxy.io.Platform;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.script.Script.RequestClass;
import gullspar.rehearse.time.EventQueue;
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
 * Generates the requests of the well-behaved clients. Arrivals are a Poisson process and do not wait for
 * responses. Each order (class, key, work, site, time-outs) depends on the seed and its number alone, so that it
 * is the same whatever the outcome of earlier ones, live and in virtual time.
 */
public final class LoadGenerator {
    private static final int CONNECT_TIMEOUT_MS = 1000;
    /** After a refused connection another proxy is tried, up to this many in all. */
    private static final int MAX_PROXIES_PER_REQUEST = 3;
    /** With less time left no request is sent, as no response could arrive in time. */
    private static final long MIN_TIMEOUT_NS = 20_000_000L;

    private final RunEnvironment environment;
    private final Script script;
    private final EventLog eventLog;
    private final FrontBalancer front;
    private final Platform platform;
    private final SplittableRandom arrivals;
    private final double[] cumulativeKeyShares;
    private final Map<String, Deque<Connection>> idle = new HashMap<>();
    private final Map<String, double[]> workInflations = new HashMap<>();
    private final Map<String, double[]> abandonments = new HashMap<>();
    private double trafficFactor = 1;
    private long untilNs;
    private int orders;
    private int requests;
    private int openRequests;

    public LoadGenerator(RunEnvironment environment, Script script, EventLog eventLog, FrontBalancer front) {
        this.environment = environment;
        this.script = script;
        this.eventLog = eventLog;
        this.front = front;
        this.platform = environment.platform("clients");
        this.arrivals = new SplittableRandom(script.seed() * 31 + 3);
        this.cumulativeKeyShares =
                cumulativeKeyShares(script.clients().keys(), script.clients().keySkew());
    }

    /** The cumulative shares of a Zipf distribution. */
    private static double[] cumulativeKeyShares(int keys, double skew) {
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

    /** Generates orders from now on for that many seconds. */
    public void start(double seconds) {
        untilNs = environment.now() + (long) (seconds * 1e9);
        scheduleArrival(environment.now());
    }

    /** Sets the factor on the configured rate. */
    public void setTrafficFactor(double factor) {
        trafficFactor = factor;
    }

    /** Multiplies the work of a share of a class's orders; a share of 0 ends it. */
    public void setWorkInflation(String name, double share, double factor) {
        workInflations.put(name, new double[] {share, factor});
    }

    /** Makes a share of a class's clients abandon their request within that time; a share of 0 ends it. */
    public void setAbandonment(String name, double share, double withinMs) {
        abandonments.put(name, new double[] {share, withinMs});
    }

    /** The number of requests that have not ended. */
    public int openRequests() {
        return openRequests;
    }

    /** Schedules the next arrival from the planned time of the last, so that a late wake-up delays no later one. */
    private void scheduleArrival(long from) {
        double wait =
                -StrictMath.log(1 - arrivals.nextDouble()) / script.clients().rate();
        long at = from + (long) (wait * 1e9 / Math.max(1e-6, trafficFactor));
        if (at < untilNs) {
            platform.loop()
                    .schedule(
                            () -> {
                                createOrder();
                                scheduleArrival(at);
                            },
                            Math.max(0, at - environment.now()),
                            TimeUnit.NANOSECONDS);
        }
    }

    private void createOrder() {
        int number = ++orders;
        SplittableRandom draw = new SplittableRandom(EventQueue.mix(script.seed() * 31 + 4) + number);
        double classDraw = draw.nextDouble();
        double keyDraw = draw.nextDouble();
        double siteDraw = draw.nextDouble();
        RequestClass chosenClass = chooseClass(classDraw);
        double work = chosenClass.workMs().draw(draw) * 1e6;
        double[] inflation = workInflations.getOrDefault(chosenClass.name(), new double[] {0, 1});
        work *= draw.nextDouble() < inflation[0] ? inflation[1] : 1;
        String orderSite = script.sites().get((int) (siteDraw * script.sites().size()));
        Order order = new Order(number, chosenClass, chooseKey(keyDraw), work, orderSite, environment.now());
        eventLog.addOrder(order);
        sendRequest(order, draw);
    }

    private RequestClass chooseClass(double draw) {
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

    private int chooseKey(double draw) {
        if (cumulativeKeyShares.length == 0) {
            return 0;
        }
        int i = Arrays.binarySearch(cumulativeKeyShares, draw);
        return 1 + Math.min(cumulativeKeyShares.length - 1, i < 0 ? -i - 1 : i + 1);
    }

    /** Sends the first request of an order, or a retry. */
    private void sendRequest(Order order, SplittableRandom draw) {
        double timeoutFactor = script.clients().giveUpShare().draw(draw);
        long now = environment.now();
        ClientRequest request = new ClientRequest(
                order,
                "r" + ++requests + "-" + order.number,
                now + (long) (order.requestClass.giveUpMs() * 1e6 * timeoutFactor));
        order.requests.add(request);
        openRequests++;
        eventLog.request(request);
        sendToProxy(request, draw, "", 0);
    }

    private void sendToProxy(ClientRequest request, SplittableRandom draw, String excluded, int attempted) {
        String proxy = attempted < MAX_PROXIES_PER_REQUEST
                ? front.chooseProxy(request.order.site, draw.nextDouble(), draw.nextDouble(), excluded)
                : "";
        if (proxy.isEmpty()) {
            endRequest(request, draw, ClientRequest.Ending.NOT_TAKEN, 0);
            return;
        }
        request.proxy = proxy;
        Deque<Connection> pool = idle.computeIfAbsent(proxy, p -> new ArrayDeque<>());
        Connection idleConnection = pool.pollLast();
        if (idleConnection != null) {
            idleConnection.send(request, draw);
            return;
        }
        Connection newConnection = new Connection(proxy);
        ChannelFuture connect = platform.transport()
                .clientBootstrap(environment.address(proxy))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(1 << 20), newConnection);
                    }
                })
                .connect();
        newConnection.channel = connect.channel();
        connect.addListener(f -> {
            if (f.isSuccess()) {
                newConnection.send(request, draw);
            } else if (environment.now() < request.deadline) {
                sendToProxy(request, draw, proxy, attempted + 1);
            } else {
                endRequest(request, draw, ClientRequest.Ending.NOT_TAKEN, 0);
            }
        });
    }

    private void endRequest(
            ClientRequest request, SplittableRandom draw, ClientRequest.Ending ending, double retryAfterS) {
        request.ending = ending;
        request.endedAt = environment.now();
        openRequests--;
        boolean refused = request.status == 429 || request.status == 503;
        boolean mayRetry = refused
                || ending == ClientRequest.Ending.NOT_TAKEN
                || request.order.requestClass.effect() != Effect.AT_MOST_ONCE;
        boolean retry = request.status != 200 && ending != ClientRequest.Ending.LEFT && mayRetry;
        if (retry && request.order.requests.size() <= script.clients().retries()) {
            double wait = Math.max(retryAfterS, script.clients().retryWaitMs().draw(draw) / 1e3);
            platform.loop().schedule(() -> sendRequest(request.order, draw), (long) (wait * 1e9), TimeUnit.NANOSECONDS);
        }
    }

    /** A client's connection: one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final String proxy;
        private Channel channel;
        private ClientRequest current;
        private SplittableRandom draw;
        private ScheduledFuture<?> timeout;
        private boolean used;
        private boolean reset;
        /** The last request that got its response: any further data on an idle connection is unsolicited. */
        private ClientRequest lastAnswered;

        Connection(String proxy) {
            this.proxy = proxy;
        }

        void send(ClientRequest request, SplittableRandom random) {
            current = request;
            draw = random;
            long now = environment.now();
            request.sentAt = request.resent ? request.sentAt : now;
            request.firstOnConnection = !used;
            used = true;
            if (now > request.deadline - MIN_TIMEOUT_NS) {
                // Connecting used up the time-out: the request is not sent.
                current = null;
                request.sentAt = 0;
                idle.get(proxy).addLast(this);
                endRequest(request, draw, ClientRequest.Ending.NOT_TAKEN, 0);
                return;
            }
            timeout = platform.loop()
                    .schedule(
                            () -> abandon(request, ClientRequest.Ending.GIVEN_UP),
                            request.deadline - now,
                            TimeUnit.NANOSECONDS);
            double[] abandonment = abandonments.getOrDefault(request.order.requestClass.name(), new double[] {0, 0});
            if (abandonment[0] > 0 && draw.nextDouble() < abandonment[0]) {
                platform.loop()
                        .schedule(
                                () -> abandon(request, ClientRequest.Ending.LEFT),
                                (long) (draw.nextDouble() * abandonment[1] * 1e6),
                                TimeUnit.NANOSECONDS);
            }
            channel.pipeline()
                    .context(HttpClientCodec.class)
                    .writeAndFlush(Unpooled.copiedBuffer(requestText(request, now), StandardCharsets.US_ASCII));
        }

        private String requestText(ClientRequest request, long now) {
            RequestClass c = request.order.requestClass;
            boolean safe = c.effect() == Effect.IDEMPOTENT;
            StringBuilder text = new StringBuilder(256)
                    .append(safe ? "GET /" : "POST /")
                    .append(c.name())
                    .append("/")
                    .append(request.order.number % 100)
                    .append(" HTTP/1.1\r\nHost: shop\r\nRequest-Id: ")
                    .append(request.id)
                    .append(String.format(Locale.ROOT, "\r\nRequest-Timeout: %.6f", (request.deadline - now) / 1e9));
            if (request.order.key != 0) {
                text.append("\r\nCookie: sid=k").append(request.order.key);
            }
            if (request.order.requests.size() > 1) {
                text.append("\r\nClient-Retry: 1");
            }
            if (c.effect() == Effect.DEDUPLICATED) {
                text.append("\r\nIdempotency-Key: ").append(request.order.idempotencyKey());
            }
            if (!safe) {
                text.append("\r\nContent-Length: ").append(c.bodyBytes());
            }
            return text.append("\r\n\r\n")
                    .append(safe ? "" : "x".repeat(c.bodyBytes()))
                    .toString();
        }

        private void abandon(ClientRequest request, ClientRequest.Ending ending) {
            if (current == request) {
                current = null;
                timeout.cancel(false);
                channel.close();
                endRequest(request, draw, ending, 0);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            ClientRequest request = current;
            if (request == null) {
                if (lastAnswered != null) {
                    lastAnswered.responseError = "unsolicited second response, status "
                            + response.status().code();
                }
                ctx.close();
                return;
            }
            if (response.decoderResult().isFailure()) {
                ctx.close(); // an incomplete response counts as none
                return;
            }
            current = null;
            timeout.cancel(false);
            request.status = response.status().code();
            request.respondedAt = environment.sentAt(ctx.channel());
            String body = response.content().toString(StandardCharsets.US_ASCII);
            if (request.status == 200 && !Node.isBodyFor(request.id, body)) {
                request.responseError = "response body was not made by a node for this request: '"
                        + body.substring(0, Math.min(40, body.length())).trim() + "'";
            }
            lastAnswered = request;
            if (HttpUtil.isKeepAlive(response)) {
                idle.get(proxy).addLast(this);
            } else {
                ctx.close();
            }
            endRequest(
                    request,
                    draw,
                    ClientRequest.Ending.ANSWERED,
                    retryAfter(response.headers().get("Retry-After")));
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
            ClientRequest request = current;
            if (request == null) {
                return;
            }
            current = null;
            timeout.cancel(false);
            if (!request.firstOnConnection
                    && !request.resent
                    && !reset
                    && request.order.requestClass.effect() == Effect.IDEMPOTENT) {
                // The proxy closed the idle connection as the request was sent: it is resent on another one.
                // Only idempotent requests may be (RFC 9110, section 9.2.2): the proxy may have read it before
                // closing.
                request.resent = true;
                sendToProxy(request, draw, "", 0);
            } else {
                endRequest(request, draw, ClientRequest.Ending.CLOSED, 0);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            reset = true;
            ctx.close();
        }
    }
}
