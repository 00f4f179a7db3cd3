package gullspar.route;

import java.util.List;

/**
 * What routing looks at of a request: the path is decoded and normalised, the query as it came, without ?.
 */
public record Request(String method, String host, String path, String query, Headers headers) {
    /** The values of a header, none if it is not there; names are compared without regard to case. */
    public interface Headers {
        List<String> all(String name);
    }
}
