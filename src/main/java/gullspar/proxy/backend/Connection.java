package gullspar.proxy.backend;

import gullspar.decide.Balancer.Status;
import gullspar.proxy.http.Message;
import gullspar.proxy.http.PieceWriter;
import gullspar.proxy.http.Pieces;
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
final class Connection extends SimpleChannelInboundHandler<HttpObject> implements BackendResponseDecoder.Listener {
    /** Interim (1xx) answers ahead of one final answer. */
    private static final int MAX_INTERIM_RESPONSES = 8;

    private static final int MAX_STATUS_LINE_BYTES = 1024, MAX_HEAD_BYTES = 8 << 10;
    /** A backend that reads nothing of a request for so long is given up. */
    private static final long UPLOAD_STALL_TIMEOUT_NS = 2_000_000_000L;

    private final Backend backend;
    /** The process that it leads to: where that was and when it had started. */
    private final InetSocketAddress address;

    private final long bootNs;
    private final EventLoop loop;
    private final Clock clock;
    private final long drainGraceNs;
    private final BackendResponseDecoder decoder =
            new BackendResponseDecoder(this, MAX_STATUS_LINE_BYTES, MAX_HEAD_BYTES);
    private Channel channel;
    private long idleSinceNs;
    private Attempt attempt;
    private HttpResponse head;
    private ByteBuf body;
    private int interimCount;
    /** The answer has ended, but what came with it is still to be seen. */
    private boolean isResponseComplete;

    private boolean hasTrailingBytes;
    /** The answer is passed on while it comes; null if it is held, or none comes. */
    private Pieces rest;

    private long streamedBytes;
    private ScheduledFuture<?> stallCheck;
    private final PieceWriter uploadWriter = new PieceWriter();
    private long uploadProgressNs;

    Connection(Backend backend, EventLoop loop, Clock clock, long drainGraceNs) {
        this.backend = backend;
        this.address = backend.address;
        this.bootNs = backend.bootNs;
        this.loop = loop;
        this.clock = clock;
        this.drainGraceNs = drainGraceNs;
    }

    /** The channel that it will be, before that is open; null where there is none. */
    void setChannel(Channel c) {
        channel = c;
    }

    void initPipeline(Channel c) {
        c.pipeline().addLast(decoder, new HttpRequestEncoder(), this);
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    boolean isActive() {
        return channel.isActive();
    }

    long idleSinceNs() {
        return idleSinceNs;
    }

    void start(Attempt a) {
        a.setConnection(this);
        // Connecting takes time: meanwhile the news may have come that the backend drains or is gone, the
        // request may be nobody's any more, the time may be over in which its repeats are dropped, and the
        // backend may have closed again.
        if (backend.leftAtNs != 0 && clock.now() - backend.leftAtNs > drainGraceNs || !a.canStart()) {
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
        interimCount = 0;
        isResponseComplete = false;
        hasTrailingBytes = false;
        rest = null;
        streamedBytes = 0;
        body = Unpooled.buffer(512, Message.MOST_HELD);
        decoder.expectResponse();
        Pieces upload = a.request().rest();
        if (upload == null) {
            channel.writeAndFlush(a.toHttpRequest(), writePromise(a));
            return;
        }
        uploadProgressNs = clock.now();
        uploadWriter.ahead(() -> {
            channel.write(a.toHttpRequest());
            channel.writeAndFlush(new DefaultHttpContent(a.request().body().bytes()));
        });
        stallCheck = loop.scheduleWithFixedDelay(
                () -> {
                    if ((a.isSent() || !channel.isWritable())
                            && clock.now() - uploadProgressNs > UPLOAD_STALL_TIMEOUT_NS) {
                        a.failUnread();
                    }
                },
                UPLOAD_STALL_TIMEOUT_NS / 4,
                UPLOAD_STALL_TIMEOUT_NS / 4,
                TimeUnit.NANOSECONDS);
        upload.to(this::continueUpload);
        continueUpload();
    }

    /** It listens before anything is written: within one process an answer may come from inside the write. */
    private ChannelPromise writePromise(Attempt a) {
        return channel.newPromise().addListener(f -> onWriteComplete(a, f.isSuccess()));
    }

    private void onWriteComplete(Attempt a, boolean success) {
        if (stallCheck != null) {
            stallCheck.cancel(false);
        }
        if (success) {
            a.written();
        } else if (attempt == a) {
            fail(); // before its last byte was handed over: it never ran
        } else {
            channel.close();
        }
    }

    /** Passes on what has come of the request, as far as the backend takes it. */
    private void continueUpload() {
        Attempt a = attempt;
        Pieces upload = a == null ? null : a.request().rest();
        if (upload == null
                || a.isSent()
                || !uploadWriter.write(channel, upload, () -> attempt == a, () -> uploadProgressNs = clock.now())) {
            return;
        }
        if (attempt == a && upload.taken()) {
            a.sent();
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT, writePromise(a));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        continueUpload();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (attempt == null && rest == null || message.decoderResult().isFailure()) {
            fail();
            return;
        }
        if (message instanceof HttpResponse r) {
            head = r;
            boolean isInterim = r.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (isInterim
                    ? ++interimCount > MAX_INTERIM_RESPONSES || r.status().code() == 101
                    : !ResponseHeads.hasKnownLength(r)) {
                fail();
                return;
            }
            if (!isInterim && HttpUtil.getContentLength(r, 0L) > Message.MOST_HELD && !startStreaming()) {
                return;
            }
        }
        if (message instanceof HttpContent content && !acceptContent(content.content())) {
            fail();
            return;
        }
        if (message instanceof LastHttpContent) {
            if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                decoder.expectResponse();
            } else {
                isResponseComplete = true;
                decoder.responseComplete();
            }
        }
    }

    /** Some of the body: held, or passed on; false if there is more of it than there may be. */
    private boolean acceptContent(ByteBuf bytes) {
        if (rest == null && bytes.readableBytes() > body.maxWritableBytes() && !startStreaming()) {
            return false;
        }
        if (rest == null) {
            body.writeBytes(bytes);
            return true;
        }
        streamedBytes += bytes.readableBytes();
        if (streamedBytes > Message.MOST_BYTES) {
            return false;
        }
        if (bytes.isReadable() && !rest.add(bytes.retain())) {
            channel.config().setAutoRead(false);
        }
        return true;
    }

    /** The answer is too large to be held: the attempt has been served, and the rest is passed on. */
    private boolean startStreaming() {
        Attempt a = attempt;
        if (ResponseHeads.statusOf(head) != Status.OK || !a.isWritten()) {
            fail(); // nothing of a failure is passed on, nor what comes ahead of the whole request
            return false;
        }
        attempt = null;
        rest = new Pieces(() -> channel.config().setAutoRead(true), this::abortStreaming);
        streamedBytes = body.readableBytes();
        byte[] bytes = new byte[body.readableBytes()];
        body.readBytes(bytes);
        a.end(
                Status.OK,
                LoadReport.lastValid(head.headers().getAll("Server-Load")),
                new BackendResponse(head, bytes, rest));
        return true;
    }

    /**
     * Nobody wants the rest of the answer. Once all of it has come the connection may carry another attempt,
     * which has nothing to do with that.
     */
    private void abortStreaming() {
        if (rest != null) {
            channel.close();
        }
    }

    @Override
    public void onUnexpectedBytes() {
        fail();
    }

    /**
     * More than the answer's length. If another answer begins there, the first one ended where it said.
     * Anything else may as well be the rest of its body under too short a length: that is not served.
     */
    @Override
    public void onTrailingBytes(boolean again) {
        if (!hasTrailingBytes && !again) {
            fail();
        }
        hasTrailingBytes = true;
    }

    /** Only now is all seen that came with the answer: a connection that holds more is not used again. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (isResponseComplete && attempt != null) {
            finishBuffered();
        } else if (isResponseComplete && rest != null) {
            finishStreaming();
        }
    }

    private void finishStreaming() {
        Pieces completed = rest;
        rest = null;
        decoder.expectNothing();
        // What waits for the client is its own matter: the next answer on this connection must be read.
        channel.config().setAutoRead(true);
        keepOrClose(true);
        completed.whole();
    }

    private void keepOrClose(boolean isRequestWritten) {
        if (isRequestWritten
                && !hasTrailingBytes
                && HttpUtil.isKeepAlive(head)
                && backend.leftAtNs == 0
                && backend.bootNs == bootNs
                && Objects.equals(backend.address, address)) {
            idleSinceNs = clock.now();
            backend.idle.addLast(this);
        } else {
            channel.close();
        }
    }

    private void finishBuffered() {
        Attempt a = attempt;
        Status status = ResponseHeads.statusOf(head);
        if (status == Status.OK && !a.isWritten()) {
            fail(); // ahead of the whole request nothing has begun: it is the answer to something else
            return;
        }
        byte[] bytes = new byte[body.readableBytes()];
        body.readBytes(bytes);
        attempt = null;
        decoder.expectNothing();
        keepOrClose(a.isWritten());
        a.end(
                status,
                LoadReport.lastValid(head.headers().getAll("Server-Load")),
                status == Status.OK || status == Status.MOOT ? new BackendResponse(head, bytes, null) : null);
    }

    /**
     * Ends the attempt before the connection: as it closes, the decoder passes on what it holds, and that
     * must not make a whole answer of one that was found wanting.
     */
    private void fail() {
        Attempt a = attempt;
        attempt = null;
        decoder.expectNothing();
        backend.idle.remove(this);
        if (stallCheck != null) {
            stallCheck.cancel(false);
        }
        if (a != null) {
            a.onConnectionLost();
        }
        if (rest != null) {
            Pieces truncated = rest;
            rest = null;
            truncated.broken();
        }
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (isResponseComplete && attempt != null) {
            finishBuffered(); // the end came in the same go
        } else if (isResponseComplete && rest != null) {
            finishStreaming();
        }
        fail();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
