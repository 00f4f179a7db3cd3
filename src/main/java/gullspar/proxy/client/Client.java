package gullspar.proxy.client;

import gullspar.proxy.http.Body;
import gullspar.proxy.http.BodyBudget;
import gullspar.proxy.http.BodyStream;
import gullspar.proxy.http.BodyStreamWriter;
import gullspar.proxy.http.Message;
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
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A client's connection: one request at a time, a few more wait in line. After a request that cannot be read,
 * or more than that in line, comes an error, the end, and nothing else.
 */
public final class Client extends SimpleChannelInboundHandler<HttpObject> {
    /** Who takes whole requests, and hears when a connection changes its place among the others. */
    interface Owner {
        void onRequest(Client client, Message message, long at);

        /** All of a request has come that was handed over while it came. */
        void onRequestComplete(Client client, long at);

        /** The rest of such a request will not come, and the client is to be told so: it is no request. */
        void onRequestAborted(Client client);

        /** What the bodies that are held may take together. */
        BodyBudget budget();

        /** For so long a body may be left unread while nothing has gone out for its connection's requests. */
        long unreadTimeoutNs();

        /** When what is read now may have come, at the earliest. */
        long receivedAt();

        /** An answer is about to be written; true if the connection should end with it. */
        boolean onResponse(Client client, int status);

        void onClosed(Client client);

        long now();
    }

    /** Requests that may wait behind one on a connection: enough for clients that await no answer. */
    public static final int MAX_PIPELINED = 16;

    /** Bodies of up to so many bytes are awaited, if there is room; larger ones go on while they come. */
    private static final int MAX_BUFFERED_BODY_BYTES = 1 << 20;
    /** A head must come within so long: from connecting for the first, from its first byte for later ones. */
    static final long HEAD_TIMEOUT_NS = 2_500_000_000L;
    /** A body that comes may pause so long, and needs so many bytes a second after a first while. */
    private static final long BODY_STALL_TIMEOUT_NS = 2_200_000_000L, BODY_RATE_GRACE_NS = 1_500_000_000L;

    private static final long MIN_BODY_BYTES_PER_S = 24 << 10;
    /** One who takes nothing of an answer, or gives nothing of one, for so long has gone. */
    private static final long RESPONSE_STALL_TIMEOUT_NS = 10_000_000_000L;

    /** A request, or the error that one ended in; after an error nothing is read. */
    private record QueuedRequest(
            Message message, int status, String error, long receivedAt, boolean keepAlive, HttpVersion version) {}

    final long connectedAtNs;
    private final Channel channel;
    private final RequestDecoder decoder;
    private final Owner owner;
    private final Deque<QueuedRequest> queue = new ArrayDeque<>();
    private HttpRequest head;
    private Body body;
    /** What comes of a request that has been handed over; null if none does. */
    private BodyStream upload;

    private long rateWindowBytes;
    private long bodyBytes;
    private long rateWindowStartNs;
    private long lastReceivedNs;
    /** Since when nothing is read, while the upload is paused. */
    private long unreadSinceNs;
    /** The answer that is being passed on; null if none is. */
    private BodyStream responseStream;

    private Consumer<Boolean> onResponseSent;
    private long lastProgressNs;
    private final BodyStreamWriter writer = new BodyStreamWriter();
    private Message currentRequest;
    private boolean busy;
    private boolean keepAlive;
    private HttpVersion version = HttpVersion.HTTP_1_1;
    private boolean lastResponse;
    private boolean awaitsContinue;
    /** The connection ends while more may still come of a request. */
    private boolean requestIncomplete;

    private boolean used;
    /** Answers that the system has not taken yet. */
    private int pendingWrites;
    /** No more is read: an error or the end is on its way, since then. */
    private boolean closing;

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

    /** Is no request open or begun? */
    boolean isIdle() {
        return !busy && queue.isEmpty() && !hasPartialRequest();
    }

    /** Is a request open or begun, or an answer still on its way to the system? */
    boolean hasPendingWork() {
        return !isIdle() || responseStream != null || pendingWrites > 0;
    }

    /** Of a request that has come in part the rest is not waited for any more. */
    void rejectPartialRequest() {
        if (hasPartialRequest() && !closing) {
            closeWithError(503, "this proxy ends");
        }
    }

    /** Has a request on it ever been answered? */
    boolean used() {
        return used;
    }

    /** Does it end by itself: an error or the last answer is on its way, or the client's own end awaited? */
    boolean closing() {
        return closing;
    }

    boolean busy() {
        return busy;
    }

    /** The request in hand has been taken on; null from its answer on. */
    void setCurrentRequest(Message message) {
        currentRequest = message;
    }

    Message currentRequest() {
        return currentRequest;
    }

    /**
     * Is its client still there? What has come by now is read first, not when the loop comes round to it: a
     * turn may be long, and a request may have lain in the system together with the end of its client.
     */
    public boolean readAndCheckConnected() {
        if (upload != null && upload.paused()) {
            if (owner.now() - unreadSinceNs >= owner.unreadTimeoutNs()) {
                rejectUnreadUpload();
            }
        } else if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return channel.isActive();
    }

    private boolean hasPartialRequest() {
        return partialSinceNs != 0;
    }

    void close() {
        channel.close();
    }

    /**
     * Ends it between requests. Not if one has begun to come that the loop has not come round to read: it
     * would be lost with the connection, and where it may not run twice its client has to know that it never
     * ran.
     */
    boolean closeBetweenRequests() {
        if (readAndCheckConnected() && (hasPendingWork() || closing)) {
            return false;
        }
        channel.close();
        return true;
    }

    /** Ends the connection in the middle of an answer, which tells the client that it is not whole. */
    public void abort() {
        channel.close();
    }

    /** Ends a connection that has kept the proxy waiting for longer than the limits allow. */
    void enforceTimeouts(long now, long requestTimeoutNs, long idleTimeoutNs) {
        if (responseStream != null) {
            if (now - lastProgressNs > RESPONSE_STALL_TIMEOUT_NS) {
                channel.close();
            }
        } else if (closing) {
            if (now - closingSinceNs > requestTimeoutNs && !busy) {
                channel.close(); // its client does not read what it is told
            }
        } else if (isRequestTooSlow(now)) {
            closeWithError(408, "the request did not come in time");
        } else if (isIdle() && now - idleSinceNs > (used ? idleTimeoutNs : requestTimeoutNs)) {
            closeBetweenRequests();
        }
    }

    /** Has what is coming of a request stopped coming, or does it come too slowly? */
    private boolean isRequestTooSlow(long now) {
        if (head == null) {
            return hasPartialRequest() && now - partialSinceNs > HEAD_TIMEOUT_NS;
        }
        if (awaitsContinue || upload != null && upload.paused()) {
            lastReceivedNs = now; // it is this side that does not read
            rateWindowStartNs = now;
            rateWindowBytes = 0;
            return false;
        }
        return now - lastReceivedNs > BODY_STALL_TIMEOUT_NS
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
        if (message instanceof HttpRequest r && !begin(r)) {
            return;
        }
        if (message instanceof HttpContent content && !onContent(content.content())) {
            return;
        }
        if (message instanceof LastHttpContent) {
            if (upload == null) {
                enqueue(new QueuedRequest(
                        Message.withFullBody(head.method(), head.uri(), head.headers(), body),
                        0,
                        null,
                        owner.receivedAt(),
                        HttpUtil.isKeepAlive(head),
                        head.protocolVersion()));
            } else {
                BodyStream all = upload;
                upload = null;
                all.complete();
                if (currentRequest != null && currentRequest.bodyStream() == all) {
                    owner.onRequestComplete(this, owner.receivedAt());
                }
            }
            head = null;
            body = null;
            decoder.endRequest();
        }
    }

    /** Some of a body; false if there is more than there may be. */
    private boolean onContent(ByteBuf bytes) {
        rateWindowBytes += bytes.readableBytes();
        bodyBytes += bytes.readableBytes();
        lastReceivedNs = owner.now();
        if (bodyBytes > Message.MAX_BODY_BYTES) {
            closeWithError(413, "the body is too long");
            return false;
        }
        if (upload == null && body.add(bytes) != Body.AddResult.ADDED) {
            upload = new BodyStream(() -> channel.config().setAutoRead(true), () -> {});
            enqueue(new QueuedRequest(
                    new Message(
                            head.method(),
                            head.uri(),
                            head.headers(),
                            body,
                            upload,
                            HttpUtil.getContentLength(head, -1L)),
                    0,
                    null,
                    owner.receivedAt(),
                    HttpUtil.isKeepAlive(head),
                    head.protocolVersion()));
            if (closing) {
                return false;
            }
        }
        if (upload != null && bytes.isReadable() && !upload.add(bytes.retain())) {
            pauseUpload(upload);
        }
        return true;
    }

    private void pauseUpload(BodyStream full) {
        if (channel.config().isAutoRead()) {
            channel.config().setAutoRead(false);
            unreadSinceNs = owner.now();
            if (full.isUnread()) {
                channel.eventLoop()
                        .schedule(
                                () -> {
                                    if (upload == full) {
                                        rejectUnreadUpload(); // not by the clock as well: the two may differ by a
                                        // little
                                    }
                                },
                                owner.unreadTimeoutNs(),
                                TimeUnit.NANOSECONDS);
            }
        }
    }

    /**
     * The end of a client lies behind all that it sent. Where that is more than can be held nobody knows
     * whether it still waits, so a request that has not begun to go out by then is turned away, and the rest
     * is read to see its client go.
     */
    private void rejectUnreadUpload() {
        if (!closing && upload.paused() && upload.isUnread()) {
            closeWithError(503, "its body is too long to be kept waiting, try again");
        }
    }

    /** The head of a request: false if what follows it is not wanted. */
    private boolean begin(HttpRequest r) {
        if (!r.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !r.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            closeWithError(505, "this is HTTP/1.1");
        } else if (HttpUtil.getContentLength(r, 0L) > Message.MAX_BODY_BYTES) {
            closeWithError(413, "the body is too long"); // not read first: it may be of any length
        } else if (r.headers().contains(HttpHeaderNames.EXPECT) && !HttpUtil.is100ContinueExpected(r)) {
            closeWithError(417, "nothing to be expected but 100-continue");
        } else {
            head = r;
            awaitsContinue = HttpUtil.is100ContinueExpected(r);
            sendContinueIfAwaited();
            body = new Body(owner.budget(), MAX_BUFFERED_BODY_BYTES);
            rateWindowBytes = 0;
            bodyBytes = 0;
            rateWindowStartNs = owner.now();
            lastReceivedNs = rateWindowStartNs;
            return true;
        }
        return false;
    }

    /** Tells a client that asked whether it may send its body, once no answer is due ahead of that. */
    private void sendContinueIfAwaited() {
        if (awaitsContinue && head != null && !busy && queue.isEmpty()) {
            awaitsContinue = false;
            lastReceivedNs = owner.now();
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void enqueue(QueuedRequest request) {
        if (queue.size() < MAX_PIPELINED) {
            queue.add(request);
        } else {
            // Whoever sends so many at once is no usual client. None of those in line has been sent on, and
            // their deadlines would run out in it: each is turned away.
            String reason = "too many requests at once on a connection";
            List<QueuedRequest> rejected = queue.stream()
                    .map(o -> new QueuedRequest(null, 429, reason, o.receivedAt(), true, o.version()))
                    .toList();
            clearQueue();
            queue.addAll(rejected);
            closeWithError(429, reason);
        }
    }

    /** An error behind what is in line, and then the end. */
    private void closeWithError(int status, String error) {
        closing = true;
        closingSinceNs = owner.now();
        decoder.stop();
        dropPartialRequest();
        partialSinceNs = 0;
        queue.add(new QueuedRequest(null, status, error, closingSinceNs, false, HttpVersion.HTTP_1_1));
        if (!busy) {
            channel.eventLoop().execute(this::processNext);
        }
    }

    /** What was coming of a request is no request any more. */
    private void dropPartialRequest() {
        if (upload != null) {
            BodyStream cut = upload;
            upload = null;
            requestIncomplete = true;
            if (currentRequest != null && currentRequest.bodyStream() == cut) {
                owner.onRequestAborted(this);
                currentRequest = null;
                busy = false;
            } else {
                queue.removeIf(w -> w.message() != null && w.message().bodyStream() == cut);
            }
            cut.drop();
        }
        if (body != null) {
            requestIncomplete = true;
            body.release();
        }
        head = null;
        body = null;
    }

    private void clearQueue() {
        queue.forEach(w -> {
            if (w.message() != null) {
                w.message().release();
            }
        });
        queue.clear();
    }

    /** All that came is seen: only now is it known how many requests were sent at once. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!closing && decoder.inRequest()) {
            // A connection's first request counts from its connecting, however slowly it is sent.
            partialSinceNs = hasPartialRequest() ? partialSinceNs : used || busy ? owner.now() : connectedAtNs;
        } else {
            partialSinceNs = 0;
        }
        processNext();
    }

    private void processNext() {
        while (!busy && !queue.isEmpty() && channel.isActive()) {
            QueuedRequest next = queue.poll();
            busy = true;
            keepAlive = next.keepAlive();
            version = next.version();
            if (next.error() == null) {
                owner.onRequest(this, next.message(), next.receivedAt());
            } else {
                respond(next.status(), null, next.error());
            }
        }
    }

    /** The final answer to the request in hand; of a client that has gone nothing is written. */
    public void respond(int status, HttpHeaders headers, byte[] bytes) {
        DefaultFullHttpResponse r = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
        if (headers != null) {
            Message.copyResponseHeaders(headers, r.headers());
        }
        HttpUtil.setContentLength(r, bytes.length);
        busy = false;
        boolean last = begin(r, status);
        afterResponse(channel.writeAndFlush(r), last);
    }

    /** An answer is about to be written: whatever else is to be said in its head; true if it is the last. */
    private boolean begin(HttpResponse r, int status) {
        used |= currentRequest != null || status == 200;
        idleSinceNs = owner.now();
        // Where the rest of its request is still to come, that is read and let go.
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
        written.addListener(f -> pendingWrites--);
        if (last) {
            written.addListener(f -> closeAfterResponse());
        } else if (!queue.isEmpty()) {
            channel.eventLoop().execute(this::processNext);
        } else {
            sendContinueIfAwaited();
        }
    }

    /**
     * The last answer is written. Where more is still to come of a request, closing at once would make the
     * system reset the connection, and the answer could be lost with it: what comes is dropped for a while.
     */
    private void closeAfterResponse() {
        if (requestIncomplete && channel instanceof DuplexChannel duplex && channel.isActive()) {
            channel.config().setAutoRead(true);
            duplex.shutdownOutput();
        } else {
            channel.close();
        }
    }

    /**
     * A final answer whose rest is still to come; done hears whether it went out whole. One that breaks off
     * ends the connection, which tells the client.
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
            keepAlive = false; // its end tells where the answer ends
        }
        responseStream = stream;
        onResponseSent = onSent;
        lastResponse = begin(r, 200);
        lastProgressNs = owner.now();
        writer.writeFirst(() -> {
            channel.write(r);
            channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(first)));
        });
        stream.setReader(this::forwardResponse);
        forwardResponse();
    }

    /** Passes on what has come of the answer, as far as the client takes it. */
    private void forwardResponse() {
        BodyStream from = responseStream;
        if (from == null
                || !writer.write(channel, from, () -> responseStream != null, () -> lastProgressNs = owner.now())
                || responseStream == null) {
            return; // there is none, it is being written, or the flush found the connection closed
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
        BodyStream cut = responseStream;
        responseStream = null;
        if (cut != null) {
            cut.drop();
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
