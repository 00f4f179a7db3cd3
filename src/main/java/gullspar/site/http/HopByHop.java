package gullspar.site.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Copies header fields without those meant for the next hop only (RFC 9110, section 7.6.1). */
public final class HopByHop {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
            "http2-settings");
    /** Fields that Connection cannot remove, because they change the meaning of a request. */
    private static final Set<String> END_TO_END = Set.of(
            "host", "cookie", "authorization", "idempotency-key", "content-type", "content-encoding", "cache-control");

    private static final AsciiString VIA = AsciiString.cached("Via");

    private HopByHop() {}

    /** Copies the end-to-end fields of a head and appends this proxy to Via. */
    public static void copy(HttpHeaders from, HttpVersion received, HttpHeaders to) {
        Set<String> named = connectionOptions(from);
        for (Map.Entry<String, String> h : from) {
            String name = h.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !named.contains(name)) {
                to.add(h.getKey(), h.getValue());
            }
        }
        List<String> via = to.getAll(VIA);
        String thisHop = received.majorVersion() + "." + received.minorVersion() + " gullspar";
        to.set(VIA, via.isEmpty() ? thisHop : String.join(", ", via) + ", " + thisHop);
    }

    private static Set<String> connectionOptions(HttpHeaders from) {
        Set<String> named = Set.of();
        for (String v : from.getAll(HttpHeaderNames.CONNECTION)) {
            named = named.isEmpty() ? new HashSet<>() : named;
            for (String name : v.split(",")) {
                String n = name.trim().toLowerCase(Locale.ROOT);
                if (!END_TO_END.contains(n)) {
                    named.add(n);
                }
            }
        }
        return named;
    }

    /** Copies trailers, except those for framing, routing or authorization (RFC 9110, section 6.5.1). */
    public static void copyTrailers(HttpHeaders from, HttpHeaders to) {
        for (Map.Entry<String, String> h : from) {
            String name = h.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !END_TO_END.contains(name)) {
                to.add(h.getKey(), h.getValue());
            }
        }
    }
}
