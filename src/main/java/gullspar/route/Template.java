package gullspar.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A text with variables of a request, such as ${client} and ${header.X-Name}; ${0} to ${9} are the groups of the
 * regular expression that matched; $${ stands for a literal ${. A variable without a value expands to an empty
 * string.
 */
public final class Template {
    /** Resolves the name of a variable; null or empty if it has no value. */
    public interface VariableResolver {
        String resolve(String name);
    }

    private record Part(String text, boolean isVariable) {}

    private static final Set<String> VARIABLES = Set.of(
            "client",
            "host",
            "host_header",
            "scheme",
            "port",
            "path",
            "uri",
            "query",
            "args",
            "method",
            "request_id",
            "route",
            "pool",
            "forwarded_for");
    private static final Pattern VARIABLE_PATTERN = Pattern.compile("(header|cookie|arg)\\.[!-~&&[^{}]]+|[0-9]");

    private final String source;
    private final List<Part> parts;

    private Template(String source, List<Part> parts) {
        this.source = source;
        this.parts = List.copyOf(parts);
    }

    /** Parses a template; throws IllegalArgumentException for an unknown variable or an unclosed brace. */
    public static Template parse(String text) {
        List<Part> parts = new ArrayList<>();
        StringBuilder literal = new StringBuilder();
        int at = 0;
        while (at < text.length()) {
            if (text.startsWith("$${", at)) {
                literal.append("${");
                at += 3;
            } else if (text.startsWith("${", at)) {
                int end = text.indexOf('}', at);
                if (end < 0) {
                    throw new IllegalArgumentException("'${' without a closing '}' in '" + text + "'");
                }
                parts.add(new Part(literal.toString(), false));
                literal.setLength(0);
                parts.add(new Part(requireKnown(text.substring(at + 2, end)), true));
                at = end + 1;
            } else {
                literal.append(text.charAt(at++));
            }
        }
        parts.add(new Part(literal.toString(), false));
        parts.removeIf(p -> p.text().isEmpty());
        return new Template(text, parts);
    }

    private static String requireKnown(String name) {
        if (!VARIABLES.contains(name) && !VARIABLE_PATTERN.matcher(name).matches()) {
            throw new IllegalArgumentException("unknown variable '${" + name + "}'; the variables are "
                    + String.join(", ", VARIABLES.stream().sorted().toList())
                    + ", header.NAME, cookie.NAME, arg.NAME and 0 to 9");
        }
        return name;
    }

    /** Creates a template without variables from a literal text. */
    public static Template literal(String text) {
        return new Template(text.replace("${", "$${"), text.isEmpty() ? List.of() : List.of(new Part(text, false)));
    }

    /** Returns the text with all variables replaced by their values. */
    public String expand(VariableResolver resolver) {
        if (parts.size() == 1 && !parts.get(0).isVariable()) {
            return parts.get(0).text();
        }
        StringBuilder s = new StringBuilder();
        for (Part p : parts) {
            String value = p.isVariable() ? resolver.resolve(p.text()) : p.text();
            s.append(value == null ? "" : value);
        }
        return s.toString();
    }

    /** Returns the text from which the template was parsed. */
    @Override
    public String toString() {
        return source;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Template t && t.source.equals(source);
    }

    @Override
    public int hashCode() {
        return source.hashCode();
    }

    /** Returns the value of a cookie from the values of Cookie headers; empty if absent. Names are case-sensitive. */
    public static String cookie(List<String> headers, String name) {
        for (String h : headers) {
            for (String pair : h.split(";")) {
                int eq = pair.indexOf('=');
                if (eq > 0 && pair.substring(0, eq).trim().equals(name)) {
                    return pair.substring(eq + 1).trim();
                }
            }
        }
        return "";
    }

    /** Returns the value of a query argument, not decoded; empty if absent. Names are case-insensitive. */
    public static String queryArgument(String query, String name) {
        if (query != null) {
            for (String pair : query.split("&")) {
                int eq = pair.indexOf('=');
                if (eq > 0 && pair.substring(0, eq).toLowerCase(Locale.ROOT).equals(name.toLowerCase(Locale.ROOT))) {
                    return pair.substring(eq + 1);
                }
            }
        }
        return "";
    }
}
