package gullspar.proxy.operator;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/** Handles one operator request: any body is ignored, and the response closes the connection. */
final class OperatorRequestHandler extends SimpleChannelInboundHandler<HttpObject> {
    private final Supplier<OperatorEndpoint.StatusSource> statusSource;
    private final UnaryOperator<String> queryOther;
    private final Consumer<Channel> onRequest;
    private boolean answered;

    /**
     * statusSource: supplies null until the proxy can be queried; queryOther: the JSON for other paths, null for
     * unknown ones; onRequest: called with the channel before the response.
     */
    OperatorRequestHandler(
            Supplier<OperatorEndpoint.StatusSource> statusSource,
            UnaryOperator<String> queryOther,
            Consumer<Channel> onRequest) {
        this.statusSource = statusSource;
        this.queryOther = queryOther;
        this.onRequest = onRequest;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (answered) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            answer(ctx, HttpResponseStatus.BAD_REQUEST, "text/plain", "not a call\n", true);
        } else if (message instanceof HttpRequest r) {
            handle(ctx, r);
        }
    }

    private void handle(ChannelHandlerContext ctx, HttpRequest r) {
        boolean withBody = !r.method().equals(HttpMethod.HEAD);
        if (withBody && !r.method().equals(HttpMethod.GET)) {
            answer(ctx, HttpResponseStatus.METHOD_NOT_ALLOWED, "text/plain", "only GET\n", true);
            return;
        }
        OperatorEndpoint.StatusSource source = statusSource.get();
        switch (new QueryStringDecoder(r.uri()).rawPath()) {
            case "/_ready" -> {
                boolean ready = source != null && source.isReady();
                answer(
                        ctx,
                        ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "text/plain",
                        ready ? "yes\n" : "not yet\n",
                        withBody);
            }
            case "/_vars" -> {
                if (source == null) {
                    answer(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "text/plain", "not yet\n", withBody);
                } else {
                    answer(ctx, HttpResponseStatus.OK, "application/json", source.statusJson(), withBody);
                }
            }
            default -> queryOther(ctx, new QueryStringDecoder(r.uri()).rawPath(), withBody);
        }
    }

    private void queryOther(ChannelHandlerContext ctx, String path, boolean withBody) {
        String json = queryOther.apply(path);
        if (json == null) {
            answer(
                    ctx,
                    HttpResponseStatus.NOT_FOUND,
                    "text/plain",
                    "there are /_ready and /_vars, and /_fleet with [fleet]\n",
                    withBody);
        } else {
            answer(ctx, HttpResponseStatus.OK, "application/json", json, withBody);
        }
    }

    private void answer(
            ChannelHandlerContext ctx, HttpResponseStatus status, String type, String text, boolean withBody) {
        answered = true;
        onRequest.accept(ctx.channel());
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        DefaultFullHttpResponse r =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, withBody ? bytes : Unpooled.EMPTY_BUFFER);
        HttpUtil.setContentLength(r, bytes.readableBytes());
        r.headers().set(HttpHeaderNames.CONTENT_TYPE, type).set(HttpHeaderNames.CONNECTION, "close");
        ctx.writeAndFlush(r).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
