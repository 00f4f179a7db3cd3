package gullspar.rehearse.stage;

import gullspar.rehearse.stage.ClientRequest.Attempt;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;

/** A proxy's connection to a node: one request at a time, as the protocol defines. */
final class NodeConnection extends SimpleChannelInboundHandler<HttpObject> {
    private final Node node;
    private ChannelHandlerContext ctx;
    private HttpRequest head;
    private ClientRequest request;
    private Attempt attempt;
    private NodeRequest current;
    private boolean used;
    private boolean overLimit;

    NodeConnection(Node node) {
        this.node = node;
    }

    @Override
    public void channelActive(ChannelHandlerContext c) {
        ctx = c;
        overLimit = node.connectionOpened();
    }

    @Override
    public void channelInactive(ChannelHandlerContext c) {
        node.connectionClosed();
        if (current != null && node.isUp() && current.isHeld()) {
            node.abandoned(current);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
        c.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext c, HttpObject message) {
        if (!node.isUp()) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            c.close();
            return;
        }
        if (message instanceof HttpRequest r) {
            head = r;
            request = node.eventLog().request(r.headers().get("Request-Id", ""), r.uri());
            attempt = null;
            if (request != null) {
                attempt = new Attempt(node.id, node.site, node.environment().sentAt(c.channel()));
                attempt.timeoutNs = head.headers().contains("Request-Timeout") ? timeoutNs() : Long.MAX_VALUE;
                request.attempts.add(attempt);
                node.environment().setPeer(c.channel(), request.proxy);
            }
        }
        if (message instanceof LastHttpContent) {
            requestComplete();
        }
    }

    private void requestComplete() {
        if (request == null) {
            write(message(404, "", "no request of that id\n"));
            return;
        }
        long now = node.environment().now();
        attempt.receivedAt = now;
        current = new NodeRequest(this, request, attempt, now + timeoutNs());
        boolean first = !used;
        used = true;
        node.requestReceived(request.order);
        if (node.isUp() && !node.isHung() && (overLimit || !node.admit(current, first))) {
            current.reject(503);
        }
    }

    private long timeoutNs() {
        try {
            return (long) (Double.parseDouble(head.headers().get("Request-Timeout", "60")) * 1e9);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private void write(byte[] bytes) {
        ctx.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }

    private byte[] message(int status, String headers, String body) {
        return ("HTTP/1.1 " + status + " Status\r\nServer-Load: " + node.loadReport() + "\r\n" + headers
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Rejects the current request as not started; returns the time. */
    long reject(int status) {
        current = null;
        write(message(status, "Not-Started: 1\r\n", ""));
        return node.environment().now();
    }

    /** Responds to the current request if the connection is open; true if the response was faulty. */
    boolean respond(NodeRequest r) {
        current = null;
        if (!ctx.channel().isActive()) {
            return false;
        }
        byte[] response = message(200, "", Node.body(r.id(), node.id, node.kind.answerBytes()));
        FaultyResponse.Kind fault = node.drawFault();
        if (fault != null) {
            new FaultyResponse(ctx, node).write(fault, response);
        } else if (node.trickleBytesPerS() > 0) {
            new FaultyResponse(ctx, node).trickle(response, 0);
        } else {
            write(response);
        }
        return fault != null;
    }
}
