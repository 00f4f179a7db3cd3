package gullspar.proxy.backend;

import gullspar.decide.Balancer.Status;
import gullspar.proxy.http.Message;
import gullspar.proxy.http.TransferCodings;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** Interprets the heads of responses. */
final class ResponseHeads {
    private ResponseHeads() {}

    /** Returns why a final response is refused by its head; null if it is accepted. */
    static ResponseFailure refusalOf(HttpResponse r) {
        if (!r.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !r.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            return ResponseFailure.MALFORMED;
        }
        if (!TransferCodings.areSupported(r)) {
            return ResponseFailure.UNSUPPORTED_CODING;
        }
        boolean isTooLong = HttpUtil.getContentLength(r, 0L) > Message.MAX_BODY_BYTES && statusOf(r) == Status.OK;
        return isTooLong && !HttpUtil.isTransferEncodingChunked(r) ? ResponseFailure.TOO_LONG : null;
    }

    static Status statusOf(HttpResponse r) {
        int code = r.status().code();
        if (code == 200) {
            return Status.OK;
        }
        // 4xx is about the request: every backend would reject it, and it does not count against this one.
        if (code / 100 == 4 && code != 408 && code != 425 && code != 429) {
            return Status.MOOT;
        }
        // Only the backend's header Not-Started proves that the request never ran.
        return (code == 503 || code == 504) && "1".equals(r.headers().get("Not-Started")) ? Status.FULL : Status.ERROR;
    }
}
