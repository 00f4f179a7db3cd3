package gullspar.proxy;

import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * The backends' side: idle connections, attempts, and what became of them. Every attempt ends exactly once.
 * Nothing is sent again from here.
 */
final class Backends {
    /** The largest body that either side may send. */
    static final int MOST_BYTES = 64 << 10;
    /** Interim (1xx) answers ahead of one final answer. */
    private static final int MOST_INTERIM = 8;
    /** Figures beyond these are no load: a busy share of one is all, and nothing counts a million. */
    private static final double MOST_UTIL = 100, MOST_COUNT = 1e6;

    /** A whole answer of a backend. */
    record Answer(HttpResponse head, byte[] body) { }

    /**
     * Who hears, once, how an attempt ended. There is an answer if it was served, and with MOOT if the
     * backend cannot use the request.
     */
    interface Listener {
        void ended(Attempt attempt, Status status, Report report, Answer answer);
    }

    /** How connections to backends are made: by TCP, but while it warms up. */
    interface Transport {
        Bootstrap to(InetSocketAddress address);
    }

    static Transport tcp(EventLoop loop) {
        return address -> new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).remoteAddress(address);
    }

    /** An idle connection is closed so long before the backend does it: no request may cross that. */
    private static final long KEEP_ALIVE_MARGIN_NS = 1_500_000_000L;
    private static final long SWEEP_MS = 500;

    private static final class Backend {
        InetSocketAddress address;
        long bootNs;
        /** When this proxy heard that it drains or is gone; 0 while it is in service. */
        long leftAt;
        /** The most recently used last. */
        final Deque<Connection> idle = new ArrayDeque<>();
    }

    private final EventLoop loop;
    private final Transport transport;
    private final Clock clock;
    private final Sockets.Share sockets;
    private final long connectTimeoutNs;
    private final long keepAliveNs;
    private final long drainGraceNs;
    private final Map<Integer, Backend> backends = new HashMap<>();

    Backends(EventLoop loop, Clock clock, Sockets.Share sockets, Config config, Transport transport) {
        this.transport = transport;
        this.loop = loop;
        this.clock = clock;
        this.sockets = sockets;
        sockets.whenFull(this::closeOneIdle);
        this.connectTimeoutNs = config.connectTimeoutNs();
        this.keepAliveNs = Math.max(config.keepAliveNs() / 2, config.keepAliveNs() - KEEP_ALIVE_MARGIN_NS);
        this.drainGraceNs = config.drainGraceNs();
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    // ---- the list ----

    void learn(Discovery.News news) {
        long now = clock.now();
        if (news.kind() != ListKind.DELTA) {
            Map<Integer, Backend> missing = new HashMap<>(backends);
            news.list().forEach(l -> missing.remove(l.member().id()));
            missing.values().forEach(b -> leave(b, now));
            backends.keySet().removeAll(missing.keySet());
        }
        for (Discovery.Listed l : news.list()) {
            Backend b = backends.computeIfAbsent(l.member().id(), id -> new Backend());
            boolean moved = l.address() != null && !l.address().equals(b.address);
            if (moved || l.member().bootNs() > b.bootNs) {
                closeIdle(b); // they lead to a process that is no more
            }
            b.address = moved ? l.address() : b.address;
            b.bootNs = l.member().bootNs();
            if (l.member().state() == State.READY) {
                b.leftAt = 0;
            } else {
                leave(b, now);
            }
            if (l.member().state() == State.GONE) {
                backends.remove(l.member().id());
            }
        }
    }

    private void leave(Backend b, long now) {
        b.leftAt = b.leftAt == 0 ? now : b.leftAt;
        closeIdle(b);
    }

    // ---- idle connections ----

    void closeIdle(int id) {
        Backend b = backends.get(id);
        if (b != null) {
            closeIdle(b);
        }
    }

    private static void closeIdle(Backend b) {
        while (!b.idle.isEmpty()) {
            b.idle.pop().channel.close();
        }
    }

    /** Closes the connection that has been idle longest; false if there is none. */
    private boolean closeOneIdle() {
        Backend oldest = null;
        for (Backend b : backends.values()) {
            if (!b.idle.isEmpty()
                    && (oldest == null || b.idle.peekFirst().idleSince < oldest.idle.peekFirst().idleSince)) {
                oldest = b;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldest.idle.pollFirst().channel.close();
        return true;
    }

    private void sweep() {
        for (Backend b : backends.values()) {
            while (!b.idle.isEmpty() && !fresh(b.idle.peekFirst())) {
                b.idle.pollFirst().channel.close();
            }
        }
    }

    private boolean fresh(Connection c) {
        return clock.now() - c.idleSince < keepAliveNs;
    }

    private Connection reuse(Backend b) {
        // The one idle longest: what a backend closes right behind an answer, or sends too much, is seen by
        // then.
        Connection c = b.idle.pollFirst();
        // Not left to the sweep: one that stands still would write to what the backend is about to close.
        while (c != null && !(fresh(c) && c.channel.isActive())) {
            c.channel.close();
            c = b.idle.pollFirst();
        }
        return c;
    }

    // ---- attempts ----

    /** Starts an attempt; it ends later, never within this call. */
    Attempt send(int server, Message request, long timeoutNs, Listener listener) {
        Attempt a = new Attempt(backends.get(server), request, clock.now() + timeoutNs, listener);
        if (a.backend == null) {
            loop.execute(() -> a.end(Status.MOOT, null, null)); // gone since
            return a;
        }
        a.timer = loop.schedule(a::timeOut, timeoutNs, TimeUnit.NANOSECONDS);
        Connection idle = reuse(a.backend);
        if (idle != null) {
            idle.begin(a);
        } else if (sockets.take()) {
            connect(a);
        } else {
            loop.execute(() -> a.end(Status.MOOT, null, null)); // no fault of the backend's
        }
        return a;
    }

    private void connect(Attempt a) {
        Connection c = new Connection(a.backend);
        ChannelFuture connect = transport.to(a.backend.address)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutNs / 1_000_000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(c.decoder, new HttpRequestEncoder(), c);
                    }
                }).connect();
        c.channel = connect.channel();
        a.connection = c;
        c.channel.closeFuture().addListener(f -> sockets.release());
        connect.addListener(f -> {
            if (f.isSuccess() && !a.ended) {
                c.begin(a);
            } else {
                c.channel.close();
                loop.execute(() -> a.end(Status.CONNECT_FAILED, null, null));
            }
        });
    }

    /** One try of one request at one backend. */
    final class Attempt {
        final long startedAt = clock.now();
        private final Backend backend;
        private final Message request;
        private final long deadline;
        private final Listener listener;
        private Connection connection;
        private ScheduledFuture<?> timer;
        /** Its last byte is written: from now on it may have run. */
        private boolean written;
        private boolean ended;

        private Attempt(Backend backend, Message request, long deadline, Listener listener) {
            this.backend = backend;
            this.request = request;
            this.deadline = deadline;
            this.listener = listener;
        }

        void cancel() {
            loop.execute(() -> giveUp(Status.CANCELLED));
        }

        private void timeOut() {
            giveUp(written ? Status.TIMEOUT : Status.CONNECT_FAILED);
        }

        private void giveUp(Status status) {
            if (!ended) {
                end(status, null, null);
                if (connection != null) {
                    connection.channel.close();
                }
            }
        }

        private void broken() {
            end(written ? Status.RESET : Status.CONNECT_FAILED, null, null);
        }

        private void end(Status status, Report report, Answer answer) {
            if (ended) {
                return;
            }
            ended = true;
            if (timer != null) {
                timer.cancel(false);
            }
            listener.ended(this, status, report, answer);
        }

        private DefaultFullHttpRequest toWrite() {
            DefaultFullHttpRequest r = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(),
                    request.uri(), Unpooled.wrappedBuffer(request.body()));
            Message.copyRequest(request.headers(), r.headers());
            r.headers().set(HttpHeaderNames.HOST, request.headers().get(HttpHeaderNames.HOST, ""));
            r.headers().set("Request-Timeout", Message.seconds(Math.max(1000, deadline - clock.now())));
            if (request.body().length > 0 || !request.method().equals(HttpMethod.GET)) {
                HttpUtil.setContentLength(r, request.body().length);
            }
            return r;
        }
    }

    /** A connection: carries one attempt at a time. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject>
            implements AnswerDecoder.Listener {
        private final Backend backend;
        private final AnswerDecoder decoder = new AnswerDecoder(this);
        private Channel channel;
        private long idleSince;
        private Attempt attempt;
        private HttpResponse head;
        private ByteBuf body;
        private int interim;
        /** The answer has ended, but what came with it is still to be seen. */
        private boolean whole;
        private boolean trailed;

        Connection(Backend backend) {
            this.backend = backend;
        }

        void begin(Attempt a) {
            a.connection = this;
            // Connecting takes time: the news that the backend drains or is gone may have come meanwhile.
            if (backend.leftAt != 0 && clock.now() - backend.leftAt > drainGraceNs) {
                channel.close();
                loop.execute(() -> a.end(Status.MOOT, null, null));
                return;
            }
            attempt = a;
            head = null;
            interim = 0;
            whole = false;
            trailed = false;
            body = Unpooled.buffer(512, MOST_BYTES);
            decoder.expect();
            channel.writeAndFlush(a.toWrite()).addListener(f -> {
                if (f.isSuccess()) {
                    a.written = true;
                } else {
                    channel.close();
                }
            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (attempt == null || message.decoderResult().isFailure()) {
                broken();
                return;
            }
            if (message instanceof HttpResponse r) {
                head = r;
                boolean informs = r.status().codeClass() == HttpStatusClass.INFORMATIONAL;
                if (informs ? ++interim > MOST_INTERIM || r.status().code() == 101 : !framed(r)) {
                    broken();
                    return;
                }
            }
            if (message instanceof HttpContent content) {
                if (content.content().readableBytes() > body.maxWritableBytes()) {
                    broken();
                    return;
                }
                body.writeBytes(content.content());
            }
            if (message instanceof LastHttpContent) {
                if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                    decoder.expect();
                } else {
                    whole = true;
                    decoder.whole();
                }
            }
        }

        @Override
        public void noise() {
            broken();
        }

        /**
         * More than the answer's length. If another answer begins there, the first one ended where it said.
         * Anything else may as well be the rest of its body under too short a length: that is not served.
         */
        @Override
        public void trailing(boolean again) {
            if (!trailed && !again) {
                broken();
            }
            trailed = true;
        }

        /** Only now is all seen that came with the answer: a connection that holds more is not used again. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (whole && attempt != null) {
                served();
            }
        }

        private void served() {
            Attempt a = attempt;
            byte[] bytes = new byte[body.readableBytes()];
            body.readBytes(bytes);
            attempt = null;
            decoder.quiet();
            if (a.written && !trailed && HttpUtil.isKeepAlive(head) && backend.leftAt == 0) {
                idleSince = clock.now();
                backend.idle.addLast(this);
            } else {
                channel.close();
            }
            Status status = status(head);
            a.end(status, report(head.headers().getAll("Server-Load")),
                    status == Status.OK || status == Status.MOOT ? new Answer(head, bytes) : null);
        }

        /**
         * Ends the attempt before the connection: as it closes, the decoder passes on what it holds, and that
         * must not make a whole answer of one that was found wanting.
         */
        private void broken() {
            Attempt a = attempt;
            attempt = null;
            decoder.quiet();
            backend.idle.remove(this);
            if (a != null) {
                a.broken();
            }
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (whole && attempt != null) {
                served(); // the end came in the same go
            }
            broken();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /**
     * Does the head tell where its answer ends, within what an answer may hold? One that only the end of the
     * connection would end cannot be told from one cut short.
     */
    private static boolean framed(HttpResponse r) {
        if (!r.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !r.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            return false;
        }
        return HttpUtil.isTransferEncodingChunked(r) || r.status().code() == 204 || r.status().code() == 304
                || HttpUtil.isContentLengthSet(r) && HttpUtil.getContentLength(r, -1L) <= MOST_BYTES;
    }

    private static Status status(HttpResponse r) {
        int code = r.status().code();
        if (code == 200) {
            return Status.OK;
        }
        // 4xx speaks of the request, not of the backend: no other would take it, and none is worse for it.
        if (code / 100 == 4 && code != 408 && code != 425 && code != 429) {
            return Status.MOOT;
        }
        // Only the backend's own word proves that the request never ran.
        return (code == 503 || code == 504) && "1".equals(r.headers().get("Not-Started")) ? Status.FULL
                : Status.ERROR;
    }

    /** The last load report that can be read; null if none can. */
    private static Report report(List<String> texts) {
        Report last = null;
        for (String text : texts) {
            Report r = report(text);
            last = r == null ? last : r;
        }
        return last;
    }

    /** Reads a load report; null if there is none or any of it makes no sense. */
    static Report report(String text) {
        if (text == null) {
            return null;
        }
        double[] values = new double[6];
        Arrays.fill(values, Double.NaN);
        for (String field : text.split(",")) {
            String[] pair = field.trim().split("=", 2);
            int i = switch (pair[0]) {
                case "inflight", "outstanding" -> 0;
                case "queue", "backlog" -> 1;
                case "util", "utilization" -> 2;
                case "latency_ms", "recent_ms" -> 3;
                case "qps", "throughput" -> 4;
                case "eps", "errors_per_s" -> 5;
                default -> -1;
            };
            if (i >= 0) {
                try {
                    values[i] = Double.parseDouble(pair.length < 2 ? "" : pair[1]);
                } catch (NumberFormatException e) {
                    return null;
                }
                if (!(values[i] >= 0 && values[i] <= (i == 2 ? MOST_UTIL : MOST_COUNT))) {
                    return null;
                }
            }
        }
        if (Arrays.stream(values).allMatch(Double::isNaN)) {
            return null;
        }
        return new Report(values[0], values[1], values[2], values[3], values[4], values[5]);
    }
}
