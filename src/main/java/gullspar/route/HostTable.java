package gullspar.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Finds the virtual host of a request by its Host header. In this order: the exact name; the longest leading
 * wildcard (*.example.org); the longest trailing one (shop.*); the first regular expression that is found in
 * the name; the default. Names are case-insensitive; a port and a trailing dot are ignored.
 */
public final class HostTable<T> {
    /** The kind of name that matched. */
    public enum MatchKind {
        NAME,
        LEADING,
        TRAILING,
        REGEX,
        DEFAULT
    }

    /** The host found, the kind of name that matched, and its text: without *. or .*, and empty for the default. */
    public record Match<T>(T host, MatchKind kind, String text) {
        /** Returns the reason of the match for the explanation of a route search. */
        public String reason() {
            return switch (kind) {
                case NAME -> "its name is " + text;
                case LEADING -> "*." + text + " matches it";
                case TRAILING -> text + ".* matches it";
                case REGEX -> "~" + text + " is found in it";
                default -> "no name matches it: the default";
            };
        }
    }

    private record Regex<T>(Pattern pattern, T host) {}

    private final Map<String, T> exact = new HashMap<>();
    private final Map<String, T> leading = new HashMap<>();
    private final Map<String, T> trailing = new HashMap<>();
    private final List<Regex<T>> regexes = new ArrayList<>();
    private T defaultHost;

    /**
     * Adds a name: exact, *.suffix, .suffix (the name itself and all its subdomains) or prefix.*. Returns false
     * if the name exists already; throws IllegalArgumentException for a wildcard elsewhere or an empty name.
     */
    public boolean add(String name, T host) {
        String normalized = name.toLowerCase(Locale.ROOT);
        if (normalized.startsWith("*.")) {
            return leading.putIfAbsent(requireNoWildcard(normalized, normalized.substring(2)), host) == null;
        }
        if (normalized.startsWith(".")) {
            boolean isNew = exact.putIfAbsent(requireNoWildcard(normalized, normalized.substring(1)), host) == null;
            return leading.putIfAbsent(normalized.substring(1), host) == null && isNew;
        }
        if (normalized.endsWith(".*")) {
            return trailing.putIfAbsent(
                            requireNoWildcard(normalized, normalized.substring(0, normalized.length() - 2)), host)
                    == null;
        }
        return exact.putIfAbsent(requireNoWildcard(normalized, normalized), host) == null;
    }

    private static String requireNoWildcard(String name, String part) {
        if (part.isEmpty() || part.contains("*")) {
            throw new IllegalArgumentException(
                    "'" + name + "' must be an exact name, *.suffix, .suffix or prefix.*, with no other wildcard");
        }
        return part;
    }

    /** Adds a regular expression; expressions are tried in the order in which they were added. */
    public void add(Pattern pattern, T host) {
        regexes.add(new Regex<>(pattern, host));
    }

    /** Sets the host for requests whose host matches no name. */
    public void defaultHost(T host) {
        defaultHost = host;
    }

    /** Returns the host in lower case, without port and trailing dot; an IPv6 address keeps its brackets. */
    public static String normalize(String host) {
        int from = host.startsWith("[") ? host.indexOf(']') : 0;
        int colon = host.indexOf(':', Math.max(0, from));
        String name = colon < 0 ? host : host.substring(0, colon);
        name = name.endsWith(".") ? name.substring(0, name.length() - 1) : name;
        return name.toLowerCase(Locale.ROOT);
    }

    /**
     * Finds the host by the value of a Host header, null if there is none. Returns null only if no name matches
     * and there is no default.
     */
    public Match<T> find(String host) {
        String name = host == null ? "" : normalize(host);
        T found = exact.get(name);
        if (found != null) {
            return new Match<>(found, MatchKind.NAME, name);
        }
        for (int dot = name.indexOf('.'); dot >= 0 && !leading.isEmpty(); dot = name.indexOf('.', dot + 1)) {
            found = leading.get(name.substring(dot + 1));
            if (found != null && dot > 0) {
                return new Match<>(found, MatchKind.LEADING, name.substring(dot + 1));
            }
        }
        for (int dot = name.lastIndexOf('.'); dot > 0 && !trailing.isEmpty(); dot = name.lastIndexOf('.', dot - 1)) {
            found = trailing.get(name.substring(0, dot));
            if (found != null) {
                return new Match<>(found, MatchKind.TRAILING, name.substring(0, dot));
            }
        }
        for (Regex<T> r : regexes) {
            if (r.pattern.matcher(name).find()) {
                return new Match<>(r.host, MatchKind.REGEX, r.pattern.pattern());
            }
        }
        return defaultHost == null ? null : new Match<>(defaultHost, MatchKind.DEFAULT, "");
    }
}
