package gullspar.site.client;

import gullspar.proxy.http.Body;
import gullspar.route.Request;
import gullspar.route.Route;
import gullspar.route.Router;
import gullspar.site.http.Hops;
import gullspar.site.http.PlainRequest;
import gullspar.site.http.Target;
import gullspar.site.http.Values;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * A client's connection in plain HTTP/1.1: reads one request whole, hands it over, passes on its answer, and
 * only then looks at the next. After a request that cannot be read comes an error, the end, and nothing else.
 */
public final class PlainClient extends ChannelInboundHandlerAdapter {
    /** So many bytes of later requests are read while one is in hand: enough to hear the client leave. */
    private static final int MOST_AHEAD = 64 << 10;

    private static final int MOST_OBJECTS_AHEAD = 1024;
    private static final long LINGER_NS = 2_000_000_000L;

    private final Channel channel;
    private final PlainDecoder decoder;
    private final AnswerEncoder encoder;
    private final Clients owner;
    private final InetSocketAddress listener;
    private final Deque<HttpObject> ahead = new ArrayDeque<>();
    private int aheadBytes;
    private HttpRequest head;
    private Target target;
    private String host;
    private Request routed;
    private Router.Result found;
    private Body body;
    /** The request in hand; null while none is. */
    private PlainRequest request;

    private Clients.Taken taken;
    private ChannelFuture lastWritten;
    private boolean busy;
    private boolean keepAlive;
    /** Its listener takes no more requests than the one in hand. */
    private boolean unwanted;

    private boolean ending;
    private boolean answering;
    private boolean reading;
    private boolean used;
    private long partSince;
    private long idleSince;
    private long endingSince;
    /** The connection ends while more may still come of a request; until when that is dropped. */
    private boolean cutShort;

    private long lingerUntil;

    PlainClient(
            Channel channel, PlainDecoder decoder, AnswerEncoder encoder, InetSocketAddress listener, Clients owner) {
        this.channel = channel;
        this.decoder = decoder;
        this.encoder = encoder;
        this.listener = listener;
        this.owner = owner;
        this.idleSince = owner.now();
    }

    /** Is no request open or begun, and all written that was to be? */
    boolean idle() {
        return quiet() && (lastWritten == null || lastWritten.isDone());
    }

    private boolean quiet() {
        return !busy && head == null && !decoder.partial() && ahead.isEmpty() && !ending;
    }

    boolean came(InetSocketAddress to) {
        return listener.equals(to);
    }

    void close() {
        channel.close();
    }

    /** Ends a connection that has kept the proxy waiting for longer than the limits allow. */
    void check(long now, long requestNs, long idleNs) {
        if (lingerUntil != 0 && now > lingerUntil) {
            channel.close();
        } else if (ending) {
            if (!busy && now - endingSince > requestNs) {
                channel.close(); // its client does not read what it is told
            }
        } else if (partSince != 0 && now - partSince > requestNs) {
            end(408, "the request did not come in time");
        } else if (quiet() && now - idleSince > (used ? idleNs : Math.min(idleNs, requestNs))) {
            channel.close();
        }
    }

    /** No more requests are wanted: the connection ends with the answer in hand, or now if there is none. */
    void drain() {
        if (idle()) {
            channel.close();
        } else if (quiet()) {
            lastWritten.addListener(ChannelFutureListener.CLOSE);
        } else {
            unwanted = true;
        }
    }

    // ---- what comes in ----

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        reading = false;
        if (ending) {
            ReferenceCountUtil.release(message);
            return;
        }
        ahead.add((HttpObject) message);
        aheadBytes += message instanceof HttpContent c ? c.content().readableBytes() : 0;
        next();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reading = false;
        watchPart();
        read();
    }

    /** A request that has begun to come must come whole within a time. */
    private void watchPart() {
        boolean part = !ending && !busy && (decoder.partial() || head != null);
        partSince = !part ? 0 : partSince == 0 ? owner.now() : partSince;
    }

    void read() {
        if (!reading && aheadBytes < MOST_AHEAD && ahead.size() < MOST_OBJECTS_AHEAD) {
            reading = true;
            channel.read();
        }
    }

    private void next() {
        while (!busy && !ending && !ahead.isEmpty()) {
            HttpObject o = ahead.poll();
            try {
                aheadBytes -= o instanceof HttpContent c ? c.content().readableBytes() : 0;
                take(o);
            } finally {
                ReferenceCountUtil.release(o);
            }
        }
        if (ending) {
            forgetAhead();
        }
    }

    private void take(HttpObject o) {
        if (o.decoderResult().isFailure()) {
            Throwable cause = o.decoderResult().cause();
            boolean line = cause instanceof TooLongHttpLineException;
            boolean tooLong = cause instanceof TooLongFrameException;
            end(
                    line ? 414 : tooLong ? 431 : 400,
                    line ? "the target is too long" : tooLong ? "the head is too long" : "malformed request");
            return;
        }
        if (o instanceof HttpRequest r) {
            begin(r);
        }
        if (o instanceof HttpContent content && !ending) {
            if (head != null) {
                Body.Added added = body.add(content.content());
                if (added != Body.Added.TAKEN) {
                    refuseBody(added);
                    return;
                }
            }
            if (content instanceof LastHttpContent last) {
                if (head != null) {
                    whole(last.trailingHeaders());
                }
            }
        }
    }

    private void refuseBody(Body.Added added) {
        if (added == Body.Added.TOO_LONG) {
            end(413, "the body is too long");
        } else {
            end(503, "too many bodies at once, try again");
        }
    }

    /** The head of a request: whatever is wrong with it ends the connection. */
    private void begin(HttpRequest r) {
        keepAlive = HttpUtil.isKeepAlive(r);
        encoder.headOnly(r.method().equals(HttpMethod.HEAD));
        HttpVersion v = r.protocolVersion();
        List<String> hosts = r.headers().getAll(HttpHeaderNames.HOST);
        List<String> coding = r.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        target = Target.of(r.uri(), r.method().name());
        if (!v.equals(HttpVersion.HTTP_1_1) && !v.equals(HttpVersion.HTTP_1_0)) {
            end(505, "this is HTTP/1.1");
        } else if (hosts.size() > 1
                || hosts.isEmpty() && v.equals(HttpVersion.HTTP_1_1)
                || !hosts.isEmpty() && !Clients.HOST.matcher(hosts.get(0)).matches()) {
            end(400, "no Host, or an odd one, or several");
        } else if (!coding.isEmpty()
                && (v.equals(HttpVersion.HTTP_1_0)
                        || coding.size() > 1
                        || !coding.get(0).equalsIgnoreCase("chunked"))) {
            end(v.equals(HttpVersion.HTTP_1_0) ? 400 : 501, "a transfer coding other than chunked");
        } else if (r.method().equals(HttpMethod.CONNECT)) {
            end(501, "this is no tunnel");
        } else if (target == null
                || target.authority() != null
                        && !Clients.HOST.matcher(target.authority()).matches()) {
            end(400, "an odd target");
        } else if (r.headers().contains(HttpHeaderNames.EXPECT)
                && !HttpUtil.is100ContinueExpected(r)
                && v.equals(HttpVersion.HTTP_1_1)) {
            end(417, "nothing to be expected but 100-continue");
        } else {
            host = target.authority() != null ? target.authority() : hosts.isEmpty() ? "" : hosts.get(0);
            route(r);
        }
    }

    /** The route is known by the head: what has none needs no body. */
    private void route(HttpRequest r) {
        InetSocketAddress from = (InetSocketAddress) channel.remoteAddress();
        routed = new Request(
                r.method().name(),
                host,
                target.path(),
                target.query(),
                target.raw(),
                from.getAddress().getHostAddress(),
                local().getPort(),
                owner.id(r.headers().getAll("Request-Id")),
                r.headers()::getAll);
        found = owner.find(listener, routed);
        Route.PoolTarget to = found.route() == null ? null : found.route().pool();
        long most = to == null ? 0 : to.limits().maxBodyBytes();
        boolean comes = HttpUtil.isTransferEncodingChunked(r) || HttpUtil.getContentLength(r, 0L) > 0;
        if (to != null && HttpUtil.getContentLength(r, 0L) > most) {
            end(413, "the body is too long"); // not read first: it may be of any length
            return;
        }
        body = new Body(owner.budget(), most);
        head = r;
        if (to == null) {
            // Answered by the head alone. Where a body comes that nobody asked for the connection ends.
            keepAlive &= !comes;
            cutShort = comes;
            whole(new DefaultHttpHeaders());
        } else if (comes && HttpUtil.is100ContinueExpected(r) && ahead.isEmpty()) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private InetSocketAddress local() {
        return (InetSocketAddress) channel.localAddress();
    }

    private void whole(HttpHeaders trailers) {
        request =
                new PlainRequest(head.method(), head.protocolVersion(), target, routed, head.headers(), body, trailers);
        head = null;
        body = null;
        partSince = 0;
        busy = true;
        used = true;
        Route route = found.route();
        if (route == null) {
            HttpHeaders h = new DefaultHttpHeaders();
            if (!found.allowedMethods().isEmpty()) {
                h.set(HttpHeaderNames.ALLOW, String.join(", ", found.allowedMethods()));
            }
            answer(found.status(), h, found.status() == 405 ? "this method is not allowed here" : "nothing is here");
        } else if (route.fixedResponse() != null) {
            fixed(route);
        } else {
            taken = owner.taken(this, request, found);
        }
    }

    private void fixed(Route route) {
        Route.FixedResponse a = route.fixedResponse();
        Values values = new Values(request, found.groups(), route.name(), null);
        HttpHeaders h = new DefaultHttpHeaders();
        if (a.location() != null) {
            h.set(HttpHeaderNames.LOCATION, Values.clean(a.location().expand(values)));
        }
        String text = a.body().expand(values);
        if (!text.isEmpty()) {
            h.set(HttpHeaderNames.CONTENT_TYPE, a.type());
        }
        values.change(h, a.headers(), a.status());
        answer(a.status(), h, text.getBytes(StandardCharsets.UTF_8));
    }

    /** An error behind what is in hand, and then the end. */
    private void end(int status, String error) {
        ending = true;
        cutShort = true;
        endingSince = owner.now();
        partSince = 0;
        keepAlive = false;
        decoder.stop();
        if (body != null) {
            body.release();
        }
        head = null;
        body = null;
        busy = true;
        HttpHeaders h = new DefaultHttpHeaders();
        if (status == 503) {
            owner.retryAfter(h);
        }
        answer(status, h, error);
    }

    // ---- what goes out ----

    /** A final answer made here, of a line of text. */
    public void answer(int status, HttpHeaders headers, String text) {
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        answer(status, headers, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private void answer(int status, HttpHeaders headers, byte[] bytes) {
        DefaultFullHttpResponse r = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
        r.headers().add(headers);
        if (status != 204 && status != 304) {
            HttpUtil.setContentLength(r, bytes.length);
        }
        connection(r);
        answered(channel.writeAndFlush(r));
    }

    /** An answer begins that comes piece by piece. */
    public void begin(HttpResponse r) {
        answering = true;
        boolean framed = HttpUtil.isContentLengthSet(r)
                || HttpUtil.isTransferEncodingChunked(r)
                || request.head()
                || r.status().code() == 204
                || r.status().code() == 304;
        keepAlive &= framed;
        connection(r);
        channel.write(r);
    }

    private void connection(HttpResponse r) {
        keepAlive &= !owner.draining() && !unwanted;
        if (!keepAlive) {
            r.headers().set(HttpHeaderNames.CONNECTION, "close");
        } else if (request != null && request.version().equals(HttpVersion.HTTP_1_0)) {
            r.headers().set(HttpHeaderNames.CONNECTION, "keep-alive");
        }
    }

    /** A piece of it, which is the connection's from now on. */
    public void piece(ByteBuf bytes) {
        channel.write(new DefaultHttpContent(bytes));
    }

    public void flush() {
        channel.flush();
    }

    /** May more be written at once? */
    public boolean writable() {
        return channel.isWritable();
    }

    /** It is whole. */
    public void whole(HttpHeaders trailers, boolean chunked) {
        LastHttpContent last = LastHttpContent.EMPTY_LAST_CONTENT;
        if (chunked && !trailers.isEmpty()) {
            last = new DefaultLastHttpContent();
            Hops.copyTrailers(trailers, last.trailingHeaders());
        }
        answered(channel.writeAndFlush(last));
    }

    /** It broke off: the client must see that. */
    public void abort() {
        channel.close();
    }

    private void answered(ChannelFuture last) {
        lastWritten = last;
        answering = false;
        busy = false;
        taken = null;
        request = null;
        idleSince = owner.now();
        if (!keepAlive) {
            if (!ending) {
                ending = true;
                endingSince = idleSince;
                decoder.stop();
            }
            last.addListener(f -> finish());
        }
        owner.answered(this);
        channel.eventLoop().execute(() -> {
            next();
            watchPart();
            read();
        });
    }

    /**
     * The last answer is written. Where more is still to come of a request, closing at once would make the
     * system reset the connection, and the answer could be lost with it: what comes is dropped for a while.
     */
    private void finish() {
        if (cutShort && channel instanceof DuplexChannel duplex && channel.isActive()) {
            lingerUntil = owner.now() + LINGER_NS;
            duplex.shutdownOutput();
        } else {
            channel.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (taken != null && answering && channel.isWritable()) {
            taken.writable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        ending = true;
        forgetAhead();
        if (body != null) {
            body.release();
            body = null;
            head = null;
        }
        owner.closed(this);
        Clients.Taken t = taken;
        taken = null;
        busy = false;
        if (t != null) {
            t.abandoned();
        }
    }

    private void forgetAhead() {
        ahead.forEach(ReferenceCountUtil::release);
        ahead.clear();
        aheadBytes = 0;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
