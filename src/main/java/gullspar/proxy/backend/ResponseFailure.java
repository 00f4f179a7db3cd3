package gullspar.proxy.backend;

/** Why an attempt that was begun on a connection ended without a whole response. */
public enum ResponseFailure {
    /** The connection was reset, or broke in another way than by the backend's end of its sending. */
    CONNECTION_BROKEN("connection broken"),
    /** The backend ended its sending before the end of the response. */
    ENDED_EARLY("ended before the end of the response"),
    /** The last byte of the request could not be written. */
    REQUEST_NOT_WRITTEN("request not written"),
    /** The response was complete before the last byte of its request was written. */
    RESPONSE_BEFORE_REQUEST_END("response before the end of the request"),
    /** The status line, a header field or a chunk is invalid. */
    MALFORMED("malformed"),
    /** A transfer coding other than chunked. */
    UNSUPPORTED_CODING("unsupported transfer coding"),
    /** The body, or the head, exceeds its limit. */
    TOO_LONG("too long"),
    /** Too many interim responses, or a change of protocol. */
    UNEXPECTED_INTERIM("unexpected interim response"),
    /** Bytes that do not start a response. */
    UNEXPECTED_BYTES("bytes that start no response"),
    /** Bytes behind the declared end of the body that do not start another response. */
    TRAILING_BYTES("bytes behind the declared end"),
    /** The client no longer needs the response. */
    CLIENT_LEFT("client left");

    private final String description;

    ResponseFailure(String description) {
        this.description = description;
    }

    /** A few words for the log. */
    String description() {
        return description;
    }
}
