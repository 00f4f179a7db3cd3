package gullspar.site.client;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;

/** Encodes responses; a response to HEAD declares its length but has no body. */
final class ResponseEncoder extends HttpResponseEncoder {
    private boolean headOnly;

    /** Sets whether the next response answers a HEAD request. */
    void headOnly(boolean yes) {
        headOnly = yes;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse r) {
        return super.isContentAlwaysEmpty(r) || headOnly && r.status().codeClass() != HttpStatusClass.INFORMATIONAL;
    }
}
