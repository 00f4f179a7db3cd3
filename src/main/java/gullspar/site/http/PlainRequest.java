package gullspar.site.http;

import gullspar.route.Request;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

/**
 * A client's request, whole. client is the address that it came from, port the one that it came to; id is its
 * Request-Id or one made here; host is that of the target, or of Host.
 */
public record PlainRequest(HttpMethod method, HttpVersion version, Target target, String host,
        HttpHeaders headers, Body body, HttpHeaders trailers, String client, int port, String id) {
    /** What routing looks at. */
    public static Request routed(HttpMethod method, String host, Target target, HttpHeaders headers) {
        return new Request(method.name(), host, target.path(), target.query(), headers::getAll);
    }

    public boolean head() {
        return method.equals(HttpMethod.HEAD);
    }
}
