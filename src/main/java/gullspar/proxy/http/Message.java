package gullspar.proxy.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.math.BigDecimal;
import java.util.List;

/**
 * A client's request as it came. rest: what is still to come of its body behind what is there; null if it is
 * whole. length: of all of it, -1 if its client did not say.
 */
public record Message(HttpMethod method, String uri, HttpHeaders headers, Body body, Pieces rest, long length) {
    /** The largest body that either side may send, in bytes. */
    public static final int MOST_BYTES = 32 << 20;
    /** An answer of up to so many bytes is served only if it is provably whole; a larger one is passed on. */
    public static final int MOST_HELD = 64 << 10;
    /**
     * What goes on to a backend, besides what the proxy itself says. A list of what is known, not of what to
     * leave out: Connection may name any header as its own, and the backend needs these.
     */
    private static final List<String> FOR_BACKENDS = List.of(
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
    private static final List<String> FOR_CLIENTS = List.of(
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
    public static Message whole(HttpMethod method, String uri, HttpHeaders headers, Body body) {
        return new Message(method, uri, headers, body, null, body.length());
    }

    /** Is there a body, or will there be one? */
    public boolean hasBody() {
        return rest != null || body.length() > 0;
    }

    /** Can it be sent: is all of it there, or still to be taken? */
    public boolean sendable() {
        return rest == null || rest.untouched();
    }

    /** No attempt needs it any more. */
    public void release() {
        body.release();
        if (rest != null) {
            rest.drop();
        }
    }

    public String id() {
        return headers.get("Request-Id");
    }

    public static void copyRequest(HttpHeaders from, HttpHeaders to) {
        copy(FOR_BACKENDS, from, to);
    }

    public static void copyAnswer(HttpHeaders from, HttpHeaders to) {
        copy(FOR_CLIENTS, from, to);
    }

    /** A time as headers give it: seconds, with decimals. */
    public static String seconds(long ns) {
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
