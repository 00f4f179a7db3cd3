package gullspar.proxy.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.math.BigDecimal;
import java.util.List;

/**
 * A client's request as it came. rest: what is still to come of its body behind what is there; null if it is
 * whole. length: of all of it, -1 if its client did not say.
 */
public record Message(
        HttpMethod method, String uri, HttpHeaders headers, Body body, BodyStream bodyStream, long bodyLength) {
    /** The largest body that either side may send, in bytes. */
    public static final int MAX_BODY_BYTES = 32 << 20;
    /** An answer of up to so many bytes is served only if it is provably whole; a larger one is passed on. */
    public static final int MAX_BUFFERED_RESPONSE_BYTES = 64 << 10;
    /**
     * What goes on to a backend, besides what the proxy itself says. A list of what is known, not of what to
     * leave out: Connection may name any header as its own, and the backend needs these.
     */
    private static final List<String> REQUEST_HEADERS = List.of(
            "Host",
            "Request-Id",
            "Idempotency-Key",
            "Tenant",
            "Cookie",
            "Client-Retry",
            "Work-Hint",
            "Request-Info",
            "Content-Type",
            "Content-Encoding",
            "Accept",
            "Accept-Encoding",
            "Accept-Language",
            "Authorization",
            "User-Agent");
    /** What goes back to a client. */
    private static final List<String> RESPONSE_HEADERS = List.of(
            "Content-Type",
            "Content-Encoding",
            "Content-Language",
            "Cache-Control",
            "Expires",
            "ETag",
            "Last-Modified",
            "Location",
            "Set-Cookie",
            "Vary",
            "Retry-After");

    /** A request that has all its body. */
    public static Message withFullBody(HttpMethod method, String uri, HttpHeaders headers, Body body) {
        return new Message(method, uri, headers, body, null, body.length());
    }

    /** Is there a body, or will there be one? */
    public boolean hasBody() {
        return bodyStream != null || body.length() > 0;
    }

    /** Can it be sent: is all of it there, or still to be taken? */
    public boolean isSendable() {
        return bodyStream == null || bodyStream.isUnread();
    }

    /** No attempt needs it any more. */
    public void release() {
        body.release();
        if (bodyStream != null) {
            bodyStream.drop();
        }
    }

    public String id() {
        return headers.get("Request-Id");
    }

    public static void copyRequestHeaders(HttpHeaders from, HttpHeaders to) {
        copy(REQUEST_HEADERS, from, to);
    }

    public static void copyResponseHeaders(HttpHeaders from, HttpHeaders to) {
        copy(RESPONSE_HEADERS, from, to);
    }

    /** A time as headers give it: seconds, with decimals. */
    public static String formatSeconds(long ns) {
        return BigDecimal.valueOf(ns / 1000, 6).toPlainString();
    }

    private static void copy(List<String> names, HttpHeaders from, HttpHeaders to) {
        for (String name : names) {
            List<String> values = from.getAll(name);
            if (!values.isEmpty()) {
                to.set(name, values);
            }
        }
    }
}
