package gullspar.rehearse.stage;

import gullspar.rehearse.stage.Try.Attempt;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;

/** A proxy's connection to a node: one request at a time, as the protocol has it. */
final class NodeConnection extends SimpleChannelInboundHandler<HttpObject> {
    private final Node node;
    private ChannelHandlerContext ctx;
    private HttpRequest head;
    private Try asked;
    private Attempt attempt;
    private NodeRequest current;
    private boolean used;
    private boolean crowded;

    NodeConnection(Node node) {
        this.node = node;
    }

    @Override
    public void channelActive(ChannelHandlerContext c) {
        ctx = c;
        crowded = node.connected();
    }

    @Override
    public void channelInactive(ChannelHandlerContext c) {
        node.disconnected();
        if (current != null && node.up() && current.held()) {
            node.abandoned(current);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
        c.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext c, HttpObject message) {
        if (!node.up()) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            c.close();
            return;
        }
        if (message instanceof HttpRequest r) {
            head = r;
            asked = node.eventLog().request(r.headers().get("Request-Id", ""), r.uri());
            attempt = null;
            if (asked != null) {
                attempt = new Attempt(node.id, node.site, node.stage().sentAt(c.channel()));
                attempt.toldNs = head.headers().contains("Request-Timeout") ? timeoutNs() : Long.MAX_VALUE;
                asked.attempts.add(attempt);
                node.stage().peer(c.channel(), asked.proxy);
            }
        }
        if (message instanceof LastHttpContent) {
            whole();
        }
    }

    private void whole() {
        if (asked == null) {
            raw(message(404, "", "no request of that id\n"));
            return;
        }
        long now = node.stage().now();
        attempt.wholeAt = now;
        current = new NodeRequest(this, asked, attempt, now + timeoutNs());
        boolean first = !used;
        used = true;
        node.wasSent(asked.order);
        if (node.up() && !node.hung() && (crowded || !node.take(current, first))) {
            current.turnAway(503);
        }
    }

    private long timeoutNs() {
        try {
            return (long) (Double.parseDouble(head.headers().get("Request-Timeout", "60")) * 1e9);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private void raw(byte[] bytes) {
        ctx.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }

    private byte[] message(int status, String headers, String body) {
        return ("HTTP/1.1 " + status + " Status\r\nServer-Load: " + node.report() + "\r\n" + headers
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Turns the request in hand away; returns when. */
    long turnAway(int status) {
        current = null;
        raw(message(status, "Not-Started: 1\r\n", ""));
        return node.stage().now();
    }

    /** Answers the request in hand, if anybody is there; true if the answer was spoilt. */
    boolean answer(NodeRequest r) {
        current = null;
        if (!ctx.channel().isActive()) {
            return false;
        }
        byte[] answer = message(200, "", Node.body(r.id(), node.id, node.kind.answerBytes()));
        Spoils.How how = node.how();
        if (how != null) {
            new Spoils(ctx, node).write(how, answer);
        } else if (node.trickle() > 0) {
            new Spoils(ctx, node).trickle(answer, 0);
        } else {
            raw(answer);
        }
        return how != null;
    }
}
