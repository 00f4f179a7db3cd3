package gullspar.proxy.client;

import gullspar.proxy.http.Body;
import gullspar.proxy.http.BodyStream;
import gullspar.proxy.http.BodyStreamWriter;
import gullspar.proxy.http.MemoryBudget;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.NextTurn;
import gullspar.proxy.io.ResetOnClose;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A client's connection. It processes one request at a time and queues a few pipelined ones; while the queue is full it
 * reads no further. After a request that cannot be parsed it responds with an error, closes, and reads no further
 * request.
 */
public final class Client extends SimpleChannelInboundHandler<HttpObject> {
    /** The owner of client connections: receives requests and state changes, and provides limits and the clock. */
    interface Owner {
        /** A request is complete, or too large to be buffered and still being received; see {@link Message}. */
        void onRequest(Client client, Message message, long receivedAtNs);

        /** The body of a request that was handed over while being received is now complete. */
        void onRequestComplete(Client client, long receivedAtNs);

        /**
         * The body of such a request is still being received. Its last byte may have been waiting in the kernel since
         * the given time, as all that had arrived was read then.
         */
        void onRequestIncomplete(Client client, long receivedUntilNs);

        /**
         * The body of such a request will not be completed: the request is dropped and its client gets an
         * error.
         */
        void onRequestAborted(Client client);

        /** The limit shared by all buffered bodies. */
        MemoryBudget budget();

        /** How long a body may stay unread while nothing has been sent for the requests of its connection. */
        long unreadTimeoutNs();

        /** The earliest time at which the data being read may have arrived, in ns as for {@link #now}. */
        long receivedAt();

        /** Called before a response is written; returns true if the connection must close after it. */
        boolean onResponse(Client client, int status);

        void onClosed(Client client);

        /** The time of the proxy's monotonic clock, in ns. */
        long now();
    }

    /** Pipelined requests that are queued; while there are more, they stay undecoded or unread. */
    public static final int MAX_PIPELINED = 16;

    /** No more than this is read, to detect the client's disconnect, while the queue is full. */
    private static final int MAX_UNDECODED_BYTES = 32 << 10;

    /** Bounds the reads, of 16 KiB each, by which a client's close is looked for behind unread data. */
    private static final int MAX_READS_PER_CHECK = 64;

    /** Bounds the work of such reads: a body of 1 MB may come in chunks of one byte. */
    static final int MAX_PARTS_PER_CHECK = 4096;

    /** Larger bodies, and those that the budget has no room for, are forwarded while they are received. */
    private static final int MAX_BUFFERED_BODY_BYTES = 1 << 20;
    /** Time limit for a request head: from connecting for the first, from its first byte for later ones. */
    static final long HEAD_TIMEOUT_NS = 2_500_000_000L;
    /** The longest pause of a body being received. */
    private static final long BODY_STALL_TIMEOUT_NS = 2_200_000_000L;
    /** The same while the budget is exhausted, where stalled requests keep room from others. */
    private static final long SHORT_MEMORY_STALL_TIMEOUT_NS = 500_000_000L;
    /** Minimum rate of a body, over the time since reading it started or resumed, less the grace time. */
    private static final long MIN_BODY_BYTES_PER_S = 24 << 10;

    private static final long BODY_RATE_GRACE_NS = 1_500_000_000L;
    /** A request (error is null), or the error response to a request that was rejected (message is null). */
    private record QueuedRequest(
            Message message, int status, String error, long receivedAt, boolean keepAlive, HttpVersion version) {}

    final long connectedAtNs;
    private final Channel channel;
    private final RequestDecoder decoder;
    private final Owner owner;
    private final Deque<QueuedRequest> queue = new ArrayDeque<>();
    /** Head and buffered body of the request being received; null if none. */
    private HttpRequest head;

    private Body body;
    /** The part of the body that is still being received for a request already handed over; null if none. */
    private BodyStream upload;

    private long bodyBytes;
    /** How long the client waits for the response to the request being received, in ns; 0 if it does not say. */
    private long timeoutNs;

    /** Start of the time over which the minimum rate is checked, and the body bytes received since. */
    private long rateWindowStartNs;

    private long rateWindowBytes;
    private long lastReceivedNs;
    private final ArrivalTimes arrivals = new ArrivalTimes();
    /** What was left undecoded is being decoded. */
    private boolean isResuming;
    /** When reading stopped because the upload was paused. */
    private long unreadSinceNs;
    /** The response that is being forwarded; null if none. */
    private BodyStream responseStream;

    private Consumer<Boolean> onResponseSent;
    private final ResponseProgress responseProgress = new ResponseProgress();
    private final BodyStreamWriter writer = new BodyStreamWriter();
    /** The accepted request in progress; null if none. */
    private Message currentRequest;
    /** A request, accepted or not, is in progress or its response is being forwarded. */
    private boolean busy;
    /** Keep-alive and version of the request in progress. */
    private boolean keepAlive;

    private HttpVersion version = HttpVersion.HTTP_1_1;
    /** The connection closes after the response that is being forwarded. */
    private boolean lastResponse;
    /** The response that is being forwarded has neither a length nor chunks: the close is its end. */
    private boolean isDelimitedByClose;
    /** The client sends its body only after 100 Continue, which has not been sent. */
    private boolean awaitsContinue;
    /** The connection closes while part of a request may still be received. */
    private boolean requestIncomplete;

    /** See {@link #hasUnreadData}. */
    private boolean hasUnreadData;

    private boolean used;
    /** Responses not yet written to the socket. */
    private int pendingWrites;
    /** The next queued request is processed in the next turn of the event loop. */
    private boolean isNextScheduled;
    /** No further request is read: an error or the last response is being sent, or the connection is closed. */
    private boolean closing;

    /** When the time limit of a partly received request started; 0 if none is partly received. */
    private long partialSinceNs;

    private long idleSinceNs;
    private long closingSinceNs;

    Client(Channel channel, RequestDecoder decoder, Owner owner) {
        this.channel = channel;
        this.decoder = decoder;
        this.owner = owner;
        this.connectedAtNs = owner.now();
        this.idleSinceNs = connectedAtNs;
    }

    /** True if no request is queued, in progress or partly received. */
    boolean isIdle() {
        return !busy && queue.isEmpty() && !hasPartialRequest();
    }

    /** True if a request is queued, in progress or partly received, or a response is not yet fully written. */
    boolean hasPendingWork() {
        return !isIdle() || responseStream != null || pendingWrites > 0;
    }

    /** Rejects a partly received request instead of waiting for the rest. */
    void rejectPartialRequest() {
        if (hasPartialRequest() && !closing) {
            closeWithError(503, "this proxy ends");
        }
    }

    /** True once an accepted request, or any request with status 200, has been answered. */
    boolean used() {
        return used;
    }

    /**
     * True if the connection is closing: an error or the last response is being sent, or the client's close
     * is awaited.
     */
    boolean closing() {
        return closing;
    }

    boolean busy() {
        return busy;
    }

    /** Sets the request in progress; it is cleared by its response. */
    void setCurrentRequest(Message message) {
        currentRequest = message;
    }

    Message currentRequest() {
        return currentRequest;
    }

    /**
     * Returns whether the client is still connected. Reads pending data first instead of waiting for the
     * event loop: a loop iteration may be long, and both a request and the client's close may already be in
     * the socket buffer, the close behind all else that the client has sent.
     */
    public boolean readAndCheckConnected() {
        rejectUploadBehindRequest();
        hasUnreadData = false;
        if (upload != null && upload.paused()) {
            if (owner.now() - unreadSinceNs >= owner.unreadTimeoutNs()) {
                rejectUnreadUpload();
            }
        } else if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            readAll(socket);
        }
        return channel.isActive();
    }

    private void readAll(AbstractNioChannel.NioUnsafe socket) {
        long maxParts = decoder.decodedParts() + MAX_PARTS_PER_CHECK;
        for (int i = 0; i < MAX_READS_PER_CHECK && decoder.decodedParts() < maxParts && channel.isActive(); i++) {
            long before = decoder.receivedBytes();
            arrivals.onReadOutOfTurn();
            socket.read();
            if (decoder.receivedBytes() == before) {
                return;
            }
            rejectUploadBehindRequest();
            if (upload != null && upload.paused()) {
                return;
            }
            if (decoder.isPaused() && decoder.undecodedBytes() >= MAX_UNDECODED_BYTES) {
                break;
            }
        }
        hasUnreadData = channel.isActive();
    }

    /** Rejects a paused upload that follows a request in progress: its unread rest may hide the client's close. */
    private void rejectUploadBehindRequest() {
        if (upload != null && upload.paused() && currentRequest != null && currentRequest.bodyStream() != upload) {
            rejectUnreadUpload();
        }
    }

    /**
     * True if the client had sent more than {@link #readAndCheckConnected} reads at once, so that it may have
     * disconnected although it seems to be connected.
     */
    public boolean hasUnreadData() {
        return hasUnreadData;
    }

    /** True if a request is being received. */
    boolean hasPartialRequest() {
        return partialSinceNs != 0;
    }

    void close() {
        channel.close();
    }

    /**
     * Closes the connection unless a request is in progress. Unread data is read first: an unread request
     * would be lost with the connection, and for a request that must not run twice the client has to know
     * that it never ran.
     */
    boolean closeBetweenRequests() {
        if (readAndCheckConnected() && (hasPendingWork() || closing)) {
            return false;
        }
        channel.close();
        return true;
    }

    /**
     * Closes the connection if it has exceeded a time limit. requestTimeoutNs: until the first request, and for closing
     * after the last response; idleTimeoutNs: between requests.
     */
    void enforceTimeouts(long now, long requestTimeoutNs, long idleTimeoutNs) {
        checkNothingUnread(now);
        if (isForwardingUpload()
                && (upload.paused() || !arrivals.hasReadAll())) { // otherwise it is the client that is slow
            owner.onRequestIncomplete(this, arrivals.receivedUntilNs());
        }
        responseProgress.update(channel, now);
        if (responseStream != null) {
            closeIfResponseStalled(now);
        } else if (closing) {
            if (now - Math.max(closingSinceNs, responseProgress.lastNs()) > requestTimeoutNs && !busy) {
                channel.close(); // the client does not read the last response
            }
        } else if (pendingWrites > 0) {
            closeIfResponseStalled(now);
        } else if (isReadTooLate(now)) {
            closeWithError(503, "the request could not be read in its time, try again");
        } else if (isRequestTooSlow(now)) {
            closeWithError(408, "the request did not come in time");
        } else if (isIdle() && now - idleSinceNs > (used ? idleTimeoutNs : requestTimeoutNs)) {
            closeBetweenRequests();
        }
    }

    /**
     * Reads on if the time of a request may pass while a part of it is unread. If there is none, the client has paused,
     * and its time has not begun.
     */
    private void checkNothingUnread(long now) {
        boolean mayBeUnread =
                head != null && !arrivals.hasReadAll() && now - arrivals.receivedUntilNs() >= timeoutNs / 2;
        if (mayBeUnread
                && channel.config().isAutoRead()
                && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            long before = decoder.receivedBytes();
            arrivals.onReadOutOfTurn();
            socket.read();
            if (decoder.receivedBytes() == before) {
                arrivals.onNothingFound(now);
            }
        }
    }

    private void closeIfResponseStalled(long now) {
        // While nothing waits to be read only the backend can be slow.
        boolean isClientSlow = pendingWrites > 0
                || responseProgress.hasUnwrittenBytes()
                || responseStream != null && responseStream.hasChunk();
        if (responseProgress.hasStalled(now, isClientSlow, owner.budget().isExhausted())) {
            channel.close();
        }
    }

    /** Whether the request in progress is still being received. */
    private boolean isForwardingUpload() {
        return upload != null && currentRequest != null && currentRequest.bodyStream() == upload;
    }

    /**
     * Whether the time of a request that no backend has begun to receive has passed before all of it was read: its last
     * byte may have been waiting since the last time that nothing was unread.
     */
    private boolean isReadTooLate(long now) {
        return head != null
                && !arrivals.hasReadAll()
                && timeoutNs > 0
                && now - arrivals.receivedUntilNs() >= timeoutNs
                && (upload == null || upload.isUnread());
    }

    /** Returns whether a partly received request has stalled or is below the minimum rate. */
    private boolean isRequestTooSlow(long now) {
        if (head == null) {
            return hasPartialRequest() && now - partialSinceNs > HEAD_TIMEOUT_NS;
        }
        if (awaitsContinue || upload != null && upload.paused()) {
            lastReceivedNs = now; // the proxy itself is not reading
            rateWindowStartNs = now;
            rateWindowBytes = 0;
            return false;
        }
        boolean isMemoryShort = owner.budget().isExhausted();
        return now - lastReceivedNs > (isMemoryShort ? SHORT_MEMORY_STALL_TIMEOUT_NS : BODY_STALL_TIMEOUT_NS)
                || rateWindowBytes < (now - rateWindowStartNs - BODY_RATE_GRACE_NS) / 1e9 * MIN_BODY_BYTES_PER_S;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (closing) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            boolean tooLong = message.decoderResult().cause() instanceof TooLongFrameException;
            closeWithError(tooLong ? 431 : 400, tooLong ? "the head is too long" : "malformed request");
            return;
        }
        if (message instanceof HttpRequest r && !beginRequest(r)) {
            return;
        }
        if (message instanceof HttpContent content && !onContent(content.content())) {
            return;
        }
        if (message instanceof LastHttpContent) {
            if (upload == null) {
                queue.add(new QueuedRequest(
                        Message.withFullBody(head.method(), head.uri(), head.headers(), body),
                        0,
                        null,
                        arrivals.receivedAt(owner.receivedAt()),
                        HttpUtil.isKeepAlive(head),
                        head.protocolVersion()));
            } else {
                BodyStream received = upload;
                upload = null;
                received.complete();
                if (currentRequest != null && currentRequest.bodyStream() == received) {
                    // While reading was paused the last byte may have waited in the kernel.
                    owner.onRequestComplete(this, Math.min(owner.receivedAt(), arrivals.receivedUntilNs()));
                }
            }
            head = null;
            body = null;
            decoder.endRequest();
            if (queue.size() >= MAX_PIPELINED) {
                pauseReading();
            }
        }
    }

    private void pauseReading() {
        arrivals.onDecodingPaused(owner.receivedAt());
        decoder.pause();
        updateAutoRead();
    }

    /** Decodes what was left once the queue has room again, and reads on. */
    private void resumeReading() {
        if (decoder.isPaused() && queue.size() < MAX_PIPELINED) {
            decoder.resume();
            updateAutoRead();
            isResuming = true;
            channel.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
            channel.pipeline().fireChannelReadComplete();
            isResuming = false;
        }
    }

    private void updateAutoRead() {
        channel.config().setAutoRead(!decoder.isPaused() && (upload == null || !upload.paused()));
    }

    /** Handles a part of a body; returns false if the request was rejected. */
    private boolean onContent(ByteBuf bytes) {
        arrivals.onBody(owner.receivedAt());
        rateWindowBytes += bytes.readableBytes();
        bodyBytes += bytes.readableBytes();
        lastReceivedNs = owner.now();
        if (bodyBytes > Message.MAX_BODY_BYTES) {
            closeWithError(413, "the body is too long");
            return false;
        }
        if (upload == null && body.add(bytes) != Body.AddResult.TAKEN) {
            upload = new BodyStream(owner.budget(), this::updateAutoRead, () -> {});
            queue.add(new QueuedRequest(
                    new Message(
                            head.method(),
                            head.uri(),
                            head.headers(),
                            body,
                            upload,
                            HttpUtil.getContentLength(head, -1L)),
                    0,
                    null,
                    arrivals.receivedAt(owner.receivedAt()),
                    HttpUtil.isKeepAlive(head),
                    head.protocolVersion()));
        }
        if (upload != null && bytes.isReadable() && !upload.add(bytes.retain())) {
            pauseUpload(upload);
        }
        return true;
    }

    private void pauseUpload(BodyStream paused) {
        if (channel.config().isAutoRead()) {
            channel.config().setAutoRead(false);
            unreadSinceNs = owner.now();
            if (paused.isUnread()) {
                channel.eventLoop()
                        .schedule(
                                () -> {
                                    if (upload == paused) {
                                        rejectUnreadUpload(); // no clock check: it may differ from the timer
                                    }
                                },
                                owner.unreadTimeoutNs(),
                                TimeUnit.NANOSECONDS);
            }
        }
    }

    /**
     * Rejects an upload that no attempt has started to send. A client's close is only seen after reading all
     * that it sent; where that exceeds the buffer, the proxy cannot tell whether the client still waits. The
     * rest is then read and discarded to detect the close.
     */
    private void rejectUnreadUpload() {
        if (!closing && upload.paused() && upload.isUnread()) {
            closeWithError(503, "its body is too long to be kept waiting, try again");
        }
    }

    /** Handles a request head; returns false if the request was rejected. */
    private boolean beginRequest(HttpRequest r) {
        if (!r.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !r.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            closeWithError(505, "this is HTTP/1.1");
        } else if (HttpUtil.getContentLength(r, 0L) > Message.MAX_BODY_BYTES) {
            // Rejected before reading: the body may be of any length.
            closeWithError(413, "the body is too long");
        } else if (r.headers().contains(HttpHeaderNames.EXPECT) && !HttpUtil.is100ContinueExpected(r)) {
            closeWithError(417, "nothing to be expected but 100-continue");
        } else {
            head = r;
            awaitsContinue = HttpUtil.is100ContinueExpected(r);
            sendContinueIfAwaited();
            body = new Body(owner.budget(), MAX_BUFFERED_BODY_BYTES);
            if (!body.tryReserveHead(Message.headBytes(r.uri(), r.headers()))) {
                closeWithError(503, "too many requests at once, try again");
                return false;
            }
            rateWindowBytes = 0;
            bodyBytes = 0;
            rateWindowStartNs = owner.now();
            lastReceivedNs = rateWindowStartNs;
            timeoutNs = RequestParameters.timeoutNs(r.headers());
            arrivals.onRequestBegin(owner.receivedAt());
            return true;
        }
        return false;
    }

    /** Sends 100 Continue if the client awaits it and no earlier response is outstanding. */
    private void sendContinueIfAwaited() {
        if (awaitsContinue && head != null && !busy && queue.isEmpty()) {
            awaitsContinue = false;
            lastReceivedNs = owner.now();
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    /** Queues an error response behind the queued requests; the connection closes after it. */
    private void closeWithError(int status, String error) {
        closing = true;
        closingSinceNs = owner.now();
        decoder.stop();
        dropPartialRequest();
        partialSinceNs = 0;
        queue.add(new QueuedRequest(null, status, error, closingSinceNs, false, HttpVersion.HTTP_1_1));
        if (!busy) {
            scheduleNext();
        }
    }

    /** Discards a request that is not yet complete. */
    private void dropPartialRequest() {
        if (upload != null) {
            BodyStream aborted = upload;
            upload = null;
            requestIncomplete = true;
            if (currentRequest != null && currentRequest.bodyStream() == aborted) {
                owner.onRequestAborted(this);
                currentRequest = null;
                busy = false;
            } else {
                queue.removeIf(q -> q.message() != null && q.message().bodyStream() == aborted);
            }
            aborted.drop();
        }
        if (body != null) {
            requestIncomplete = true;
            body.release();
        }
        head = null;
        body = null;
    }

    private void clearQueue() {
        queue.forEach(q -> {
            if (q.message() != null) {
                q.message().release();
            }
        });
        queue.clear();
    }

    /**
     * Processing starts only after all available data is read, when the number of pipelined requests is
     * known.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (upload != null) {
            upload.endRead();
        }
        if (!isResuming) {
            arrivals.onReadComplete(
                    isShortRead(ctx.channel()), ctx.channel().config().isAutoRead(), decoder.isPaused(), owner.now());
        }
        if (!closing && decoder.inRequest()) {
            // The time limit of a connection's first request starts at connecting, however slowly it is sent.
            partialSinceNs = hasPartialRequest() ? partialSinceNs : used || busy ? owner.now() : connectedAtNs;
        } else {
            partialSinceNs = 0;
        }
        processNext();
    }

    /** True if the last read left room in its buffer, so that the receive buffer is empty, or if there is no socket. */
    private static boolean isShortRead(Channel channel) {
        var lastRead = channel.unsafe().recvBufAllocHandle();
        return !(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe)
                || lastRead.lastBytesRead() < lastRead.attemptedBytesRead();
    }

    /** Processes the next queued request, if there is one and nothing before it is outstanding. */
    private void processNext() {
        // The next request waits until the client has read the response: it could pipeline requests and never read.
        if (isNextScheduled || busy || pendingWrites > 0 || queue.isEmpty() || !channel.isActive()) {
            return;
        }
        QueuedRequest next = queue.poll();
        busy = true;
        keepAlive = next.keepAlive();
        version = next.version();
        resumeReading();
        if (next.error() == null) {
            owner.onRequest(this, next.message(), next.receivedAt());
        } else {
            respond(next.status(), null, next.error());
        }
    }

    /** Processes the next queued request in the next turn: hundreds may follow that are all rejected at once. */
    private void scheduleNext() {
        if (!isNextScheduled) {
            isNextScheduled = true;
            NextTurn.run(channel.eventLoop(), () -> {
                isNextScheduled = false;
                processNext();
            });
        }
    }

    /**
     * Sends the final response to the request in progress; nothing is written if the client has disconnected.
     */
    public void respond(int status, HttpHeaders headers, byte[] bytes) {
        DefaultFullHttpResponse r = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                owner.budget().wrap(bytes));
        if (headers != null) {
            Message.copyResponseHeaders(headers, r.headers());
        }
        HttpUtil.setContentLength(r, bytes.length);
        busy = false;
        boolean last = beginResponse(r, status);
        afterResponse(channel.writeAndFlush(r), last);
    }

    /**
     * Prepares a response head before it is written; returns true if the connection closes after this
     * response.
     */
    private boolean beginResponse(HttpResponse r, int status) {
        used |= currentRequest != null || status == 200;
        idleSinceNs = owner.now();
        responseProgress.record(idleSinceNs);
        // With keep-alive, the rest of a partly received request is read and discarded.
        boolean last = owner.onResponse(this, status) && queue.isEmpty() || !keepAlive;
        currentRequest = null;
        if (last) {
            r.headers().set(HttpHeaderNames.CONNECTION, "close");
            requestIncomplete |= head != null;
            closing = true;
            closingSinceNs = idleSinceNs;
            decoder.stop();
        }
        return last;
    }

    private void afterResponse(ChannelFuture written, boolean last) {
        pendingWrites++;
        written.addListener(f -> onResponseWritten());
        if (last) {
            written.addListener(f -> closeAfterResponse());
        } else if (queue.isEmpty()) {
            sendContinueIfAwaited();
        }
    }

    private void onResponseWritten() {
        pendingWrites--;
        if (pendingWrites == 0 && !queue.isEmpty()) {
            scheduleNext();
        }
    }

    /**
     * Closes the connection after its last response. Closing while part of a request is still being received
     * would make the kernel reset the connection, and the response could be lost: incoming data is discarded
     * for a while instead.
     */
    private void closeAfterResponse() {
        if (isDelimitedByClose) {
            ResetOnClose.disable(channel);
        }
        if (requestIncomplete && channel instanceof DuplexChannel duplex && channel.isActive()) {
            channel.config().setAutoRead(true);
            duplex.shutdownOutput();
        } else {
            channel.close();
        }
    }

    /**
     * Sends a final response whose body is still being received; onSent gets whether all of it was sent. A
     * body that breaks off closes the connection, so that the client sees it as truncated.
     */
    public void respond(HttpResponse from, byte[] first, BodyStream stream, Consumer<Boolean> onSent) {
        DefaultHttpResponse r = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        Message.copyResponseHeaders(from.headers(), r.headers());
        long length = HttpUtil.getContentLength(from, -1L);
        boolean chunked = length < 0 && version.equals(HttpVersion.HTTP_1_1);
        if (length >= 0) {
            HttpUtil.setContentLength(r, length);
        } else if (chunked) {
            HttpUtil.setTransferEncodingChunked(r, true);
        } else {
            keepAlive = false;
            isDelimitedByClose = true;
            ResetOnClose.enable(channel);
        }
        responseStream = stream;
        onResponseSent = onSent;
        lastResponse = beginResponse(r, 200);
        writer.writeFirst(() -> {
            channel.write(r);
            channel.write(new DefaultHttpContent(owner.budget().wrap(first)));
        });
        stream.setReader(this::forwardResponse);
        forwardResponse();
    }

    /** Forwards the available part of the response, as far as the client's channel is writable. */
    private void forwardResponse() {
        BodyStream from = responseStream;
        if (from == null
                || !writer.write(
                        channel, from, () -> responseStream != null, () -> responseProgress.record(owner.now()))
                || responseStream == null) {
            return; // no response, a write in progress, or the flush found the connection closed
        }
        if (from.isFullyRead()) {
            responseStream = null;
            busy = false;
            idleSinceNs = owner.now();
            onResponseSent.accept(true);
            afterResponse(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), lastResponse);
        } else if (from.isAborted() && !from.hasChunk()) {
            channel.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        forwardResponse();
    }

    public void respond(int status, HttpHeaders headers, String text) {
        respond(status, headers, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        busy = false;
        closing = true;
        BodyStream unfinished = responseStream;
        responseStream = null;
        if (unfinished != null) {
            unfinished.drop();
            onResponseSent.accept(false);
        }
        owner.onClosed(this);
        currentRequest = null;
        if (upload != null) {
            upload.abort();
            upload.drop();
        }
        if (body != null) {
            body.release();
        }
        upload = null;
        body = null;
        clearQueue();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
