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

/** The heads that a proxy writes: of a request to a server, and of its answer to the client. */
public final class Heads {
    private static final List<String> SAID_BY_PROXIES = List.of(
            "X-Forwarded-For", "X-Forwarded-Proto", "X-Forwarded-Host", "X-Forwarded-Port", "X-Real-IP", "Forwarded");

    private Heads() {}

    /** The head of an attempt; leftNs is what is left of the request's time. */
    public static HttpRequest request(
            PlainRequest r, Route.PoolTarget to, Values values, Forwarded forwarded, long leftNs) {
        String uri = to.rewrite() == Rewrite.NONE
                ? r.target().raw()
                : r.target().with(to.rewrite().apply(r.target().path()));
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, r.method(), uri);
        HttpHeaders h = head.headers();
        Hops.copy(r.headers(), r.version(), h);
        h.set(HttpHeaderNames.HOST, r.host());
        h.set("Request-Id", r.id());
        forward(r, h, forwarded);
        values.change(h, to.requestHeaders(), 0);
        h.set("Request-Timeout", Message.seconds(Math.max(1000, leftNs)));
        if (!r.trailers().isEmpty()) {
            HttpUtil.setTransferEncodingChunked(head, true);
        } else if (r.body().length() > 0 || !bodiless(r)) {
            HttpUtil.setContentLength(head, r.body().length());
        }
        return head;
    }

    /** A request that says nothing of a body had none (RFC 9110, section 8.6). */
    private static boolean bodiless(PlainRequest r) {
        return !r.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                && !r.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    private static void forward(PlainRequest r, HttpHeaders h, Forwarded how) {
        if (how == Forwarded.PASS) {
            return;
        }
        String all = r.routed().forwardedFor();
        String here = "for=" + node(r.client()) + ";host=\"" + r.host().replace("\"", "") + "\";proto=http";
        List<String> before = h.getAll("Forwarded");
        if (how == Forwarded.REPLACE) {
            SAID_BY_PROXIES.forEach(h::remove);
            all = r.client();
            before = List.of();
        }
        h.set("X-Forwarded-For", all);
        h.set("Forwarded", before.isEmpty() ? here : String.join(", ", before) + ", " + here);
        setIfAbsent(h, "X-Forwarded-Proto", "http");
        setIfAbsent(h, "X-Forwarded-Host", r.host());
    }

    /** An address as Forwarded wants it (RFC 7239, section 6). */
    private static String node(String address) {
        return address.contains(":") ? "\"[" + address + "]\"" : address;
    }

    private static void setIfAbsent(HttpHeaders h, String name, String value) {
        if (!h.contains(name) && !value.isEmpty()) {
            h.set(name, value);
        }
    }

    /**
     * The head of an answer that goes on: with a length where its server gave one, in chunks where the client
     * reads those, and else up to the end of the connection.
     */
    public static HttpResponse answer(HttpResponse from, PlainRequest r, Route.PoolTarget to, Values values) {
        HttpResponse head = new DefaultHttpResponse(
                HttpVersion.HTTP_1_1,
                from.status(),
                DefaultHttpHeadersFactory.headersFactory().withValidation(false));
        int code = from.status().code();
        Hops.copy(from.headers(), from.protocolVersion(), head.headers());
        values.change(head.headers(), to.responseHeaders(), code);
        String length = from.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        if (length != null && code != 204) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else if (code != 204 && code != 304 && !r.head() && r.version().equals(HttpVersion.HTTP_1_1)) {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        return head;
    }
}
