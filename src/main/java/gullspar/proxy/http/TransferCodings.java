package gullspar.proxy.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The transfer codings of a message (RFC 9112, section 6.1). */
public final class TransferCodings {
    private static final String CHUNKED = "chunked";
    /** An obsolete name for no coding (RFC 2616, section 3.6). */
    private static final String IDENTITY = "identity";

    private TransferCodings() {}

    /**
     * Whether the body can be decoded: it has no transfer coding, or is chunked and nothing else. A body in another
     * coding, such as gzip, could be passed on only to a recipient that has asked for that coding.
     */
    public static boolean areSupported(HttpMessage message) {
        List<String> codings = new ArrayList<>();
        for (String value : message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)) {
            for (String coding : value.split(",")) {
                codings.add(coding.trim().toLowerCase(Locale.ROOT));
            }
        }
        codings.removeIf(coding -> coding.isEmpty() || coding.equals(IDENTITY));
        return codings.isEmpty() || codings.equals(List.of(CHUNKED));
    }
}
