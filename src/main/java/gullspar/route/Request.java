package gullspar.route;

import java.util.List;

/**
 * The parts of a request that routing uses. host is as sent by the client; the path is decoded and normalised;
 * the query is as received, without ?, or null; rawTarget is the target as received; client is the address of
 * the client and port the local port; requestId is the Request-Id header.
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
    /** Returns the values of a header, empty if it is absent; names are case-insensitive. */
    public interface Headers {
        List<String> all(String name);
    }

    /** A request whose client, port and Request-Id are unknown. */
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
