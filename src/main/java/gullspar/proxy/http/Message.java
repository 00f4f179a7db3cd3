package gullspar.proxy.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.math.BigDecimal;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * A client's request. bodyStream: the part of the body that is still being received after the buffered part;
 * null if the body is complete. bodyLength: of the whole body, -1 if the client did not declare it.
 */
public record Message(
        HttpMethod method, String uri, HttpHeaders headers, Body body, BodyStream bodyStream, long bodyLength) {
    /** The maximum size of a request's or a response's body. */
    public static final int MAX_BODY_BYTES = 32 << 20;
    /** Responses up to this size are sent on only if known to be complete; larger ones are streamed. */
    public static final int MAX_BUFFERED_RESPONSE_BYTES = 64 << 10;
    /**
     * Headers forwarded to backends, besides those that the proxy sets itself. They are forwarded even if the header
     * Connection names them as hop-by-hop, as backends need them.
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
    /** Headers forwarded to clients. */
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

    /** Approximate heap of a request without its head's text, and of a header field without its text, in bytes. */
    private static final int REQUEST_OVERHEAD_BYTES = 1024;

    private static final int FIELD_OVERHEAD_BYTES = 128;

    /** A request whose body is complete. */
    public static Message withFullBody(HttpMethod method, String uri, HttpHeaders headers, Body body) {
        return new Message(method, uri, headers, body, null, body.length());
    }

    /** Approximate heap that a request with this head takes beside its body, in bytes. */
    public static long headBytes(String uri, HttpHeaders headers) {
        long bytes = REQUEST_OVERHEAD_BYTES + uri.length();
        for (Iterator<Map.Entry<CharSequence, CharSequence>> i = headers.iteratorCharSequence(); i.hasNext(); ) {
            Map.Entry<CharSequence, CharSequence> field = i.next();
            bytes += FIELD_OVERHEAD_BYTES
                    + field.getKey().length()
                    + field.getValue().length();
        }
        return bytes;
    }

    /** True if the request has a body, received or not. */
    public boolean hasBody() {
        return bodyStream != null || body.length() > 0;
    }

    /** True if the body can be sent: it is buffered completely, or no attempt has read its stream. */
    public boolean isSendable() {
        return bodyStream == null || bodyStream.isUnread();
    }

    /** Releases the body once no attempt needs it. */
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

    /** Formats a duration for a header: decimal seconds, to the microsecond. */
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
