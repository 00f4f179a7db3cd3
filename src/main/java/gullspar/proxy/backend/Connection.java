package gullspar.proxy.backend;

import gullspar.decide.Balancer.Status;
import gullspar.proxy.http.BodyStream;
import gullspar.proxy.http.BodyStreamWriter;
import gullspar.proxy.http.MemoryBudget;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.ChannelReads;
import gullspar.proxy.io.Clock;
import gullspar.proxy.io.PartLimitedReads;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
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
import java.util.function.Consumer;

/** A connection to a backend; carries one attempt at a time. */
final class Connection extends SimpleChannelInboundHandler<HttpObject>
        implements BackendResponseDecoder.Listener, IdleConnections.Reusable {
    /** Limits the interim (1xx) responses before one final response. */
    private static final int MAX_INTERIM_RESPONSES = 8;

    private static final int MAX_STATUS_LINE_BYTES = 1024;
    private static final int MAX_HEAD_BYTES = 8 << 10;
    /** The attempt fails if the backend reads nothing of the request for this long. */
    private static final long UPLOAD_STALL_TIMEOUT_NS = 2_000_000_000L;

    /** Buffers of up to 16 KiB, of which up to 16 are read in a turn. */
    private static final RecvByteBufAllocator READ_BUFFERS =
            new AdaptiveRecvByteBufAllocator(1024, 2048, 16 << 10).maxMessagesPerRead(16);

    private final Backend backend;
    /** Address of the process at the other end. */
    private final InetSocketAddress address;
    /** Start time of that process. */
    private final long bootNs;

    private final EventLoop loop;
    private final Clock clock;
    private final long drainGraceNs;
    private final MemoryBudget budget;
    private final Consumer<Backend> unexpectedBytesListener;
    private final ResponseFailureLog failures;
    private final BackendResponseDecoder decoder =
            new BackendResponseDecoder(this, MAX_STATUS_LINE_BYTES, MAX_HEAD_BYTES);
    private Channel channel;
    private long idleSinceNs;
    private Attempt attempt;
    /** The id of the last request, for the log. */
    private String requestId;
    /** The last head that was received, of an interim or a final response; null if none was. */
    private HttpResponse head;

    private ByteBuf body;
    /** Bytes of the body's buffer that are reserved in the budget. */
    private int reservedBytes;

    private int interimCount;
    /** The response has ended, but the rest of that read is not yet processed. */
    private boolean isResponseComplete;
    /** Bytes followed the complete response, so the connection is not reused. */
    private boolean hasTrailingBytes;
    /** The response that is streamed to the client; null if it is buffered, or none is expected. */
    private BodyStream rest;
    /** Length of the streamed body so far. */
    private long streamedBytes;

    private ScheduledFuture<?> stallCheck;
    private final BodyStreamWriter uploadWriter = new BodyStreamWriter();
    private long uploadProgressNs;

    Connection(
            Backend backend,
            EventLoop loop,
            Clock clock,
            long drainGraceNs,
            MemoryBudget budget,
            Consumer<Backend> unexpectedBytesListener,
            ResponseFailureLog failures) {
        this.budget = budget;
        this.unexpectedBytesListener = unexpectedBytesListener;
        this.failures = failures;
        this.backend = backend;
        this.address = backend.address;
        this.bootNs = backend.bootNs;
        this.loop = loop;
        this.clock = clock;
        this.drainGraceNs = drainGraceNs;
    }

    /** Sets the channel before it is open; null if no socket could be created. */
    void setChannel(Channel c) {
        channel = c;
    }

    void initPipeline(Channel c) {
        c.config().setRecvByteBufAllocator(new PartLimitedReads(READ_BUFFERS, decoder::decodedParts));
        c.pipeline().addLast(decoder, new HttpRequestEncoder(), this);
    }

    @Override
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public boolean readAndCheckUsable() {
        return channel != null && ChannelReads.readAndCheckActive(channel);
    }

    @Override
    public long idleSinceNs() {
        return idleSinceNs;
    }

    void start(Attempt newAttempt) {
        newAttempt.setConnection(this);
        // While connecting, the backend may have been reported as draining or gone, the request may have been
        // abandoned, the window in which its repeats are dropped may have ended, and the backend may have closed
        // the connection.
        boolean hasDrained = backend.leftAtNs != 0 && clock.now() - backend.leftAtNs > drainGraceNs;
        if (hasDrained || leadsElsewhere() || !newAttempt.canStart()) {
            channel.close();
            loop.execute(() -> newAttempt.end(Status.MOOT, null, null));
            return;
        }
        if (!channel.isActive()) {
            loop.execute(() -> newAttempt.end(Status.CONNECT_FAILED, null, null));
            return;
        }
        attempt = newAttempt;
        requestId = newAttempt.request().id();
        head = null;
        interimCount = 0;
        isResponseComplete = false;
        hasTrailingBytes = false;
        rest = null;
        streamedBytes = 0;
        body = Unpooled.buffer(512, Message.MAX_BUFFERED_RESPONSE_BYTES);
        decoder.expectResponse();
        BodyStream upload = newAttempt.request().bodyStream();
        if (upload == null) {
            channel.writeAndFlush(newAttempt.toHttpRequest(), writePromise(newAttempt));
            return;
        }
        uploadProgressNs = clock.now();
        uploadWriter.writeFirst(() -> {
            channel.write(newAttempt.toHttpRequest());
            channel.writeAndFlush(
                    new DefaultHttpContent(newAttempt.request().body().bytes()));
        });
        stallCheck = loop.scheduleWithFixedDelay(
                () -> {
                    if ((newAttempt.isSent() || !channel.isWritable())
                            && clock.now() - uploadProgressNs > UPLOAD_STALL_TIMEOUT_NS) {
                        newAttempt.failUnread();
                    }
                },
                UPLOAD_STALL_TIMEOUT_NS / 4,
                UPLOAD_STALL_TIMEOUT_NS / 4,
                TimeUnit.NANOSECONDS);
        upload.setReader(this::continueUpload);
        continueUpload();
    }

    /** Whether the process at the other end may be another backend's by now: this one has gone or has moved. */
    private boolean leadsElsewhere() {
        return backend.isGone || !Objects.equals(backend.address, address);
    }

    /** Has its listener before the write starts: on an in-process channel the response may arrive during the write. */
    private ChannelPromise writePromise(Attempt writtenAttempt) {
        return channel.newPromise().addListener(f -> onWriteComplete(writtenAttempt, f.isSuccess()));
    }

    private void onWriteComplete(Attempt writtenAttempt, boolean success) {
        if (stallCheck != null) {
            stallCheck.cancel(false);
        }
        if (success) {
            writtenAttempt.markWritten();
        } else if (attempt == writtenAttempt) {
            // The backend has not started the request.
            fail(ResponseFailure.REQUEST_NOT_WRITTEN);
        } else {
            channel.close();
        }
    }

    /** Writes the received part of the request, as far as the backend accepts it. */
    private void continueUpload() {
        Attempt current = attempt;
        BodyStream upload = current == null ? null : current.request().bodyStream();
        if (upload == null
                || current.isSent()
                || !uploadWriter.write(
                        channel, upload, () -> attempt == current, () -> uploadProgressNs = clock.now())) {
            return;
        }
        if (attempt == current && upload.isFullyRead()) {
            current.markSent();
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT, writePromise(current));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        continueUpload();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (attempt == null && rest == null || message.decoderResult().isFailure()) {
            fail(ResponseFailure.MALFORMED);
            return;
        }
        if (message instanceof HttpResponse r && !acceptHead(r)) {
            return;
        }
        if (message instanceof HttpContent content && !acceptContent(content.content())) {
            fail(ResponseFailure.TOO_LONG);
            return;
        }
        if (message instanceof LastHttpContent) {
            if (hasInterimHead()) {
                decoder.expectResponse();
            } else {
                isResponseComplete = true;
                decoder.responseComplete();
            }
        }
    }

    private boolean hasInterimHead() {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    /** Handles a head; returns false if the response was failed. */
    private boolean acceptHead(HttpResponse r) {
        head = r;
        if (hasInterimHead()) {
            if (++interimCount > MAX_INTERIM_RESPONSES || r.status().code() == 101) {
                fail(ResponseFailure.UNEXPECTED_INTERIM);
                return false;
            }
            return true;
        }
        ResponseFailure refusal = ResponseHeads.refusalOf(r);
        if (refusal != null) {
            fail(refusal);
            return false;
        }
        if (attempt != null) {
            attempt.markBegun();
        }
        return HttpUtil.getContentLength(r, 0L) <= Message.MAX_BUFFERED_RESPONSE_BYTES || startStreaming();
    }

    /** Buffers or streams a part of the body; returns false if the body exceeds its limit. */
    private boolean acceptContent(ByteBuf bytes) {
        if (rest == null && bytes.readableBytes() > body.maxWritableBytes() && !startStreaming()) {
            return false;
        }
        if (rest == null) {
            body.writeBytes(bytes);
            reserveBody(body.capacity());
            return true;
        }
        streamedBytes += bytes.readableBytes();
        if (streamedBytes > Message.MAX_BODY_BYTES) {
            return false;
        }
        if (bytes.isReadable() && !rest.add(bytes.retain())) {
            channel.config().setAutoRead(false);
        }
        return true;
    }

    /** Reserves this many bytes for the buffered body instead of those reserved so far. */
    private void reserveBody(int bytes) {
        budget.reserve(MemoryBudget.Use.RESPONSES, bytes - reservedBytes);
        reservedBytes = bytes;
    }

    /**
     * Ends an attempt by a time limit with the response that has begun; does nothing if none has. A successful response
     * is streamed from here on; the status of another one is known without its body.
     */
    void endWithBegunResponse(Attempt timedOut) {
        boolean hasBegun = attempt == timedOut && head != null && !hasInterimHead();
        if (!hasBegun || !timedOut.isWritten()) {
            return;
        }
        if (ResponseHeads.statusOf(head) == Status.OK) {
            startStreaming();
            return;
        }
        endWithStatus(timedOut);
    }

    /** Ends the attempt with the status of a response whose body is not needed, and closes the connection. */
    private void endWithStatus(Attempt endedAttempt) {
        attempt = null;
        decoder.abandon();
        endBuffered(endedAttempt);
        channel.close();
    }

    /**
     * Ends the attempt with a response too large to be buffered, and streams the rest of it. Only the status of an
     * error is needed. Returns false if nothing is streamed.
     */
    private boolean startStreaming() {
        Attempt endedAttempt = attempt;
        if (ResponseHeads.statusOf(head) != Status.OK) {
            endWithStatus(endedAttempt);
            return false;
        }
        if (!endedAttempt.isWritten()) {
            fail(ResponseFailure.RESPONSE_BEFORE_REQUEST_END);
            return false;
        }
        attempt = null;
        rest = new StreamedBody().stream;
        streamedBytes = body.readableBytes();
        byte[] bytes = new byte[body.readableBytes()];
        body.readBytes(bytes);
        reserveBody(0);
        endedAttempt.end(
                Status.OK,
                LoadReport.lastValid(head.headers().getAll("Server-Load")),
                new BackendResponse(head, bytes, rest));
        return true;
    }

    /**
     * A streamed body. Its reader may use it after it is complete, when the connection may carry another response: then
     * it no longer affects the connection.
     */
    private final class StreamedBody {
        private final BodyStream stream = new BodyStream(budget, this::resumeReading, this::abortStreaming);

        private void resumeReading() {
            if (rest == stream) {
                channel.config().setAutoRead(true);
            }
        }

        private void abortStreaming() {
            if (rest == stream) {
                fail(ResponseFailure.CLIENT_LEFT);
            }
        }
    }

    @Override
    public void onUnexpectedBytes() {
        unexpectedBytesListener.accept(backend);
        fail(ResponseFailure.UNEXPECTED_BYTES);
    }

    /**
     * Fails the response unless another one starts in the trailing bytes: anything else may be the rest of a body whose
     * declared length is too short.
     */
    @Override
    public void onTrailingBytes(boolean startsResponse) {
        unexpectedBytesListener.accept(backend);
        if (!hasTrailingBytes && !startsResponse) {
            fail(ResponseFailure.TRAILING_BYTES);
        }
        hasTrailingBytes = true;
    }

    /** Completes the response after the whole read, when it is known whether surplus bytes followed it. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (rest != null) {
            rest.endRead();
        }
        if (isResponseComplete && attempt != null) {
            finishBuffered();
        } else if (isResponseComplete && rest != null) {
            finishStreaming();
        }
    }

    private void finishStreaming() {
        BodyStream completed = rest;
        rest = null;
        decoder.expectNothing();
        // The client may still be reading this response, but the next one on the connection must be read.
        channel.config().setAutoRead(true);
        keepOrClose(true);
        completed.complete();
    }

    private void keepOrClose(boolean isRequestWritten) {
        if (isRequestWritten
                && !hasTrailingBytes
                && channel.isActive()
                && HttpUtil.isKeepAlive(head)
                && backend.leftAtNs == 0
                && backend.bootNs == bootNs
                && !leadsElsewhere()) {
            idleSinceNs = clock.now();
            if (backend.idle.add(this, idleSinceNs)) {
                return;
            }
        }
        channel.close();
    }

    private void finishBuffered() {
        Attempt endedAttempt = attempt;
        if (ResponseHeads.statusOf(head) == Status.OK && !endedAttempt.isWritten()) {
            fail(ResponseFailure.RESPONSE_BEFORE_REQUEST_END); // it cannot belong to the request
            return;
        }
        attempt = null;
        decoder.expectNothing();
        keepOrClose(endedAttempt.isWritten());
        endBuffered(endedAttempt);
    }

    /** Ends an attempt with the status of the response and the part of its body that has been received. */
    private void endBuffered(Attempt endedAttempt) {
        Status status = ResponseHeads.statusOf(head);
        byte[] bytes = new byte[body.readableBytes()];
        body.readBytes(bytes);
        reserveBody(0);
        endedAttempt.end(
                status,
                LoadReport.lastValid(head.headers().getAll("Server-Load")),
                status == Status.OK || status == Status.MOOT ? new BackendResponse(head, bytes, null) : null);
    }

    /**
     * Ends the attempt before closing the connection: on close the decoder emits what it holds, which must not
     * complete a response that was found invalid.
     */
    private void fail(ResponseFailure reason) {
        Attempt failedAttempt = attempt;
        attempt = null;
        if (rest != null || failedAttempt != null && !failedAttempt.hasEnded()) {
            boolean hasFinalHead = head != null && !hasInterimHead();
            failures.count(
                    reason, requestId, address, hasFinalHead ? head.status().code() : 0);
        }
        reserveBody(0);
        decoder.abandon();
        backend.idle.remove(this);
        if (stallCheck != null) {
            stallCheck.cancel(false);
        }
        if (failedAttempt != null) {
            failedAttempt.onConnectionLost();
        }
        if (rest != null) {
            BodyStream truncated = rest;
            rest = null;
            truncated.abort();
        }
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (isResponseComplete && attempt != null) {
            finishBuffered(); // the connection ended in the same read
        } else if (isResponseComplete && rest != null) {
            finishStreaming();
        }
        fail(
                ChannelReads.hasReadEndOfStream(ctx.channel())
                        ? ResponseFailure.ENDED_EARLY
                        : ResponseFailure.CONNECTION_BROKEN);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
