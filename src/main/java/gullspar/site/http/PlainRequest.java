package gullspar.site.http;

import gullspar.proxy.http.Body;
import gullspar.route.Request;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

/** A complete request of a client; routed holds the properties used for routing. */
public record PlainRequest(
        HttpMethod method,
        HttpVersion version,
        Target target,
        Request routed,
        HttpHeaders headers,
        Body body,
        HttpHeaders trailers) {
    /** The address of the client. */
    public String client() {
        return routed.client();
    }

    /** The requested host: that of the target if it names one, otherwise of Host. */
    public String host() {
        return routed.host();
    }

    /** The Request-Id of the client, or a generated one. */
    public String id() {
        return routed.requestId();
    }

    public boolean isHead() {
        return method.equals(HttpMethod.HEAD);
    }
}
