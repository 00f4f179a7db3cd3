package gullspar.proxy.client;

import gullspar.proxy.http.Body;
import gullspar.proxy.http.BodyBudget;
import gullspar.proxy.http.Message;
import gullspar.proxy.http.PieceWriter;
import gullspar.proxy.http.Pieces;
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
        long unreadNs();

        /** When what is read now may have come, at the earliest. */
        long receivedAt();

        /** An answer is about to be written; true if the connection should end with it. */
        boolean answered(Client client, int status);

        void closed(Client client);

        long now();
    }

    /** Requests that may wait behind one on a connection: enough for clients that await no answer. */
    public static final int MOST_PIPELINED = 16;

    /** Bodies of up to so many bytes are awaited, if there is room; larger ones go on while they come. */
    private static final int MOST_AWAITED = 1 << 20;
    /** A head must come within so long: from connecting for the first, from its first byte for later ones. */
    static final long HEAD_NS = 2_500_000_000L;
    /** A body that comes may pause so long, and needs so many bytes a second after a first while. */
    private static final long PAUSE_NS = 2_200_000_000L, SLOW_START_NS = 1_500_000_000L;

    private static final long LEAST_RATE = 24 << 10;
    /** One who takes nothing of an answer, or gives nothing of one, for so long has gone. */
    private static final long ANSWER_STALL_NS = 10_000_000_000L;

    /** A request, or the error that one ended in; after an error nothing is read. */
    private record Waiting(
            Message message, int status, String error, long at, boolean keepAlive, HttpVersion version) {}

    final long connectedAt;
    private final Channel channel;
    private final RequestDecoder decoder;
    private final Owner owner;
    private final Deque<Waiting> line = new ArrayDeque<>();
    private HttpRequest head;
    private Body body;
    /** What comes of a request that has been handed over; null if none does. */
    private Pieces upload;

    private long received;
    private long total;
    private long bodySince;
    private long lastCame;
    /** Since when nothing is read, while the upload is paused. */
    private long unreadSince;
    /** The answer that is being passed on; null if none is. */
    private Pieces rest;

    private Consumer<Boolean> passed;
    private long lastMoved;
    private final PieceWriter writer = new PieceWriter();
    private Message taken;
    private boolean busy;
    private boolean keepAlive;
    private HttpVersion version = HttpVersion.HTTP_1_1;
    private boolean lastAnswer;
    private boolean awaitsContinue;
    /** The connection ends while more may still come of a request. */
    private boolean cutShort;

    private boolean used;
    /** Answers that the system has not taken yet. */
    private int unwritten;
    /** No more is read: an error or the end is on its way, since then. */
    private boolean ending;

    private long partSince;
    private long idleSince;
    private long endingSince;

    Client(Channel channel, RequestDecoder decoder, Owner owner) {
        this.channel = channel;
        this.decoder = decoder;
        this.owner = owner;
        this.connectedAt = owner.now();
        this.idleSince = connectedAt;
    }

    /** Is no request open or begun? */
    boolean idle() {
        return !busy && line.isEmpty() && !partial();
    }

    /** Is a request open or begun, or an answer still on its way to the system? */
    boolean owed() {
        return !idle() || rest != null || unwritten > 0;
    }

    /** Of a request that has come in part the rest is not waited for any more. */
    void turnAway() {
        if (partial() && !ending) {
            end(503, "this proxy ends");
        }
    }

    /** Has a request on it ever been answered? */
    boolean used() {
        return used;
    }

    /** Does it end by itself: an error or the last answer is on its way, or the client's own end awaited? */
    boolean ending() {
        return ending;
    }

    boolean busy() {
        return busy;
    }

    /** The request in hand has been taken on; null from its answer on. */
    void take(Message message) {
        taken = message;
    }

    Message taken() {
        return taken;
    }

    /**
     * Is its client still there? What has come by now is read first, not when the loop comes round to it: a
     * turn may be long, and a request may have lain in the system together with the end of its client.
     */
    public boolean present() {
        if (upload != null && upload.paused()) {
            if (owner.now() - unreadSince >= owner.unreadNs()) {
                unreadTooLong();
            }
        } else if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return channel.isActive();
    }

    private boolean partial() {
        return partSince != 0;
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
        if (present() && (owed() || ending)) {
            return false;
        }
        channel.close();
        return true;
    }

    /** Ends the connection in the middle of an answer, which tells the client that it is not whole. */
    public void cutOff() {
        channel.close();
    }

    /** Ends a connection that has kept the proxy waiting for longer than the limits allow. */
    void check(long now, long requestNs, long idleNs) {
        if (rest != null) {
            if (now - lastMoved > ANSWER_STALL_NS) {
                channel.close();
            }
        } else if (ending) {
            if (now - endingSince > requestNs && !busy) {
                channel.close(); // its client does not read what it is told
            }
        } else if (late(now)) {
            end(408, "the request did not come in time");
        } else if (idle() && now - idleSince > (used ? idleNs : requestNs)) {
            closeBetweenRequests();
        }
    }

    /** Has what is coming of a request stopped coming, or does it come too slowly? */
    private boolean late(long now) {
        if (head == null) {
            return partial() && now - partSince > HEAD_NS;
        }
        if (awaitsContinue || upload != null && upload.paused()) {
            lastCame = now; // it is this side that does not read
            bodySince = now;
            received = 0;
            return false;
        }
        return now - lastCame > PAUSE_NS || received < (now - bodySince - SLOW_START_NS) / 1e9 * LEAST_RATE;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (ending) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            boolean tooLong = message.decoderResult().cause() instanceof TooLongFrameException;
            end(tooLong ? 431 : 400, tooLong ? "the head is too long" : "malformed request");
            return;
        }
        if (message instanceof HttpRequest r && !begin(r)) {
            return;
        }
        if (message instanceof HttpContent content && !content(content.content())) {
            return;
        }
        if (message instanceof LastHttpContent) {
            if (upload == null) {
                add(new Waiting(
                        Message.whole(head.method(), head.uri(), head.headers(), body),
                        0,
                        null,
                        owner.receivedAt(),
                        HttpUtil.isKeepAlive(head),
                        head.protocolVersion()));
            } else {
                Pieces all = upload;
                upload = null;
                all.whole();
                if (taken != null && taken.rest() == all) {
                    owner.onRequestComplete(this, owner.receivedAt());
                }
            }
            head = null;
            body = null;
            decoder.whole();
        }
    }

    /** Some of a body; false if there is more than there may be. */
    private boolean content(ByteBuf bytes) {
        received += bytes.readableBytes();
        total += bytes.readableBytes();
        lastCame = owner.now();
        if (total > Message.MOST_BYTES) {
            end(413, "the body is too long");
            return false;
        }
        if (upload == null && body.add(bytes) != Body.Added.TAKEN) {
            upload = new Pieces(() -> channel.config().setAutoRead(true), () -> {});
            add(new Waiting(
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
            if (ending) {
                return false;
            }
        }
        if (upload != null && bytes.isReadable() && !upload.add(bytes.retain())) {
            pause(upload);
        }
        return true;
    }

    private void pause(Pieces full) {
        if (channel.config().isAutoRead()) {
            channel.config().setAutoRead(false);
            unreadSince = owner.now();
            if (full.untouched()) {
                channel.eventLoop()
                        .schedule(
                                () -> {
                                    if (upload == full) {
                                        unreadTooLong(); // not by the clock as well: the two may differ by a little
                                    }
                                },
                                owner.unreadNs(),
                                TimeUnit.NANOSECONDS);
            }
        }
    }

    /**
     * The end of a client lies behind all that it sent. Where that is more than can be held nobody knows
     * whether it still waits, so a request that has not begun to go out by then is turned away, and the rest
     * is read to see its client go.
     */
    private void unreadTooLong() {
        if (!ending && upload.paused() && upload.untouched()) {
            end(503, "its body is too long to be kept waiting, try again");
        }
    }

    /** The head of a request: false if what follows it is not wanted. */
    private boolean begin(HttpRequest r) {
        if (!r.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !r.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            end(505, "this is HTTP/1.1");
        } else if (HttpUtil.getContentLength(r, 0L) > Message.MOST_BYTES) {
            end(413, "the body is too long"); // not read first: it may be of any length
        } else if (r.headers().contains(HttpHeaderNames.EXPECT) && !HttpUtil.is100ContinueExpected(r)) {
            end(417, "nothing to be expected but 100-continue");
        } else {
            head = r;
            awaitsContinue = HttpUtil.is100ContinueExpected(r);
            goOn();
            body = new Body(owner.budget(), MOST_AWAITED);
            received = 0;
            total = 0;
            bodySince = owner.now();
            lastCame = bodySince;
            return true;
        }
        return false;
    }

    /** Tells a client that asked whether it may send its body, once no answer is due ahead of that. */
    private void goOn() {
        if (awaitsContinue && head != null && !busy && line.isEmpty()) {
            awaitsContinue = false;
            lastCame = owner.now();
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void add(Waiting w) {
        if (line.size() < MOST_PIPELINED) {
            line.add(w);
        } else {
            // Whoever sends so many at once is no usual client. None of those in line has been sent on, and
            // their deadlines would run out in it: each is turned away.
            String why = "too many requests at once on a connection";
            List<Waiting> turnedAway = line.stream()
                    .map(o -> new Waiting(null, 429, why, o.at(), true, o.version()))
                    .toList();
            forgetLine();
            line.addAll(turnedAway);
            end(429, why);
        }
    }

    /** An error behind what is in line, and then the end. */
    private void end(int status, String error) {
        ending = true;
        endingSince = owner.now();
        decoder.stop();
        letGo();
        partSince = 0;
        line.add(new Waiting(null, status, error, endingSince, false, HttpVersion.HTTP_1_1));
        if (!busy) {
            channel.eventLoop().execute(this::next);
        }
    }

    /** What was coming of a request is no request any more. */
    private void letGo() {
        if (upload != null) {
            Pieces cut = upload;
            upload = null;
            cutShort = true;
            if (taken != null && taken.rest() == cut) {
                owner.onRequestAborted(this);
                taken = null;
                busy = false;
            } else {
                line.removeIf(w -> w.message() != null && w.message().rest() == cut);
            }
            cut.drop();
        }
        if (body != null) {
            cutShort = true;
            body.release();
        }
        head = null;
        body = null;
    }

    private void forgetLine() {
        line.forEach(w -> {
            if (w.message() != null) {
                w.message().release();
            }
        });
        line.clear();
    }

    /** All that came is seen: only now is it known how many requests were sent at once. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!ending && decoder.begun()) {
            // A connection's first request counts from its connecting, however slowly it is sent.
            partSince = partial() ? partSince : used || busy ? owner.now() : connectedAt;
        } else {
            partSince = 0;
        }
        next();
    }

    private void next() {
        while (!busy && !line.isEmpty() && channel.isActive()) {
            Waiting w = line.poll();
            busy = true;
            keepAlive = w.keepAlive();
            version = w.version();
            if (w.error() == null) {
                owner.onRequest(this, w.message(), w.at());
            } else {
                answer(w.status(), null, w.error());
            }
        }
    }

    /** The final answer to the request in hand; of a client that has gone nothing is written. */
    public void answer(int status, HttpHeaders headers, byte[] bytes) {
        DefaultFullHttpResponse r = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
        if (headers != null) {
            Message.copyAnswer(headers, r.headers());
        }
        HttpUtil.setContentLength(r, bytes.length);
        busy = false;
        boolean last = begin(r, status);
        ended(channel.writeAndFlush(r), last);
    }

    /** An answer is about to be written: whatever else is to be said in its head; true if it is the last. */
    private boolean begin(HttpResponse r, int status) {
        used |= taken != null || status == 200;
        idleSince = owner.now();
        // Where the rest of its request is still to come, that is read and let go.
        boolean last = owner.answered(this, status) && line.isEmpty() || !keepAlive;
        taken = null;
        if (last) {
            r.headers().set(HttpHeaderNames.CONNECTION, "close");
            cutShort |= head != null;
            ending = true;
            endingSince = idleSince;
            decoder.stop();
        }
        return last;
    }

    private void ended(ChannelFuture written, boolean last) {
        unwritten++;
        written.addListener(f -> unwritten--);
        if (last) {
            written.addListener(f -> finish());
        } else if (!line.isEmpty()) {
            channel.eventLoop().execute(this::next);
        } else {
            goOn();
        }
    }

    /**
     * The last answer is written. Where more is still to come of a request, closing at once would make the
     * system reset the connection, and the answer could be lost with it: what comes is dropped for a while.
     */
    private void finish() {
        if (cutShort && channel instanceof DuplexChannel duplex && channel.isActive()) {
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
    public void answer(HttpResponse from, byte[] first, Pieces answer, Consumer<Boolean> done) {
        DefaultHttpResponse r = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        Message.copyAnswer(from.headers(), r.headers());
        long length = HttpUtil.getContentLength(from, -1L);
        boolean chunked = length < 0 && version.equals(HttpVersion.HTTP_1_1);
        if (length >= 0) {
            HttpUtil.setContentLength(r, length);
        } else if (chunked) {
            HttpUtil.setTransferEncodingChunked(r, true);
        } else {
            keepAlive = false; // its end tells where the answer ends
        }
        rest = answer;
        passed = done;
        lastAnswer = begin(r, 200);
        lastMoved = owner.now();
        writer.ahead(() -> {
            channel.write(r);
            channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(first)));
        });
        answer.to(this::pass);
        pass();
    }

    /** Passes on what has come of the answer, as far as the client takes it. */
    private void pass() {
        Pieces from = rest;
        if (from == null
                || !writer.write(channel, from, () -> rest != null, () -> lastMoved = owner.now())
                || rest == null) {
            return; // there is none, it is being written, or the flush found the connection closed
        }
        if (from.taken()) {
            rest = null;
            busy = false;
            idleSince = owner.now();
            passed.accept(true);
            ended(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), lastAnswer);
        } else if (from.isBroken() && !from.ready()) {
            channel.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        pass();
    }

    public void answer(int status, HttpHeaders headers, String text) {
        answer(status, headers, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        busy = false;
        ending = true;
        Pieces cut = rest;
        rest = null;
        if (cut != null) {
            cut.drop();
            passed.accept(false);
        }
        owner.closed(this);
        taken = null;
        if (upload != null) {
            upload.broken();
            upload.drop();
        }
        if (body != null) {
            body.release();
        }
        upload = null;
        body = null;
        forgetLine();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
