package gullspar.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A text with places for what is known of a request: ${client}, ${header.X-Name} and so on; $${ stands for
 * ${ itself. What is not there is empty.
 */
public final class Template {
    /** Who knows what a name stands for; null or empty for what is not there. */
    public interface Values {
        String value(String name);
    }

    private record Part(String text, boolean named) {}

    private static final Set<String> NAMES = Set.of(
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
    private static final Pattern OF_REQUEST = Pattern.compile("(header|cookie|arg)\\.[!-~&&[^{}]]+|[0-9]");

    private final String written;
    private final List<Part> parts;

    private Template(String written, List<Part> parts) {
        this.written = written;
        this.parts = List.copyOf(parts);
    }

    /** Reads one; an IllegalArgumentException for a name that stands for nothing, or a brace left open. */
    public static Template parse(String text) {
        List<Part> parts = new ArrayList<>();
        StringBuilder plain = new StringBuilder();
        int at = 0;
        while (at < text.length()) {
            if (text.startsWith("$${", at)) {
                plain.append("${");
                at += 3;
            } else if (text.startsWith("${", at)) {
                int end = text.indexOf('}', at);
                if (end < 0) {
                    throw new IllegalArgumentException("'${' with no '}' in '" + text + "'");
                }
                parts.add(new Part(plain.toString(), false));
                plain.setLength(0);
                parts.add(new Part(known(text.substring(at + 2, end)), true));
                at = end + 1;
            } else {
                plain.append(text.charAt(at++));
            }
        }
        parts.add(new Part(plain.toString(), false));
        parts.removeIf(p -> p.text().isEmpty());
        return new Template(text, parts);
    }

    private static String known(String name) {
        if (!NAMES.contains(name) && !OF_REQUEST.matcher(name).matches()) {
            throw new IllegalArgumentException("'${" + name + "}' stands for nothing; there are "
                    + String.join(", ", NAMES.stream().sorted().toList())
                    + ", header.NAME, cookie.NAME, arg.NAME and 0 to 9");
        }
        return name;
    }

    /** A text that is as it stands, whatever it holds. */
    public static Template plain(String text) {
        return new Template(text.replace("${", "$${"), text.isEmpty() ? List.of() : List.of(new Part(text, false)));
    }

    /** The text with all places filled. */
    public String fill(Values values) {
        if (parts.size() == 1 && !parts.get(0).named()) {
            return parts.get(0).text();
        }
        StringBuilder s = new StringBuilder();
        for (Part p : parts) {
            String v = p.named() ? values.value(p.text()) : p.text();
            s.append(v == null ? "" : v);
        }
        return s.toString();
    }

    /** As it was written. */
    @Override
    public String toString() {
        return written;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Template t && t.written.equals(written);
    }

    @Override
    public int hashCode() {
        return written.hashCode();
    }

    /** The value of a cookie among the values of Cookie headers; empty if it is not there. */
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

    /** The value of an argument in a query, as it came; empty if it is not there. */
    public static String argument(String query, String name) {
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
