package gullspar.site.backend;

import gullspar.decide.Balancer.Status;
import gullspar.proxy.backend.AnswerDecoder;
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
 * A connection to a server: carries one attempt at a time, and reads no faster than the answer is taken. Its
 * channel reads only when told to.
 */
final class PlainConnection extends ChannelInboundHandlerAdapter implements AnswerDecoder.Listener {
    private static final int MAX_LINE_BYTES = 8 << 10, MAX_HEAD_BYTES = 64 << 10, MAX_INTERIM_RESPONSES = 8;
    /** A server that drains or is gone gets nothing new later than so long after it was told. */
    private static final long DRAIN_GRACE_NS = 500_000_000L;

    /** Who keeps connections that can be used again. */
    interface Owner {
        /** False if it is not kept. */
        boolean keepIdle(PlainConnection c);

        /** An attempt has ended on it, in whatever way. */
        void onAttemptEnded(PlainAttempt a);
    }

    private final PlainBackend backend;
    private final Clock clock;
    private final Owner owner;
    private final AnswerDecoder decoder = new AnswerDecoder(this, MAX_LINE_BYTES, MAX_HEAD_BYTES);
    private Channel channel;
    private long idleSince;
    private PlainAttempt attempt;
    private HttpResponse head;
    private LastHttpContent last;
    private int interimResponses;
    private boolean requestWritten;
    private boolean hasTrailingBytes;
    private boolean streaming;

    PlainConnection(PlainBackend backend, Clock clock, Owner keeper) {
        this.backend = backend;
        this.clock = clock;
        this.owner = keeper;
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

    void close() {
        if (channel != null) { // there is none where the system gave no socket
            channel.close();
        }
    }

    boolean isActive() {
        return channel.isActive();
    }

    long idleSince() {
        return idleSince;
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
        // Connecting takes time: the news that the server drains or is gone may have come meanwhile.
        if (backend.removedAt != 0 && clock.now() - backend.removedAt > DRAIN_GRACE_NS) {
            endUnsent(Status.MOOT);
            return;
        }
        if (!channel.isActive()) {
            endUnsent(Status.CONNECT_FAILED);
            return;
        }
        decoder.expect(a.request.headOnly());
        ByteBuf body = a.request.body();
        if (body.isReadable()) {
            a.mayHaveRun(); // a server may act on a request before all of its body is there
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

    /** False if this is not the head of an answer that is taken on. */
    private boolean startResponse(HttpResponse r) {
        if (!r.protocolVersion().equals(HttpVersion.HTTP_1_1)
                        && !r.protocolVersion().equals(HttpVersion.HTTP_1_0)
                || r.status().code() == 101) {
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
                decoder.expect();
            } else {
                last = end;
                decoder.whole();
            }
        }
    }

    @Override
    public void noise() {
        fail();
    }

    /**
     * More than the answer's length. If another answer begins there, the first one ended where it said.
     * Anything else may as well be the rest of its body under too short a length.
     */
    @Override
    public void trailing(boolean again) {
        if (!hasTrailingBytes && !again) {
            fail();
        }
        hasTrailingBytes = true;
    }

    /** Only now is all seen that came with the answer: a connection that holds more is not used again. */
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
        decoder.quiet();
        // An answer before the whole request was written: the rest of that is still to go out on this one.
        boolean reusable = requestWritten
                && !hasTrailingBytes
                && HttpUtil.isKeepAlive(head)
                && backend.removedAt == 0
                && channel.isActive();
        idleSince = clock.now();
        owner.onAttemptEnded(a);
        if (reusable && owner.keepIdle(this)) {
            channel.read(); // hears of its end, and of noise
        } else {
            channel.close();
        }
        a.onEnd(trailers);
    }

    /** Ends the attempt before the connection: what the decoder still holds must not make it whole. */
    private void fail() {
        PlainAttempt a = attempt;
        attempt = null;
        decoder.quiet();
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
            endResponse(); // the end came in the same go
        }
        fail();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail();
    }
}
