package gullspar.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the location of a path in a virtual host. Search order at one level: the exact path, which ends the
 * search; else the longest prefix and the locations nested in it; then, unless that prefix ends the search, the
 * first regular expression that is found in the path, and the locations nested in it. Regular expressions
 * nested in a location take precedence over those at its own level. Cost: linear in the length of the path,
 * plus one match for each regular expression.
 */
public final class PathTable<T> {
    /** How the text of a location is matched; PREFIX_ENDS is a prefix that ends the search. */
    public enum Kind {
        EXACT,
        PREFIX,
        PREFIX_ENDS,
        REGEX
    }

    /**
     * The target of the location found, its kind and text, and the groups of a regular expression: group 0
     * first, empty for other kinds.
     */
    public record Match<T>(T target, Kind kind, String text, List<String> groups) {}

    private static final class Location<T> {
        private final Kind kind;
        private final String text;
        private final Pattern pattern;
        private final T target;
        private final PathTable<T> nested;

        Location(Kind kind, String text, Pattern pattern, T target, PathTable<T> nested) {
            this.kind = kind;
            this.text = text;
            this.pattern = pattern;
            this.target = target;
            this.nested = nested;
        }
    }

    private final Map<String, Location<T>> exact = new HashMap<>();
    private final PrefixTree<Location<T>> prefixes = new PrefixTree<>();
    private final List<Location<T>> regexes = new ArrayList<>();

    /** Adds an exact path or a prefix; nested is null for none. Returns false if the location exists already. */
    public boolean add(Kind kind, String text, T target, PathTable<T> nested) {
        Location<T> location = new Location<>(kind, text, null, target, nested);
        return kind == Kind.EXACT ? exact.putIfAbsent(text, location) == null : prefixes.add(text, location);
    }

    /** Adds a regular expression, which is tried after the existing ones; nested is null for none. */
    public void add(Pattern pattern, T target, PathTable<T> nested) {
        regexes.add(new Location<>(Kind.REGEX, pattern.pattern(), pattern, target, nested));
    }

    /** Returns null if no location matches the path. */
    public Match<T> find(String path) {
        return find(path, null);
    }

    /** Searches one level; parentMatch is the result if no location of this level matches. */
    private Match<T> find(String path, Match<T> parentMatch) {
        Location<T> location = exact.get(path);
        if (location != null) {
            return toMatch(location, List.of());
        }
        Match<T> best = parentMatch;
        location = prefixes.findLongest(path);
        if (location != null) {
            best = toMatch(location, List.of());
            Match<T> nestedMatch = location.nested == null ? best : location.nested.find(path, best);
            // A nested exact path or regular expression also ends the search at this level.
            if (nestedMatch.kind == Kind.EXACT || nestedMatch.kind == Kind.REGEX || location.kind == Kind.PREFIX_ENDS) {
                return nestedMatch;
            }
            best = nestedMatch;
        }
        for (Location<T> r : regexes) {
            Matcher m = r.pattern.matcher(path);
            if (m.find()) {
                Match<T> regexMatch = toMatch(r, groups(m));
                Match<T> nestedMatch = r.nested == null ? regexMatch : r.nested.find(path, regexMatch);
                // A match within a regular expression ends the search, whatever the nested kind.
                return nestedMatch.kind == Kind.PREFIX || nestedMatch.kind == Kind.PREFIX_ENDS
                        ? new Match<>(nestedMatch.target, Kind.REGEX, nestedMatch.text, regexMatch.groups)
                        : nestedMatch;
            }
        }
        return best;
    }

    private static <T> Match<T> toMatch(Location<T> location, List<String> groups) {
        return new Match<>(location.target, location.kind, location.text, groups);
    }

    private static List<String> groups(Matcher m) {
        List<String> groups = new ArrayList<>(m.groupCount() + 1);
        for (int i = 0; i <= m.groupCount(); i++) {
            groups.add(m.group(i) == null ? "" : m.group(i));
        }
        return groups;
    }
}
