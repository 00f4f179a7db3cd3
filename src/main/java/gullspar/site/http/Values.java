package gullspar.site.http;

import gullspar.route.HeaderChanges;
import gullspar.route.Hosts;
import gullspar.route.Template;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** What the names in templates stand for, with one request. */
public final class Values implements Template.Values {
    private final PlainRequest request;
    private final List<String> groups;
    private final String route;
    private final String pool;

    /** groups: what the place's regular expression caught; pool may be null. */
    public Values(PlainRequest request, List<String> groups, String route, String pool) {
        this.request = request;
        this.groups = groups;
        this.route = route;
        this.pool = pool;
    }

    @Override
    public String value(String name) {
        if (Character.isDigit(name.charAt(0))) {
            int group = name.charAt(0) - '0';
            return group < groups.size() ? groups.get(group) : "";
        }
        int dot = name.indexOf('.');
        String of = name.substring(dot + 1);
        return switch (dot < 0 ? name : name.substring(0, dot)) {
            case "client" -> request.client();
            case "host" -> Hosts.name(request.host());
            case "host_header" -> request.host();
            case "scheme" -> "http";
            case "port" -> Integer.toString(request.port());
            case "path" -> request.target().path();
            case "uri" -> request.target().raw();
            case "query" -> request.target().query();
            case "method" -> request.method().name();
            case "request_id" -> request.id();
            case "route" -> route;
            case "pool" -> pool;
            case "forwarded_for" -> forwardedFor(request);
            case "header" -> String.join(", ", request.headers().getAll(of));
            case "cookie" -> Template.cookie(request.headers().getAll(HttpHeaderNames.COOKIE), of);
            case "arg" -> Template.argument(request.target().query(), of);
            default -> "";
        };
    }

    /** The clients so far as the request says, and the one that it came from. */
    static String forwardedFor(PlainRequest request) {
        List<String> before = request.headers().getAll("X-Forwarded-For");
        return before.isEmpty() ? request.client() : String.join(", ", before) + ", " + request.client();
    }

    /** Makes a route's changes to a head. Control characters that a value brought along are left out. */
    public void change(HttpHeaders headers, HeaderChanges changes) {
        changes.remove().forEach(headers::remove);
        changes.set().forEach((name, template) -> {
            String v = clean(template.fill(this));
            if (v.isEmpty()) {
                headers.remove(name);
            } else {
                headers.set(name, v);
            }
        });
    }

    /** A value that a head can hold. */
    public static String clean(String value) {
        StringBuilder s = null;
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            boolean odd = c < ' ' && c != '\t' || c == 127 || c > 255;
            if (odd && s == null) {
                s = new StringBuilder(value.substring(0, i));
            } else if (!odd && s != null) {
                s.append(c);
            }
        }
        return (s == null ? value : s.toString()).strip();
    }
}
