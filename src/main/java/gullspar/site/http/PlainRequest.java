package gullspar.site.http;

import gullspar.proxy.http.Body;
import gullspar.route.Request;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

/** A client's request, whole; routed is what routing looks at of it. */
public record PlainRequest(
        HttpMethod method,
        HttpVersion version,
        Target target,
        Request routed,
        HttpHeaders headers,
        Body body,
        HttpHeaders trailers) {
    /** The address that it came from. */
    public String client() {
        return routed.client();
    }

    /** The host that it is for: of the target, or Host. */
    public String host() {
        return routed.host();
    }

    /** Its Request-Id, or one made here. */
    public String id() {
        return routed.requestId();
    }

    public boolean head() {
        return method.equals(HttpMethod.HEAD);
    }
}
