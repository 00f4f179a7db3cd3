package gullspar.proxy.backend;

import gullspar.decide.Balancer.Status;
import gullspar.proxy.http.BodyStream;
import gullspar.proxy.http.BodyStreamWriter;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.Clock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/** A connection: carries one attempt at a time. */
final class Connection extends SimpleChannelInboundHandler<HttpObject> implements AnswerDecoder.Listener {
    /** Interim (1xx) answers ahead of one final answer. */
    private static final int MOST_INTERIM = 8;

    private static final int LONGEST_LINE = 1024, LONGEST_HEAD = 8 << 10;
    /** A backend that reads nothing of a request for so long is given up. */
    private static final long UPLOAD_STALL_NS = 2_000_000_000L;

    private final Backend backend;
    /** The process that it leads to: where that was and when it had started. */
    private final InetSocketAddress address;

    private final long bootNs;
    private final EventLoop loop;
    private final Clock clock;
    private final long drainGraceNs;
    private final AnswerDecoder decoder = new AnswerDecoder(this, LONGEST_LINE, LONGEST_HEAD);
    private Channel channel;
    private long idleSince;
    private Attempt attempt;
    private HttpResponse head;
    private ByteBuf body;
    private int interim;
    /** The answer has ended, but what came with it is still to be seen. */
    private boolean whole;

    private boolean trailed;
    /** The answer is passed on while it comes; null if it is held, or none comes. */
    private BodyStream rest;

    private long passed;
    private ScheduledFuture<?> watch;
    private final BodyStreamWriter writer = new BodyStreamWriter();
    private long sentAt;

    Connection(Backend backend, EventLoop loop, Clock clock, long drainGraceNs) {
        this.backend = backend;
        this.address = backend.address;
        this.bootNs = backend.bootNs;
        this.loop = loop;
        this.clock = clock;
        this.drainGraceNs = drainGraceNs;
    }

    /** The channel that it will be, before that is open; null where there is none. */
    void opening(Channel c) {
        channel = c;
    }

    void openOn(Channel c) {
        c.pipeline().addLast(decoder, new HttpRequestEncoder(), this);
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    boolean active() {
        return channel.isActive();
    }

    long idleSince() {
        return idleSince;
    }

    void begin(Attempt a) {
        a.over(this);
        // Connecting takes time: meanwhile the news may have come that the backend drains or is gone, the
        // request may be nobody's any more, the time may be over in which its repeats are dropped, and the
        // backend may have closed again.
        if (backend.leftAt != 0 && clock.now() - backend.leftAt > drainGraceNs || !a.mayBegin()) {
            channel.close();
            loop.execute(() -> a.end(Status.MOOT, null, null));
            return;
        }
        if (!channel.isActive()) {
            loop.execute(() -> a.end(Status.CONNECT_FAILED, null, null));
            return;
        }
        attempt = a;
        head = null;
        interim = 0;
        whole = false;
        trailed = false;
        rest = null;
        passed = 0;
        body = Unpooled.buffer(512, Message.MAX_BUFFERED_RESPONSE_BYTES);
        decoder.expect();
        BodyStream upload = a.request().bodyStream();
        if (upload == null) {
            channel.writeAndFlush(a.toWrite(), tellsOf(a));
            return;
        }
        sentAt = clock.now();
        writer.writeFirst(() -> {
            channel.write(a.toWrite());
            channel.writeAndFlush(new DefaultHttpContent(a.request().body().bytes()));
        });
        watch = loop.scheduleWithFixedDelay(
                () -> {
                    if ((a.isSent() || !channel.isWritable()) && clock.now() - sentAt > UPLOAD_STALL_NS) {
                        a.stuck();
                    }
                },
                UPLOAD_STALL_NS / 4,
                UPLOAD_STALL_NS / 4,
                TimeUnit.NANOSECONDS);
        upload.setReader(this::upload);
        upload();
    }

    /** It listens before anything is written: within one process an answer may come from inside the write. */
    private ChannelPromise tellsOf(Attempt a) {
        return channel.newPromise().addListener(f -> written(a, f.isSuccess()));
    }

    private void written(Attempt a, boolean success) {
        if (watch != null) {
            watch.cancel(false);
        }
        if (success) {
            a.written();
        } else if (attempt == a) {
            broken(); // before its last byte was handed over: it never ran
        } else {
            channel.close();
        }
    }

    /** Passes on what has come of the request, as far as the backend takes it. */
    private void upload() {
        Attempt a = attempt;
        BodyStream upload = a == null ? null : a.request().bodyStream();
        if (upload == null
                || a.isSent()
                || !writer.write(channel, upload, () -> attempt == a, () -> sentAt = clock.now())) {
            return;
        }
        if (attempt == a && upload.isFullyRead()) {
            a.sent();
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT, tellsOf(a));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        upload();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (attempt == null && rest == null || message.decoderResult().isFailure()) {
            broken();
            return;
        }
        if (message instanceof HttpResponse r) {
            head = r;
            boolean informs = r.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (informs ? ++interim > MOST_INTERIM || r.status().code() == 101 : !Answers.framed(r)) {
                broken();
                return;
            }
            if (!informs && HttpUtil.getContentLength(r, 0L) > Message.MAX_BUFFERED_RESPONSE_BYTES && !passOn()) {
                return;
            }
        }
        if (message instanceof HttpContent content && !content(content.content())) {
            broken();
            return;
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

    /** Some of the body: held, or passed on; false if there is more of it than there may be. */
    private boolean content(ByteBuf bytes) {
        if (rest == null && bytes.readableBytes() > body.maxWritableBytes() && !passOn()) {
            return false;
        }
        if (rest == null) {
            body.writeBytes(bytes);
            return true;
        }
        passed += bytes.readableBytes();
        if (passed > Message.MAX_BODY_BYTES) {
            return false;
        }
        if (bytes.isReadable() && !rest.add(bytes.retain())) {
            channel.config().setAutoRead(false);
        }
        return true;
    }

    /** The answer is too large to be held: the attempt has been served, and the rest is passed on. */
    private boolean passOn() {
        Attempt a = attempt;
        if (Answers.status(head) != Status.OK || !a.isWritten()) {
            broken(); // nothing of a failure is passed on, nor what comes ahead of the whole request
            return false;
        }
        attempt = null;
        rest = new BodyStream(() -> channel.config().setAutoRead(true), this::unwanted);
        passed = body.readableBytes();
        byte[] bytes = new byte[body.readableBytes()];
        body.readBytes(bytes);
        a.end(Status.OK, LoadReport.last(head.headers().getAll("Server-Load")), new Answer(head, bytes, rest));
        return true;
    }

    /**
     * Nobody wants the rest of the answer. Once all of it has come the connection may carry another attempt,
     * which has nothing to do with that.
     */
    private void unwanted() {
        if (rest != null) {
            channel.close();
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
        } else if (whole && rest != null) {
            passedOn();
        }
    }

    private void passedOn() {
        BodyStream all = rest;
        rest = null;
        decoder.quiet();
        // What waits for the client is its own matter: the next answer on this connection must be read.
        channel.config().setAutoRead(true);
        keepOrClose(true);
        all.complete();
    }

    private void keepOrClose(boolean written) {
        if (written
                && !trailed
                && HttpUtil.isKeepAlive(head)
                && backend.leftAt == 0
                && backend.bootNs == bootNs
                && Objects.equals(backend.address, address)) {
            idleSince = clock.now();
            backend.idle.addLast(this);
        } else {
            channel.close();
        }
    }

    private void served() {
        Attempt a = attempt;
        Status status = Answers.status(head);
        if (status == Status.OK && !a.isWritten()) {
            broken(); // ahead of the whole request nothing has begun: it is the answer to something else
            return;
        }
        byte[] bytes = new byte[body.readableBytes()];
        body.readBytes(bytes);
        attempt = null;
        decoder.quiet();
        keepOrClose(a.isWritten());
        a.end(
                status,
                LoadReport.last(head.headers().getAll("Server-Load")),
                status == Status.OK || status == Status.MOOT ? new Answer(head, bytes, null) : null);
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
        if (watch != null) {
            watch.cancel(false);
        }
        if (a != null) {
            a.broken();
        }
        if (rest != null) {
            BodyStream cut = rest;
            rest = null;
            cut.abort();
        }
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (whole && attempt != null) {
            served(); // the end came in the same go
        } else if (whole && rest != null) {
            passedOn();
        }
        broken();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
