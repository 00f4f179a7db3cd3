package gullspar.proxy.backend;

import gullspar.decide.Balancer.Status;
import gullspar.proxy.http.Message;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** What the head of an answer means. */
final class Answers {
    private Answers() {}

    /**
     * Does the head tell where its answer ends, within what an answer may hold? One that only the end of the
     * connection would end cannot be told from one cut short.
     */
    static boolean framed(HttpResponse r) {
        if (!r.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !r.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            return false;
        }
        return HttpUtil.isTransferEncodingChunked(r)
                || r.status().code() == 204
                || r.status().code() == 304
                || HttpUtil.isContentLengthSet(r) && HttpUtil.getContentLength(r, -1L) <= Message.MAX_BODY_BYTES;
    }

    static Status status(HttpResponse r) {
        int code = r.status().code();
        if (code == 200) {
            return Status.OK;
        }
        // 4xx speaks of the request, not of the backend: no other would take it, and none is worse for it.
        if (code / 100 == 4 && code != 408 && code != 425 && code != 429) {
            return Status.MOOT;
        }
        // Only the backend's own word proves that the request never ran.
        return (code == 503 || code == 504) && "1".equals(r.headers().get("Not-Started")) ? Status.FULL : Status.ERROR;
    }
}
