package gullspar.site.backend;

import gullspar.decide.Balancer.Status;
import gullspar.proxy.backend.BackendResponseDecoder;
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
final class PlainConnection extends ChannelInboundHandlerAdapter implements BackendResponseDecoder.Listener {
    private static final int LONGEST_LINE = 8 << 10, LONGEST_HEAD = 64 << 10, MOST_INTERIM = 8;
    /** A server that drains or is gone gets nothing new later than so long after it was told. */
    private static final long DRAIN_GRACE_NS = 500_000_000L;

    /** Who keeps connections that can be used again. */
    interface Keeper {
        /** False if it is not kept. */
        boolean keep(PlainConnection c);

        /** An attempt has ended on it, in whatever way. */
        void done(PlainAttempt a);
    }

    private final PlainBackend backend;
    private final Clock clock;
    private final Keeper keeper;
    private final BackendResponseDecoder decoder = new BackendResponseDecoder(this, LONGEST_LINE, LONGEST_HEAD);
    private Channel channel;
    private long idleSince;
    private PlainAttempt attempt;
    private HttpResponse head;
    private LastHttpContent last;
    private int interim;
    private boolean written;
    private boolean trailed;
    private boolean streaming;

    PlainConnection(PlainBackend backend, Clock clock, Keeper keeper) {
        this.backend = backend;
        this.clock = clock;
        this.keeper = keeper;
    }

    void openOn(Channel c) {
        channel = c;
        c.config().setAutoRead(false);
        c.pipeline().addLast(decoder, new HttpRequestEncoder(), this);
    }

    void opening(Channel c) {
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

    boolean active() {
        return channel.isActive();
    }

    long idleSince() {
        return idleSince;
    }

    void more() {
        channel.read();
    }

    void begin(PlainAttempt a, long deadline) {
        a.over(this);
        attempt = a;
        head = null;
        last = null;
        interim = 0;
        written = false;
        trailed = false;
        streaming = false;
        // Connecting takes time: the news that the server drains or is gone may have come meanwhile.
        if (backend.leftAt != 0 && clock.now() - backend.leftAt > DRAIN_GRACE_NS) {
            refuse(Status.MOOT);
            return;
        }
        if (!channel.isActive()) {
            refuse(Status.CONNECT_FAILED);
            return;
        }
        decoder.expectResponse(a.sending.headOnly());
        ByteBuf body = a.sending.body();
        if (body.isReadable()) {
            a.mayHaveRun(); // a server may act on a request before all of its body is there
        }
        channel.write(a.sending.head().apply(deadline - clock.now()));
        LastHttpContent end = LastHttpContent.EMPTY_LAST_CONTENT;
        if (!a.sending.trailers().isEmpty()) {
            end = new DefaultLastHttpContent();
            end.trailingHeaders().add(a.sending.trailers());
        }
        if (body.isReadable()) {
            channel.write(new DefaultHttpContent(body));
        } else {
            body.release();
        }
        channel.writeAndFlush(end).addListener(f -> {
            if (f.isSuccess()) {
                a.mayHaveRun();
                written = attempt == a || written;
            } else {
                channel.close();
            }
        });
        channel.read();
    }

    private void refuse(Status status) {
        PlainAttempt a = attempt;
        attempt = null;
        a.sending.body().release();
        channel.close();
        channel.eventLoop().execute(() -> {
            keeper.done(a);
            a.lost(status);
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (attempt == null || ((HttpObject) message).decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            broken();
            return;
        }
        if (message instanceof HttpResponse r && !begins(r)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpContent content) {
            content(content);
        }
    }

    /** False if this is not the head of an answer that is taken on. */
    private boolean begins(HttpResponse r) {
        if (!r.protocolVersion().equals(HttpVersion.HTTP_1_1)
                        && !r.protocolVersion().equals(HttpVersion.HTTP_1_0)
                || r.status().code() == 101) {
            broken();
            return false;
        }
        head = r;
        if (r.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            if (++interim > MOST_INTERIM) {
                broken();
            }
            return true;
        }
        PlainAttempt a = attempt;
        streaming = a.head(r);
        if (!streaming) {
            attempt = null;
            channel.close();
            keeper.done(a);
        }
        return streaming;
    }

    private void content(HttpContent content) {
        boolean interimEnd = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (content.content().isReadable() && streaming && !interimEnd) {
            attempt.listener.piece(content.content());
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
        broken();
    }

    /**
     * More than the answer's length. If another answer begins there, the first one ended where it said.
     * Anything else may as well be the rest of its body under too short a length.
     */
    @Override
    public void onTrailingBytes(boolean again) {
        if (!trailed && !again) {
            broken();
        }
        trailed = true;
    }

    /** Only now is all seen that came with the answer: a connection that holds more is not used again. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (attempt == null) {
            return;
        }
        if (last != null) {
            whole();
        } else if (!streaming || attempt.listener.wantsMore()) {
            channel.read();
        }
    }

    private void whole() {
        PlainAttempt a = attempt;
        HttpHeaders trailers = last.trailingHeaders();
        attempt = null;
        decoder.expectNothing();
        // An answer before the whole request was written: the rest of that is still to go out on this one.
        boolean again = written && !trailed && HttpUtil.isKeepAlive(head) && backend.leftAt == 0 && channel.isActive();
        idleSince = clock.now();
        keeper.done(a);
        if (again && keeper.keep(this)) {
            channel.read(); // hears of its end, and of noise
        } else {
            channel.close();
        }
        a.whole(trailers);
    }

    /** Ends the attempt before the connection: what the decoder still holds must not make it whole. */
    private void broken() {
        PlainAttempt a = attempt;
        attempt = null;
        decoder.expectNothing();
        backend.idle.remove(this);
        channel.close();
        if (a != null) {
            keeper.done(a);
            a.broken();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (last != null && attempt != null) {
            whole(); // the end came in the same go
        }
        broken();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broken();
    }
}
