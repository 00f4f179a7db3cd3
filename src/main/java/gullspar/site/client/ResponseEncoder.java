package gullspar.site.client;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;

/** Encodes answers; those to HEAD say how long they would be and have no body. */
final class ResponseEncoder extends HttpResponseEncoder {
    private boolean headOnly;

    /** Is the answer that comes next one to HEAD? */
    void headOnly(boolean yes) {
        headOnly = yes;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse r) {
        return super.isContentAlwaysEmpty(r) || headOnly && r.status().codeClass() != HttpStatusClass.INFORMATIONAL;
    }
}
