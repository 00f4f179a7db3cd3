package gullspar.route;

import java.util.List;

/**
 * The parts of a request that routing uses.
 *
 * @param host the Host header as received; null if there is none
 * @param path the path, decoded and normalised
 * @param query the query as received, without ?; null if there is none
 * @param rawTarget the request target as received
 * @param client the address of the client
 * @param port the local port
 * @param requestId the Request-Id header
 */
public record Request(
        String method,
        String host,
        String path,
        String query,
        String rawTarget,
        String client,
        int port,
        String requestId,
        Headers headers)
        implements Template.VariableResolver {
    /** The headers of a request. */
    public interface Headers {
        /** Returns the values of a header, empty if it is absent; names are case-insensitive. */
        List<String> all(String name);
    }

    /** Creates a request with no client address and no Request-Id, on port 80. */
    public Request(String method, String host, String path, String query, Headers headers) {
        this(method, host, path, query, query == null ? path : path + "?" + query, "", 80, "", headers);
    }

    @Override
    public String resolve(String name) {
        int dot = name.indexOf('.');
        String parameter = name.substring(dot + 1);
        return switch (dot < 0 ? name : name.substring(0, dot)) {
            case "client" -> client;
            case "host" -> host == null ? "" : HostTable.normalize(host);
            case "host_header" -> host;
            case "scheme" -> "http";
            case "port" -> Integer.toString(port);
            case "path" -> path;
            case "uri" -> rawTarget;
            case "query" -> query;
            case "args" -> query == null || query.isEmpty() ? "" : "?" + query;
            case "method" -> method;
            case "request_id" -> requestId;
            case "forwarded_for" -> forwardedFor();
            case "header" -> String.join(", ", headers.all(parameter));
            case "cookie" -> Template.cookie(headers.all("Cookie"), parameter);
            case "arg" -> Template.queryArgument(query, parameter);
            default -> "";
        };
    }

    /** Returns X-Forwarded-For as received, with the client's address appended. */
    public String forwardedFor() {
        List<String> previous = headers.all("X-Forwarded-For");
        return previous.isEmpty() ? client : String.join(", ", previous) + ", " + client;
    }
}
