package gullspar.proxy.backend;

import gullspar.decide.Balancer.Status;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.Clock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/** A connection: carries one attempt at a time. */
final class Connection extends SimpleChannelInboundHandler<HttpObject>
        implements AnswerDecoder.Listener {
    /** Interim (1xx) answers ahead of one final answer. */
    private static final int MOST_INTERIM = 8;
    private static final int LONGEST_LINE = 1024, LONGEST_HEAD = 8 << 10;

    private final Backend backend;
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

    Connection(Backend backend, EventLoop loop, Clock clock, long drainGraceNs) {
        this.backend = backend;
        this.loop = loop;
        this.clock = clock;
        this.drainGraceNs = drainGraceNs;
    }

    /** The channel that it will be, before that is open. */
    void opening(Channel c) {
        channel = c;
    }

    void openOn(Channel c) {
        c.pipeline().addLast(decoder, new HttpRequestEncoder(), this);
    }

    void close() {
        channel.close();
    }

    boolean active() {
        return channel.isActive();
    }

    long idleSince() {
        return idleSince;
    }

    void begin(Attempt a) {
        a.over(this);
        // Connecting takes time: the news that the backend drains or is gone may have come meanwhile.
        if (backend.leftAt != 0 && clock.now() - backend.leftAt > drainGraceNs) {
            channel.close();
            loop.execute(() -> a.end(Status.MOOT, null, null));
            return;
        }
        attempt = a;
        head = null;
        interim = 0;
        whole = false;
        trailed = false;
        body = Unpooled.buffer(512, Message.MOST_BYTES);
        decoder.expect();
        channel.writeAndFlush(a.toWrite()).addListener(f -> {
            if (f.isSuccess()) {
                a.written();
            } else {
                channel.close();
            }
        });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (attempt == null || message.decoderResult().isFailure()) {
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
        }
        if (message instanceof HttpContent content) {
            if (content.content().readableBytes() > body.maxWritableBytes()) {
                broken();
                return;
            }
            body.writeBytes(content.content());
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
        }
    }

    private void served() {
        Attempt a = attempt;
        byte[] bytes = new byte[body.readableBytes()];
        body.readBytes(bytes);
        attempt = null;
        decoder.quiet();
        if (a.isWritten() && !trailed && HttpUtil.isKeepAlive(head) && backend.leftAt == 0) {
            idleSince = clock.now();
            backend.idle.addLast(this);
        } else {
            channel.close();
        }
        Status status = Answers.status(head);
        a.end(status, LoadReport.last(head.headers().getAll("Server-Load")),
                status == Status.OK || status == Status.MOOT ? new Answer(head, bytes) : null);
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
        if (a != null) {
            a.broken();
        }
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (whole && attempt != null) {
            served(); // the end came in the same go
        }
        broken();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
