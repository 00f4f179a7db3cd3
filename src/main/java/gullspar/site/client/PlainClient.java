package gullspar.site.client;

import gullspar.proxy.http.Body;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.NextTurn;
import gullspar.proxy.io.ResetOnClose;
import gullspar.route.Request;
import gullspar.route.Route;
import gullspar.route.Router;
import gullspar.site.http.HopByHop;
import gullspar.site.http.PlainRequest;
import gullspar.site.http.Target;
import gullspar.site.http.TemplateValues;
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
 * A client connection in plain HTTP/1.1. It reads a whole request, passes it on, forwards its response and only
 * then processes the next one. A malformed request is answered with an error, and the connection closes.
 */
public final class PlainClient extends ChannelInboundHandlerAdapter {
    /** Memory for later requests that are read while one is open: enough to detect that the client disconnects. */
    private static final int MAX_PIPELINED_BYTES = 64 << 10;

    private static final int MAX_PIPELINED_OBJECTS = 1024;
    private static final long LINGER_NS = 2_000_000_000L;

    private final Channel channel;
    private final PlainDecoder decoder;
    private final ResponseEncoder encoder;
    private final Clients owner;
    private final InetSocketAddress listener;
    private final Deque<HttpObject> pipelined = new ArrayDeque<>();
    private long pipelinedBytes;
    private HttpRequest head;
    private Target target;
    private String host;
    private Request routed;
    private Router.Result found;
    private Body body;
    /** The open request; null if there is none. */
    private PlainRequest request;

    private Clients.PendingRequest pendingRequest;
    private ChannelFuture lastWritten;
    private boolean busy;
    private boolean keepAlive;
    /** The listener drains: no further requests are accepted after the open one. */
    private boolean listenerClosed;

    private boolean ending;
    private boolean responding;
    /** The response has neither a length nor chunks: the close is its end. */
    private boolean isDelimitedByClose;

    /** What is read behind the last request waits for {@link #continueAfterResponse}. */
    private boolean awaitsContinuation;

    private boolean reading;
    private boolean hasServedRequest;
    private long partialSince;
    private long idleSince;
    private long endingSince;
    /** The connection ends while more of a request may arrive, which is discarded until lingerUntil. */
    private boolean inputIncomplete;

    private long lingerUntil;

    PlainClient(
            Channel channel, PlainDecoder decoder, ResponseEncoder encoder, InetSocketAddress listener, Clients owner) {
        this.channel = channel;
        this.decoder = decoder;
        this.encoder = encoder;
        this.listener = listener;
        this.owner = owner;
        this.idleSince = owner.now();
    }

    /** Returns whether no request is open or partially received and all responses are written. */
    boolean isIdle() {
        return hasNoRequest() && !isWritingResponse();
    }

    /** Whether the client has not read enough for its last response to be written to the socket. */
    private boolean isWritingResponse() {
        return lastWritten != null && !lastWritten.isDone();
    }

    private boolean hasNoRequest() {
        return !busy && head == null && !decoder.hasPartialRequest() && pipelined.isEmpty() && !ending;
    }

    boolean isFrom(InetSocketAddress otherListener) {
        return listener.equals(otherListener);
    }

    void close() {
        channel.close();
    }

    /** Closes a connection that exceeds the time limits. */
    void closeIfTimedOut(long now, long requestNs, long idleNs) {
        if (lingerUntil != 0 && now > lingerUntil) {
            channel.close();
        } else if (ending) {
            if (!busy && now - endingSince > requestNs) {
                channel.close(); // the client does not read the last response
            }
        } else if (partialSince != 0 && now - partialSince > requestNs) {
            rejectAndClose(408, "the request did not come in time");
        } else if ((hasNoRequest() || isWritingResponse())
                && now - idleSince > (hasServedRequest ? idleNs : Math.min(idleNs, requestNs))) {
            channel.close();
        }
    }

    /** Closes the connection with the response to the open request, or now if there is none. */
    void drain() {
        if (isIdle()) {
            channel.close();
        } else if (hasNoRequest()) {
            lastWritten.addListener(ChannelFutureListener.CLOSE);
        } else {
            listenerClosed = true;
        }
    }

    // ---- requests ----

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        reading = false;
        if (ending) {
            ReferenceCountUtil.release(message);
            return;
        }
        HttpObject o = (HttpObject) message;
        pipelined.add(o);
        pipelinedBytes += memoryBytes(o);
        processPipelined();
        if (!hasRoomForPipelined()) {
            decoder.pause(); // one read may hold a thousand small requests, whose heads take many times its bytes
        }
    }

    private boolean hasRoomForPipelined() {
        return pipelinedBytes < MAX_PIPELINED_BYTES && pipelined.size() < MAX_PIPELINED_OBJECTS;
    }

    /** Decodes what was left of the last read, once there is room. */
    private void resumeDecoding() {
        if (decoder.isPaused() && hasRoomForPipelined()) {
            decoder.resume();
            channel.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
            channel.pipeline().fireChannelReadComplete();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reading = false;
        trackPartialRequest();
        read();
    }

    /** Starts or stops the time limit for a partially received request. */
    private void trackPartialRequest() {
        boolean part = !ending && !busy && !isWritingResponse() && (decoder.hasPartialRequest() || head != null);
        partialSince = !part ? 0 : partialSince == 0 ? owner.now() : partialSince;
    }

    void read() {
        if (!reading && !decoder.isPaused() && hasRoomForPipelined()) {
            reading = true;
            channel.read();
        }
    }

    private void processPipelined() {
        // The next request waits until the client has read the response: it could pipeline requests and never read.
        while (!busy && !ending && !awaitsContinuation && !isWritingResponse() && !pipelined.isEmpty()) {
            HttpObject o = pipelined.poll();
            try {
                pipelinedBytes -= memoryBytes(o);
                process(o);
            } finally {
                ReferenceCountUtil.release(o);
            }
        }
        if (ending) {
            releasePipelined();
        }
    }

    private static long memoryBytes(HttpObject o) {
        long headBytes = o instanceof HttpRequest r ? Message.headBytes(r.uri(), r.headers()) : 0;
        return headBytes + (o instanceof HttpContent c ? c.content().readableBytes() : 0);
    }

    private void process(HttpObject o) {
        if (o.decoderResult().isFailure()) {
            Throwable cause = o.decoderResult().cause();
            boolean line = cause instanceof TooLongHttpLineException;
            boolean tooLong = cause instanceof TooLongFrameException;
            rejectAndClose(
                    line ? 414 : tooLong ? 431 : 400,
                    line ? "the target is too long" : tooLong ? "the head is too long" : "malformed request");
            return;
        }
        if (o instanceof HttpRequest r) {
            begin(r);
        }
        if (o instanceof HttpContent content && !ending) {
            if (head != null) {
                Body.AddResult added = body.add(content.content());
                if (added != Body.AddResult.TAKEN) {
                    refuseBody(added);
                    return;
                }
            }
            if (content instanceof LastHttpContent last) {
                if (head != null) {
                    complete(last.trailingHeaders());
                }
            }
        }
    }

    private void refuseBody(Body.AddResult added) {
        if (added == Body.AddResult.TOO_LONG) {
            rejectAndClose(413, "the body is too long");
        } else {
            rejectAndClose(503, "too many bodies at once, try again");
        }
    }

    /** Validates the head of a request; any error closes the connection. */
    private void begin(HttpRequest r) {
        keepAlive = HttpUtil.isKeepAlive(r);
        encoder.headOnly(r.method().equals(HttpMethod.HEAD));
        HttpVersion v = r.protocolVersion();
        List<String> hosts = r.headers().getAll(HttpHeaderNames.HOST);
        List<String> coding = r.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        target = Target.of(r.uri(), r.method().name());
        if (!v.equals(HttpVersion.HTTP_1_1) && !v.equals(HttpVersion.HTTP_1_0)) {
            rejectAndClose(505, "this is HTTP/1.1");
        } else if (hosts.size() > 1
                || hosts.isEmpty() && v.equals(HttpVersion.HTTP_1_1)
                || !hosts.isEmpty() && !Clients.HOST.matcher(hosts.get(0)).matches()) {
            rejectAndClose(400, "no Host, or an odd one, or several");
        } else if (!coding.isEmpty()
                && (v.equals(HttpVersion.HTTP_1_0)
                        || coding.size() > 1
                        || !coding.get(0).equalsIgnoreCase("chunked"))) {
            rejectAndClose(v.equals(HttpVersion.HTTP_1_0) ? 400 : 501, "a transfer coding other than chunked");
        } else if (r.method().equals(HttpMethod.CONNECT)) {
            rejectAndClose(501, "this is no tunnel");
        } else if (target == null
                || target.authority() != null
                        && !Clients.HOST.matcher(target.authority()).matches()) {
            rejectAndClose(400, "an odd target");
        } else if (r.headers().contains(HttpHeaderNames.EXPECT)
                && !HttpUtil.is100ContinueExpected(r)
                && v.equals(HttpVersion.HTTP_1_1)) {
            rejectAndClose(417, "nothing to be expected but 100-continue");
        } else {
            host = target.authority() != null ? target.authority() : hosts.isEmpty() ? "" : hosts.get(0);
            route(r);
        }
    }

    /** Finds the route by the head alone; without a pool the body is not needed. */
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
                owner.requestId(r.headers().getAll("Request-Id")),
                r.headers()::getAll);
        found = owner.find(listener, routed);
        Route.PoolTarget to = found.route() == null ? null : found.route().pool();
        long maxBodyBytes = to == null ? 0 : to.limits().maxBodyBytes();
        boolean hasBody = HttpUtil.isTransferEncodingChunked(r) || HttpUtil.getContentLength(r, 0L) > 0;
        if (to != null && HttpUtil.getContentLength(r, 0L) > maxBodyBytes) {
            rejectAndClose(413, "the body is too long"); // rejected without reading, as it may be of any length
            return;
        }
        body = new Body(owner.budget(), maxBodyBytes);
        head = r;
        if (to == null) {
            // Answered by the head alone. If an unneeded body follows, the connection closes.
            keepAlive &= !hasBody;
            inputIncomplete = hasBody;
            complete(new DefaultHttpHeaders());
        } else if (hasBody && HttpUtil.is100ContinueExpected(r) && pipelined.isEmpty()) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private InetSocketAddress local() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Handles a request that has been received completely. */
    private void complete(HttpHeaders trailers) {
        request =
                new PlainRequest(head.method(), head.protocolVersion(), target, routed, head.headers(), body, trailers);
        head = null;
        body = null;
        partialSince = 0;
        busy = true;
        hasServedRequest = true;
        Route route = found.route();
        if (route == null) {
            HttpHeaders h = new DefaultHttpHeaders();
            if (!found.allowedMethods().isEmpty()) {
                h.set(HttpHeaderNames.ALLOW, String.join(", ", found.allowedMethods()));
            }
            respond(found.status(), h, found.status() == 405 ? "this method is not allowed here" : "nothing is here");
        } else if (route.fixedResponse() != null) {
            respondFixed(route);
        } else {
            pendingRequest = owner.onRequest(this, request, found);
        }
    }

    private void respondFixed(Route route) {
        Route.FixedResponse a = route.fixedResponse();
        TemplateValues values = new TemplateValues(request, found.groups(), route.name(), null);
        HttpHeaders h = new DefaultHttpHeaders();
        if (a.location() != null) {
            h.set(HttpHeaderNames.LOCATION, TemplateValues.sanitize(a.location().expand(values)));
        }
        String text = a.body().expand(values);
        if (!text.isEmpty()) {
            h.set(HttpHeaderNames.CONTENT_TYPE, a.type());
        }
        values.change(h, a.headers(), a.status());
        respond(a.status(), h, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Responds with an error, after the open request, and closes the connection. */
    private void rejectAndClose(int status, String error) {
        ending = true;
        inputIncomplete = true;
        endingSince = owner.now();
        partialSince = 0;
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
            owner.setRetryAfter(h);
        }
        respond(status, h, error);
    }

    // ---- responses ----

    /** Responds with a line of text. */
    public void respond(int status, HttpHeaders headers, String text) {
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        respond(status, headers, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private void respond(int status, HttpHeaders headers, byte[] bytes) {
        DefaultFullHttpResponse r = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                owner.budget().wrap(bytes));
        r.headers().add(headers);
        if (status != 204 && status != 304) {
            HttpUtil.setContentLength(r, bytes.length);
        }
        setConnectionHeader(r);
        onResponseWritten(channel.writeAndFlush(r));
    }

    /** Starts a response whose body follows in parts. */
    public void begin(HttpResponse r) {
        responding = true;
        boolean framed = HttpUtil.isContentLengthSet(r)
                || HttpUtil.isTransferEncodingChunked(r)
                || request.isHead()
                || r.status().code() == 204
                || r.status().code() == 304;
        keepAlive &= framed;
        isDelimitedByClose = !framed;
        if (isDelimitedByClose) {
            ResetOnClose.enable(channel);
        }
        setConnectionHeader(r);
        channel.write(r);
    }

    private void setConnectionHeader(HttpResponse r) {
        keepAlive &= !owner.draining() && !listenerClosed;
        if (!keepAlive) {
            r.headers().set(HttpHeaderNames.CONNECTION, "close");
        } else if (request != null && request.version().equals(HttpVersion.HTTP_1_0)) {
            r.headers().set(HttpHeaderNames.CONNECTION, "keep-alive");
        }
    }

    /** Writes a part of the body and takes ownership of the buffer. */
    public void writeContent(ByteBuf bytes) {
        channel.write(new DefaultHttpContent(bytes));
    }

    public void flush() {
        channel.flush();
    }

    /** Returns whether more can be written without buffering too much. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Completes the response. */
    public void complete(HttpHeaders trailers, boolean chunked) {
        LastHttpContent last = LastHttpContent.EMPTY_LAST_CONTENT;
        if (chunked && !trailers.isEmpty()) {
            last = new DefaultLastHttpContent();
            HopByHop.copyTrailers(trailers, last.trailingHeaders());
        }
        onResponseWritten(channel.writeAndFlush(last));
    }

    /** Closes the connection, so that the client can tell that the response is truncated. */
    public void abort() {
        channel.close();
    }

    private void onResponseWritten(ChannelFuture last) {
        lastWritten = last;
        responding = false;
        busy = false;
        pendingRequest = null;
        request = null;
        idleSince = owner.now();
        if (!keepAlive) {
            if (!ending) {
                ending = true;
                endingSince = idleSince;
                decoder.stop();
            }
            last.addListener(f -> closeAfterResponse());
        }
        owner.onResponseSent(this);
        awaitsContinuation = true;
        last.addListener(f -> scheduleContinuation());
    }

    /** Further requests wait for the next turn: hundreds may follow that need no backend and are answered at once. */
    private void scheduleContinuation() {
        if (pipelined.isEmpty()) {
            channel.eventLoop().execute(this::continueAfterResponse);
        } else {
            NextTurn.run(channel.eventLoop(), this::continueAfterResponse);
        }
    }

    private void continueAfterResponse() {
        awaitsContinuation = false;
        processPipelined();
        resumeDecoding();
        trackPartialRequest();
        read();
    }

    /**
     * Closes the connection after the last response. If more of a request is still arriving, an immediate close
     * would make the system reset the connection, which can destroy the response; so input is discarded for
     * LINGER_NS first.
     */
    private void closeAfterResponse() {
        if (isDelimitedByClose) {
            ResetOnClose.disable(channel);
        }
        if (inputIncomplete && channel instanceof DuplexChannel duplex && channel.isActive()) {
            lingerUntil = owner.now() + LINGER_NS;
            duplex.shutdownOutput();
        } else {
            channel.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (pendingRequest != null && responding && channel.isWritable()) {
            pendingRequest.onWritable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        ending = true;
        releasePipelined();
        if (body != null) {
            body.release();
            body = null;
            head = null;
        }
        owner.onClosed(this);
        Clients.PendingRequest t = pendingRequest;
        pendingRequest = null;
        busy = false;
        if (t != null) {
            t.onClientDisconnected();
        }
    }

    private void releasePipelined() {
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        pipelinedBytes = 0;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
