package gullspar.site.backend;

import gullspar.decide.Balancer.Status;
import gullspar.proxy.backend.BackendResponseDecoder;
import gullspar.proxy.backend.IdleConnections;
import gullspar.proxy.http.TransferCodings;
import gullspar.proxy.io.ChannelReads;
import gullspar.proxy.io.Clock;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * A connection to a server. It carries one attempt at a time and reads only on demand, no faster than the response
 * is consumed.
 */
final class PlainConnection extends ChannelInboundHandlerAdapter
        implements BackendResponseDecoder.Listener, IdleConnections.Reusable {
    private static final int MAX_LINE_BYTES = 8 << 10, MAX_HEAD_BYTES = 64 << 10, MAX_INTERIM_RESPONSES = 8;
    /** A server that drains or is removed gets no new request later than this after the notice of it. */
    private static final long DRAIN_GRACE_NS = 500_000_000L;

    /** Keeps idle connections for reuse. */
    interface Owner {
        /** Returns false if the connection is not kept. */
        boolean keepIdle(PlainConnection c);

        /** The server has sent bytes that belong to no response. */
        void onUnexpectedBytes(PlainConnection c);

        /** An attempt on a connection has ended, with any outcome. */
        void onAttemptEnded(PlainAttempt a);
    }

    private final PlainBackend backend;
    private final Clock clock;
    private final Owner owner;
    private final BackendResponseDecoder decoder = new BackendResponseDecoder(this, MAX_LINE_BYTES, MAX_HEAD_BYTES);
    private Channel channel;
    private long idleSinceNs;
    private PlainAttempt attempt;
    private HttpResponse head;
    private LastHttpContent last;
    private int interimResponses;
    private boolean requestWritten;
    private boolean hasTrailingBytes;
    private boolean streaming;

    PlainConnection(PlainBackend backend, Clock clock, Owner owner) {
        this.backend = backend;
        this.clock = clock;
        this.owner = owner;
    }

    void initChannel(Channel c) {
        channel = c;
        c.config().setAutoRead(false);
        c.pipeline().addLast(decoder, new HttpRequestEncoder(), this);
    }

    void setChannel(Channel c) {
        channel = c;
    }

    PlainBackend backend() {
        return backend;
    }

    @Override
    public void close() {
        if (channel != null) { // null if the system could not create a socket
            channel.close();
        }
    }

    @Override
    public boolean readAndCheckUsable() {
        return ChannelReads.readAndCheckActive(channel);
    }

    @Override
    public long idleSinceNs() {
        return idleSinceNs;
    }

    void read() {
        channel.read();
    }

    void begin(PlainAttempt a, long deadline) {
        a.useConnection(this);
        attempt = a;
        head = null;
        last = null;
        interimResponses = 0;
        requestWritten = false;
        hasTrailingBytes = false;
        streaming = false;
        // The notice that the server drains or is removed may have arrived while connecting.
        if (backend.removedAt != 0 && clock.now() - backend.removedAt > DRAIN_GRACE_NS) {
            endUnsent(Status.MOOT);
            return;
        }
        if (!channel.isActive()) {
            endUnsent(Status.CONNECT_FAILED);
            return;
        }
        decoder.expectResponse(a.request.headOnly());
        ByteBuf body = a.request.body();
        if (body.isReadable()) {
            a.mayHaveRun(); // a server may act on a request before it has received the whole body
        }
        channel.write(a.request.head().apply(deadline - clock.now()));
        LastHttpContent end = LastHttpContent.EMPTY_LAST_CONTENT;
        if (!a.request.trailers().isEmpty()) {
            end = new DefaultLastHttpContent();
            end.trailingHeaders().add(a.request.trailers());
        }
        if (body.isReadable()) {
            channel.write(new DefaultHttpContent(body));
        } else {
            body.release();
        }
        channel.writeAndFlush(end).addListener(f -> {
            if (f.isSuccess()) {
                a.mayHaveRun();
                requestWritten = attempt == a || requestWritten;
            } else {
                channel.close();
            }
        });
        channel.read();
    }

    private void endUnsent(Status status) {
        PlainAttempt a = attempt;
        attempt = null;
        a.request.body().release();
        channel.close();
        channel.eventLoop().execute(() -> {
            owner.onAttemptEnded(a);
            a.endFailed(status);
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (attempt == null || ((HttpObject) message).decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            fail();
            return;
        }
        if (message instanceof HttpResponse r && !startResponse(r)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpContent content) {
            onContent(content);
        }
    }

    /** Returns false if this is not the head of an accepted response. */
    private boolean startResponse(HttpResponse r) {
        if (!r.protocolVersion().equals(HttpVersion.HTTP_1_1)
                        && !r.protocolVersion().equals(HttpVersion.HTTP_1_0)
                || r.status().code() == 101
                || !TransferCodings.areSupported(r)) {
            fail();
            return false;
        }
        head = r;
        if (r.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            if (++interimResponses > MAX_INTERIM_RESPONSES) {
                fail();
            }
            return true;
        }
        PlainAttempt a = attempt;
        streaming = a.onHead(r);
        if (!streaming) {
            attempt = null;
            channel.close();
            owner.onAttemptEnded(a);
        }
        return streaming;
    }

    private void onContent(HttpContent content) {
        boolean interimEnd = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (content.content().isReadable() && streaming && !interimEnd) {
            attempt.listener.onContent(content.content());
        } else {
            content.release();
        }
        if (content instanceof LastHttpContent end) {
            if (interimEnd) {
                decoder.expectResponse();
            } else {
                last = end;
                decoder.responseComplete();
            }
        }
    }

    @Override
    public void onUnexpectedBytes() {
        owner.onUnexpectedBytes(this);
        fail();
    }

    /**
     * Bytes follow the declared length of the response. If they start another response, the first one ended where
     * declared. Anything else may be the rest of a body whose declared length is too short.
     */
    @Override
    public void onTrailingBytes(boolean startsResponse) {
        owner.onUnexpectedBytes(this);
        if (!hasTrailingBytes && !startsResponse) {
            fail();
        }
        hasTrailingBytes = true;
    }

    /** Ends a response only after the whole read: a connection with bytes left over must not be reused. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (attempt == null) {
            return;
        }
        if (last != null) {
            endResponse();
        } else if (!streaming || attempt.listener.onReadComplete()) {
            channel.read();
        }
    }

    private void endResponse() {
        PlainAttempt a = attempt;
        HttpHeaders trailers = last.trailingHeaders();
        attempt = null;
        decoder.expectNothing();
        // A response may precede the end of the request, whose rest is then still to be written on this
        // connection.
        boolean reusable = requestWritten
                && !hasTrailingBytes
                && HttpUtil.isKeepAlive(head)
                && backend.removedAt == 0
                && channel.isActive();
        idleSinceNs = clock.now();
        owner.onAttemptEnded(a);
        if (reusable && owner.keepIdle(this)) {
            channel.read(); // detects the close and unexpected bytes
        } else {
            channel.close();
        }
        a.onEnd(trailers);
    }

    /** Ends the attempt before closing: bytes still held by the decoder must not complete it. */
    private void fail() {
        PlainAttempt a = attempt;
        attempt = null;
        decoder.abandon();
        backend.idle.remove(this);
        channel.close();
        if (a != null) {
            owner.onAttemptEnded(a);
            a.connectionFailed();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (last != null && attempt != null) {
            endResponse(); // the close arrived in the same read
        }
        fail();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail();
    }
}
