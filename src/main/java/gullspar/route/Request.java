package gullspar.route;

import java.util.List;

/**
 * What routing looks at of a request. host is as the client wrote it; the path is decoded and normalised; the
 * query is as it came, without ?, null where there is none; raw is the target as it came; client is the
 * address that it came from and port the one that it came to; id is its Request-Id.
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
    /** The values of a header, none if it is not there; names are compared without regard to case. */
    public interface Headers {
        List<String> all(String name);
    }

    /** One of which nothing else is known. */
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

    /** The clients so far as the request says, and the one that it came from. */
    public String forwardedFor() {
        List<String> previous = headers.all("X-Forwarded-For");
        return previous.isEmpty() ? client : String.join(", ", previous) + ", " + client;
    }
}
