package gullspar.site.http;

import gullspar.route.HeaderChanges;
import gullspar.route.Template;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;

/** The values of template variables for one request. */
public final class TemplateValues implements Template.VariableResolver {
    private final PlainRequest request;
    private final List<String> groups;
    private final String route;
    private final String pool;

    /** groups: the capturing groups of the regular expression of the route; pool may be null. */
    public TemplateValues(PlainRequest request, List<String> groups, String route, String pool) {
        this.request = request;
        this.groups = groups;
        this.route = route;
        this.pool = pool;
    }

    @Override
    public String resolve(String name) {
        if (Character.isDigit(name.charAt(0))) {
            int group = name.charAt(0) - '0';
            return group < groups.size() ? groups.get(group) : "";
        }
        return switch (name) {
            case "route" -> route;
            case "pool" -> pool;
            default -> request.routed().resolve(name);
        };
    }

    /**
     * Applies the header changes of a route; status is that of a response, 0 for a request. Characters that are
     * invalid in a header field are removed from values.
     */
    public void change(HttpHeaders headers, HeaderChanges changes, int status) {
        changes.remove().forEach(headers::remove);
        changes.set().forEach((name, template) -> {
            String v = sanitize(template.expand(this));
            if (v.isEmpty()) {
                headers.remove(name);
            } else {
                headers.set(name, v);
            }
        });
        add(headers, changes.add());
        if (HeaderChanges.isAddOkStatus(status)) {
            add(headers, changes.addOk());
        }
    }

    private void add(HttpHeaders headers, Map<String, Template> more) {
        more.forEach((name, template) -> {
            String v = sanitize(template.expand(this));
            if (!v.isEmpty()) {
                headers.add(name, v);
            }
        });
    }

    /** Removes the characters that are invalid in a header field. */
    public static String sanitize(String value) {
        StringBuilder s = null;
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            boolean invalid = c < ' ' && c != '\t' || c == 127 || c > 255;
            if (invalid && s == null) {
                s = new StringBuilder(value.substring(0, i));
            } else if (!invalid && s != null) {
                s.append(c);
            }
        }
        return (s == null ? value : s.toString()).strip();
    }
}
