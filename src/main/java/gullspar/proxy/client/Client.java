package gullspar.proxy.client;

import gullspar.proxy.http.Message;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A client's connection: one request at a time, a few more wait in line. After a request that cannot be read,
 * or more than that in line, comes an error, the end, and nothing else.
 */
public final class Client extends SimpleChannelInboundHandler<HttpObject> {
    /** Who takes whole requests, and hears when a connection changes its place among the others. */
    interface Owner {
        void whole(Client client, Message message, long at);

        /** An answer is about to be written; true if the connection should end with it. */
        boolean answered(Client client, int status);

        void closed(Client client);

        long now();
    }

    /** Requests that may wait behind one on a connection: enough for clients that await no answer. */
    public static final int MOST_PIPELINED = 16;

    /** A whole request, or the error that one ended in; after an error nothing is read. */
    private record Waiting(Message message, int status, String error, long at, boolean keepAlive) { }

    final long connectedAt;
    private final Channel channel;
    private final RequestDecoder decoder;
    private final Owner owner;
    private final Deque<Waiting> line = new ArrayDeque<>();
    private HttpRequest head;
    private ByteBuf body;
    private Message taken;
    private boolean busy;
    private boolean keepAlive;
    private boolean used;
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

    /** Has a request on it ever been answered? */
    boolean used() {
        return used;
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

    private boolean partial() {
        return partSince != 0;
    }

    void close() {
        channel.close();
    }

    /** Ends a connection that has kept the proxy waiting for longer than the limits allow. */
    void check(long now, long requestNs, long idleNs) {
        if (ending) {
            if (now - endingSince > requestNs && !busy) {
                channel.close(); // its client does not read what it is told
            }
        } else if (partial() && now - partSince > requestNs) {
            end(408, "the request did not come in time");
        } else if (idle() && now - idleSince > (used ? idleNs : requestNs)) {
            channel.close();
        }
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
        if (message instanceof HttpContent content) {
            if (content.content().readableBytes() > body.maxWritableBytes()) {
                end(413, "the body is too long");
                return;
            }
            body.writeBytes(content.content());
        }
        if (message instanceof LastHttpContent) {
            byte[] bytes = new byte[body.readableBytes()];
            body.readBytes(bytes);
            add(new Waiting(new Message(head.method(), head.uri(), head.headers(), bytes), 0, null,
                    owner.now(), HttpUtil.isKeepAlive(head)));
            head = null;
            body = null;
            decoder.whole();
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
            if (HttpUtil.is100ContinueExpected(r) && !busy && line.isEmpty()) {
                channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                        HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
            head = r;
            body = Unpooled.buffer(256, Message.MOST_BYTES);
            return true;
        }
        return false;
    }

    private void add(Waiting w) {
        if (line.size() < MOST_PIPELINED) {
            line.add(w);
        } else {
            // Whoever sends so many at once is no usual client. None of those in line has been sent on, and
            // their deadlines would run out in it.
            line.clear();
            end(429, "too many requests at once on a connection");
        }
    }

    /** An error behind what is in line, and then the end. */
    private void end(int status, String error) {
        ending = true;
        endingSince = owner.now();
        decoder.stop();
        head = null;
        body = null;
        partSince = 0;
        line.add(new Waiting(null, status, error, endingSince, false));
        if (!busy) {
            channel.eventLoop().execute(this::next);
        }
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
            if (w.error() == null) {
                owner.whole(this, w.message(), w.at());
            } else {
                answer(w.status(), null, w.error());
            }
        }
    }

    /** The final answer to the request in hand; of a client that has gone nothing is written. */
    public void answer(int status, HttpHeaders headers, byte[] bytes) {
        DefaultFullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
        if (headers != null) {
            Message.copyAnswer(headers, r.headers());
        }
        HttpUtil.setContentLength(r, bytes.length);
        busy = false;
        used |= taken != null || status == 200;
        idleSince = owner.now();
        boolean last = owner.answered(this, status) && line.isEmpty() || !keepAlive;
        taken = null;
        if (last) {
            r.headers().set(HttpHeaderNames.CONNECTION, "close");
            ending = true;
            endingSince = idleSince;
            decoder.stop();
        }
        ChannelFuture written = channel.writeAndFlush(r);
        if (last) {
            written.addListener(ChannelFutureListener.CLOSE);
        } else if (!line.isEmpty()) {
            channel.eventLoop().execute(this::next);
        }
    }

    public void answer(int status, HttpHeaders headers, String text) {
        answer(status, headers, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        busy = false;
        line.clear();
        owner.closed(this);
        taken = null;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
