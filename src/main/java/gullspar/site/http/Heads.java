package gullspar.site.http;

import gullspar.config.Site.Forwarded;
import gullspar.proxy.http.Message;
import gullspar.route.Rewrite;
import gullspar.route.Route;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** Builds the heads that the proxy writes: of requests to servers and of responses to clients. */
public final class Heads {
    private static final List<String> FORWARDING_HEADERS = List.of(
            "X-Forwarded-For", "X-Forwarded-Proto", "X-Forwarded-Host", "X-Forwarded-Port", "X-Real-IP", "Forwarded");

    private Heads() {}

    /** The head of the request of an attempt; leftNs is the remaining time of the request. */
    public static HttpRequest request(
            PlainRequest r, Route.PoolTarget to, TemplateValues values, Forwarded forwarded, long leftNs) {
        String uri = to.rewrite() == Rewrite.NONE
                ? r.target().raw()
                : r.target().withPath(to.rewrite().apply(r.target().path()));
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, r.method(), uri);
        HttpHeaders h = head.headers();
        HopByHop.copy(r.headers(), r.version(), h);
        h.set(HttpHeaderNames.HOST, r.host());
        h.set("Request-Id", r.id());
        forward(r, h, forwarded);
        values.change(h, to.requestHeaders(), 0);
        h.set("Request-Timeout", Message.formatSeconds(Math.max(1000, leftNs)));
        if (!r.trailers().isEmpty()) {
            HttpUtil.setTransferEncodingChunked(head, true);
        } else if (r.body().length() > 0 || !hasNoBody(r)) {
            HttpUtil.setContentLength(head, r.body().length());
        }
        return head;
    }

    /** A request without Content-Length and Transfer-Encoding has no body (RFC 9110, section 8.6). */
    private static boolean hasNoBody(PlainRequest r) {
        return !r.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                && !r.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    private static void forward(PlainRequest r, HttpHeaders h, Forwarded mode) {
        if (mode == Forwarded.PASS) {
            return;
        }
        String forwardedFor = r.routed().forwardedFor();
        String thisHop =
                "for=" + forwardedNode(r.client()) + ";host=\"" + r.host().replace("\"", "") + "\";proto=http";
        List<String> previousHops = h.getAll("Forwarded");
        if (mode == Forwarded.REPLACE) {
            FORWARDING_HEADERS.forEach(h::remove);
            forwardedFor = r.client();
            previousHops = List.of();
        }
        h.set("X-Forwarded-For", forwardedFor);
        h.set("Forwarded", previousHops.isEmpty() ? thisHop : String.join(", ", previousHops) + ", " + thisHop);
        setIfAbsent(h, "X-Forwarded-Proto", "http");
        setIfAbsent(h, "X-Forwarded-Host", r.host());
    }

    /** Formats an address for Forwarded (RFC 7239, section 6). */
    private static String forwardedNode(String address) {
        return address.contains(":") ? "\"[" + address + "]\"" : address;
    }

    private static void setIfAbsent(HttpHeaders h, String name, String value) {
        if (!h.contains(name) && !value.isEmpty()) {
            h.set(name, value);
        }
    }

    /**
     * The head of a forwarded response: with Content-Length if the server sent one, chunked if the client supports
     * that, and otherwise delimited by the close of the connection.
     */
    public static HttpResponse response(HttpResponse from, PlainRequest r, Route.PoolTarget to, TemplateValues values) {
        HttpResponse head = new DefaultHttpResponse(
                HttpVersion.HTTP_1_1,
                from.status(),
                DefaultHttpHeadersFactory.headersFactory().withValidation(false));
        int code = from.status().code();
        HopByHop.copy(from.headers(), from.protocolVersion(), head.headers());
        values.change(head.headers(), to.responseHeaders(), code);
        String length = from.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        if (length != null && code != 204) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else if (code != 204 && code != 304 && !r.isHead() && r.version().equals(HttpVersion.HTTP_1_1)) {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        return head;
    }
}
